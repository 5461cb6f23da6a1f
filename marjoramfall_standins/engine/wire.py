"""Write the engine's responses in the shapes of the OpenAI API."""

from enum import StrEnum

import msgspec

from marjoramfall_standins.engine.stream import Stream

DONE_EVENT = b'data: [DONE]\n\n'


class Shape(StrEnum):
    """Tell the two kinds of completion apart, by path."""

    TEXT = '/v1/completions'
    CHAT = '/v1/chat/completions'


def usage(stream: Stream) -> dict[str, object]:
    """Return the usage section of a response."""
    return {
        'prompt_tokens': stream.prompt_tokens,
        'completion_tokens': stream.emitted,
        'total_tokens': stream.prompt_tokens + stream.emitted,
        'prompt_tokens_details': {'cached_tokens': stream.cached_tokens},
    }


def token_event(stream: Stream, index: int, created_s: int) -> bytes:
    """Return the server-sent event of one token; the last one has the usage."""
    last = index + 1 == stream.max_tokens
    choice = {'index': 0, 'finish_reason': 'length' if last else None}
    kind = 'text_completion'
    if stream.path == Shape.CHAT:
        kind = 'chat.completion.chunk'
        choice['delta'] = {'content': stream.token(index)}
    else:
        choice['text'] = stream.token(index)
    chunk = _envelope(stream, kind, choice, created_s)
    if last:
        chunk['usage'] = usage(stream)
    event_id = f'id: {stream.request_id}:{index}\ndata: '
    return event_id.encode() + msgspec.json.encode(chunk) + b'\n\n'


def whole_response(stream: Stream, created_s: int) -> dict[str, object]:
    """Return the body of a response that is not streamed."""
    text = ''.join(stream.token(index) for index in range(stream.emitted))
    choice = {'index': 0, 'finish_reason': 'length'}
    kind = 'text_completion'
    if stream.path == Shape.CHAT:
        kind = 'chat.completion'
        choice['message'] = {'role': 'assistant', 'content': text}
    else:
        choice['text'] = text
    body = _envelope(stream, kind, choice, created_s)
    body['usage'] = usage(stream)
    return body


def _envelope(
    stream: Stream, kind: str, choice: dict[str, object], created_s: int
) -> dict[str, object]:
    return {
        'id': stream.request_id,
        'object': kind,
        'created': created_s,
        'model': stream.model,
        'choices': [choice],
    }
