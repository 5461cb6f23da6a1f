"""Make the body of a replayed request."""

import msgspec
import xxhash

from marjoramfall.model import ServiceKind
from marjoramfall.replay.expected import CHARACTERS_PER_TOKEN, chat_line
from marjoramfall.replay.trace import TraceRequest

CHAT_PATH = '/v1/chat/completions'
USER_ROLE = 'user'


class RequestBody(msgspec.Struct, frozen=True):
    """Hold the bytes to send and the prompt that an engine reads from them."""

    encoded: bytes
    prompt: str


def make_body(request: TraceRequest, number: int, salt: str) -> RequestBody:
    """Return the body; `number` and `salt` make the prompt unique.

    Two replays with different salts share only the prefixes.
    """
    unique = f'{salt}/{number}'
    if request.kind == ServiceKind.PLAIN:
        return RequestBody(msgspec.json.encode({'call': unique}), '')
    prompt = _filler(request.prefix, request.prefix_tokens) + _filler(
        unique, max(1, request.prompt_tokens - request.prefix_tokens)
    )
    body = {
        'model': request.service,
        'max_tokens': request.output_tokens,
        'stream': request.stream,
    }
    if request.path == CHAT_PATH:
        body['messages'] = [{'role': USER_ROLE, 'content': prompt}]
        prompt = chat_line(USER_ROLE, prompt)
    else:
        body['prompt'] = prompt
    return RequestBody(msgspec.json.encode(body), prompt)


def _filler(seed: str, tokens: int) -> str:
    length = tokens * CHARACTERS_PER_TOKEN
    word = f'{seed} {xxhash.xxh3_64_hexdigest(seed.encode())} '
    return (word * (length // len(word) + 1))[:length]
