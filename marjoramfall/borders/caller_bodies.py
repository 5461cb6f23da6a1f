"""Read and check the bodies of model requests."""

from typing import Annotated

import msgspec

from marjoramfall.errors import InvalidRequestError

DEFAULT_MAX_TOKENS = 256
MAX_TOKENS = 1_000_000

TokenCount = Annotated[int, msgspec.Meta(ge=1, le=MAX_TOKENS)]


class ContentPart(msgspec.Struct):
    """Hold one part of a message."""

    type: str
    text: str = ''


class ChatMessage(msgspec.Struct):
    """Hold one message of a conversation."""

    role: str
    content: str | list[ContentPart] | None = None

    @property
    def text(self) -> str:
        """Return the role and all text of the message."""
        if isinstance(self.content, list):
            texts = [part.text for part in self.content]
        else:
            texts = [self.content or '']
        return '\n'.join((self.role, *texts, ''))


class ModelBody(msgspec.Struct):
    """Hold what all model requests have in common."""

    model: str
    stream: bool = False
    max_tokens: TokenCount = DEFAULT_MAX_TOKENS

    @property
    def full_prompt(self) -> str:
        """Return the text that the engine has to read."""
        return ''


class CompletionBody(ModelBody, kw_only=True):
    """Hold a completion request."""

    prompt: str

    @property
    def full_prompt(self) -> str:
        """Return the prompt."""
        return self.prompt


class ChatBody(ModelBody, kw_only=True):
    """Hold a chat request."""

    messages: Annotated[list[ChatMessage], msgspec.Meta(min_length=1)]

    @property
    def full_prompt(self) -> str:
        """Return all messages as one text."""
        return ''.join(message.text for message in self.messages)


def decode_body(body: bytes, kind: type[ModelBody]) -> ModelBody:
    """Return the checked body; raises `InvalidRequestError`."""
    try:
        return msgspec.json.decode(body, type=kind)
    except (msgspec.MsgspecError, RecursionError) as error:
        raise InvalidRequestError(f'the body is invalid: {error}') from error
