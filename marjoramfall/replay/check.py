"""Check that a response is whole and belongs to its request."""

from collections.abc import Sequence
from http import HTTPStatus

import msgspec
import xxhash

from marjoramfall.model import ServiceKind
from marjoramfall.replay.expected import expected_text
from marjoramfall.replay.outcome import (
    KIND_BY_RUN_STATE,
    ErrorBody,
    Outcome,
    OutcomeKind,
)
from marjoramfall.replay.prompt import RequestBody
from marjoramfall.replay.trace import TraceRequest

EVENT_END = '\n\n'
DATA_FIELD = 'data:'
DONE = '[DONE]'
ERROR_CODE_LENGTH = 80


class CachedDetails(msgspec.Struct):
    """Say how much of a prompt was cached."""

    cached_tokens: int = 0


class Usage(msgspec.Struct):
    """Hold the usage section of a response."""

    prompt_tokens: int
    completion_tokens: int
    prompt_tokens_details: CachedDetails = msgspec.field(default_factory=CachedDetails)


class MessageText(msgspec.Struct):
    """Hold the text of a chat response or a part of it."""

    content: str = ''


class Choice(msgspec.Struct):
    """Hold the text of a response in any of its shapes."""

    text: str = ''
    message: MessageText | None = None
    delta: MessageText | None = None

    @property
    def content(self) -> str:
        """Return the text, whichever the shape is."""
        chat = self.message or self.delta
        return chat.content if chat else self.text


class Completion(msgspec.Struct):
    """Hold a whole response or one chunk of it."""

    id: str
    choices: list[Choice] = []
    usage: Usage | None = None


class PlainReply(msgspec.Struct):
    """Hold the response of a plain service stand-in."""

    id: str
    body_hash: str


class WrongResponseError(Exception):
    """Say why a response is not the whole response to its request."""


def classify(
    request: TraceRequest, body: RequestBody, status: int, received: bytes
) -> Outcome:
    """Return the outcome of a response that ended regularly."""
    if status != HTTPStatus.OK:
        return _error_outcome(status, received)
    try:
        return _check_success(request, body, received)
    except (WrongResponseError, msgspec.MsgspecError, UnicodeDecodeError) as error:
        return Outcome(kind=OutcomeKind.WRONG, code=str(error)[:ERROR_CODE_LENGTH])


def _error_outcome(status: int, received: bytes) -> Outcome:
    try:
        error = msgspec.json.decode(received, type=ErrorBody).error
    except msgspec.MsgspecError:
        return Outcome(kind=OutcomeKind.BROKEN, code=f'untyped status {status}')
    return Outcome(kind=KIND_BY_RUN_STATE[error.run_state], code=error.code)


def _check_success(
    request: TraceRequest, body: RequestBody, received: bytes
) -> Outcome:
    if request.kind == ServiceKind.PLAIN:
        return _check_plain(body, received)
    if request.stream:
        return _check_stream(request, body, received.decode())
    whole = msgspec.json.decode(received, type=Completion)
    return _check_completion(request, body, (whole,))


def _check_plain(body: RequestBody, received: bytes) -> Outcome:
    reply = msgspec.json.decode(received, type=PlainReply)
    if reply.body_hash != xxhash.xxh3_64_hexdigest(body.encoded):
        raise WrongResponseError('response to another call')
    return Outcome(kind=OutcomeKind.GOOD, request_id=reply.id)


def _check_stream(request: TraceRequest, body: RequestBody, received: str) -> Outcome:
    chunks = []
    for event in received.split(EVENT_END):
        text = _event_data(event)
        if text == DONE:
            return _check_completion(request, body, chunks)
        if text.startswith('{"error"'):
            error = msgspec.json.decode(text, type=ErrorBody).error
            return Outcome(kind=KIND_BY_RUN_STATE[error.run_state], code=error.code)
        if text:
            chunks.append(msgspec.json.decode(text, type=Completion))
    raise WrongResponseError('stream without its end')


def _event_data(event: str) -> str:
    lines = (line for line in event.split('\n') if line.startswith(DATA_FIELD))
    return '\n'.join(line.removeprefix(DATA_FIELD).strip() for line in lines)


def _check_completion(
    request: TraceRequest, body: RequestBody, chunks: Sequence[Completion]
) -> Outcome:
    request_ids = {chunk.id for chunk in chunks}
    if len(request_ids) != 1:
        raise WrongResponseError('no id, or several')
    request_id = request_ids.pop()
    text = ''.join(choice.content for chunk in chunks for choice in chunk.choices)
    if text != expected_text(body.prompt, request_id, request.output_tokens):
        raise WrongResponseError('text of another request, or not whole')
    usage = chunks[-1].usage
    if usage is None or usage.completion_tokens != request.output_tokens:
        raise WrongResponseError('usage is missing or wrong')
    cached_tokens = usage.prompt_tokens_details.cached_tokens
    return Outcome(
        kind=OutcomeKind.GOOD,
        request_id=request_id,
        prefill_tokens=usage.prompt_tokens - cached_tokens,
    )
