"""Implement the wire dialect of the users' platform."""

from marjoramfall.clock import MS_PER_SECOND
from marjoramfall.gateway.callers.call import Call, CallFields
from marjoramfall.gateway.dialect import Dialect
from marjoramfall.gateway.http_messages import (
    BadMessageError,
    Header,
    RequestHead,
    Response,
    encode_head,
    end_to_end_headers,
    find_header,
)
from marjoramfall.gateway.model import BackendServer, ServerNotice
from marjoramfall.gateway.servers.backend_connection import ExpectedHeader
from marjoramfall.gateway.servers.copy_messages import CopyOrder, CopyResult
from marjoramfall.platform.run_copies import (
    encode_copy,
    encode_copy_drop,
    read_copy_result,
)

ATTEMPT_ID = b'marjoramfall-attempt-id'
DEADLINE = b'marjoramfall-deadline-ms'
EXPECTED_SERVER = b'marjoramfall-expect-instance'
TEAM = b'marjoramfall-tenant'
NOT_EXECUTED = b'marjoramfall-not-executed'
# The requests per second that a backend server takes from all entries together.
SERVER_LIMIT = b'server-limit'
# Set in all responses of a backend server that is about to stop.
SERVER_LEAVING = b'server-leaving'
IS_LEAVING = b'1'
# Set in all responses of a server that falls over if it has to reject more requests
# than that in a second.
SERVER_BRITTLE = b'server-brittle'
COLD_MS = b'marjoramfall-cold-ms'
# The number of prompt tokens and the maximum number of output tokens.
TOKEN_USAGE = b'marjoramfall-token-usage'
# The caller's estimate of the number of output tokens.
LENGTH_HINT = b'marjoramfall-length-hint'
# The parts of the prompt in order, as ID:TOKENS; requests share all but the last.
PROMPT_PARTS = b'marjoramfall-prompt-prefix'
LAST_EVENT_ID = b'last-event-id'
# Where the memory of a run is that goes on, as IP:PORT/HANDLE.
COPY_SOURCE = b'kv-from'
AUTHORIZATION = b'authorization'
BEARER = b'bearer '
RETRY_AFTER = b'retry-after'
MISDIRECTED = 421
UNAVAILABLE = 503
# Sums and products of such counts stay within what a float holds.
MAX_TOKENS = 1_000_000_000
MAX_NUMBER = 2**53
MAX_COUNT_DIGITS = 10
# Longer than any id that the platform gives to a part of a prompt.
MAX_PART_ID_CHARS = 32
# Headers that are not copied from a caller's request. The gateway sets some of them
# itself, reads the API key and the last event id, and reserves the others.
GATEWAY_HEADERS = frozenset(
    (
        AUTHORIZATION,
        DEADLINE,
        EXPECTED_SERVER,
        TEAM,
        LAST_EVENT_ID,
        b'content-length',
        b'expect',
        b'marjoramfall-expect-version',
        b'marjoramfall-hold',
        b'marjoramfall-pin-ms',
        b'marjoramfall-kv-backup',
        COPY_SOURCE,
        b'kv-fetch',
    )
)


class PlatformDialect(Dialect):
    """Read and write the HTTP headers of the users' platform."""

    def read_fields(self, head: RequestHead) -> CallFields:
        """Return the fields of a request; raises `BadMessageError`."""
        value_by_name = dict(head.headers)
        prompt_tokens, output_tokens = _read_token_usage(value_by_name.get(TOKEN_USAGE))
        length_hint = _read_number(value_by_name.get(LENGTH_HINT))
        likely_output_tokens = (
            output_tokens if length_hint is None else max(0, int(length_hint))
        )
        host, path = _read_target(head, value_by_name[b'host'])
        *shared_part_ids, own_part_id = _read_part_ids(
            value_by_name.get(PROMPT_PARTS, b'')
        )
        forwarded = tuple(
            header
            for header in end_to_end_headers(head.headers)
            if header[0] not in GATEWAY_HEADERS
        )
        return CallFields(
            attempt_id=value_by_name.get(ATTEMPT_ID, b'').decode('latin-1'),
            host=host,
            path=path,
            api_key=_read_api_key(value_by_name.get(AUTHORIZATION)),
            caller_timeout_ms=_read_number(value_by_name.get(DEADLINE)),
            is_generation=TOKEN_USAGE in value_by_name,
            prompt_tokens=prompt_tokens,
            output_tokens=output_tokens,
            likely_output_tokens=min(likely_output_tokens, output_tokens),
            last_event_id=value_by_name.get(LAST_EVENT_ID),
            headers=forwarded,
            shared_part_ids=tuple(shared_part_ids),
            own_part_id=own_part_id,
        )

    def encode_request(
        self, call: Call, server: BackendServer, remaining_ms: float
    ) -> bytes:
        """Encode a request with the remaining time, in ms, as its deadline."""
        headers = list(call.fields.headers)
        headers.append((DEADLINE, str(max(1, int(remaining_ms))).encode()))
        headers.append((EXPECTED_SERVER, server.server_id.encode()))
        if call.team is not None:
            headers.append((TEAM, call.team.name.encode()))
        if call.last_event_id is not None:
            headers.append((LAST_EVENT_ID, call.last_event_id))
        if call.resume_from:
            headers.append((COPY_SOURCE, call.resume_from.encode()))
        if call.body or call.head.method not in {b'GET', b'DELETE'}:
            headers.append((b'content-length', str(len(call.body)).encode()))
        first_line = call.head.method + b' ' + call.head.target + b' HTTP/1.1'
        return encode_head(first_line, headers) + call.body

    def delegated_headers(self, call: Call, remaining_ms: float) -> list[Header]:
        """Return the caller's headers with its key and the remaining time, in ms."""
        headers = list(call.fields.headers)
        headers.append((DEADLINE, str(max(1, int(remaining_ms))).encode()))
        if call.fields.api_key is not None:
            key = call.fields.api_key.encode('latin-1')
            headers.append((AUTHORIZATION, BEARER + key))
        if call.last_event_id is not None:
            headers.append((LAST_EVENT_ID, call.last_event_id))
        return headers

    def expected_header(self, call: Call) -> ExpectedHeader:
        """Return the attempt id header, which a backend server echoes."""
        return ExpectedHeader(ATTEMPT_ID, call.fields.attempt_id.encode('latin-1'))

    def was_rejected(self, response: Response) -> bool:
        """Return whether the backend server says that it did not run the request."""
        if response.status == MISDIRECTED:
            return True
        return find_header(response.headers, NOT_EXECUTED) is not None

    def is_other_server(self, response: Response) -> bool:
        """Return whether another server now uses the address."""
        return response.status == MISDIRECTED

    def read_rate_limit(self, response: Response) -> float | None:
        """Return the requests per second that the server takes, None for no limit."""
        rate_per_s = _read_number(find_header(response.headers, SERVER_LIMIT))
        return None if rate_per_s is None or rate_per_s < 0 else rate_per_s

    def read_notice(self, response: Response) -> ServerNotice:
        """Return whether the server stops, and the pause it asks for with a 503."""
        pause_s: float | None = None
        rejections_per_s: float | None = None
        if response.status == UNAVAILABLE:
            pause_s = _read_number(find_header(response.headers, RETRY_AFTER))
            rejections_per_s = _read_number(
                find_header(response.headers, SERVER_BRITTLE)
            )
        return ServerNotice(
            is_leaving=find_header(response.headers, SERVER_LEAVING) == IS_LEAVING,
            pause_ms=pause_s * MS_PER_SECOND if pause_s and pause_s > 0 else None,
            rejections_per_s=rejections_per_s,
            cold_ms=_read_cold_ms(response),
        )

    def rejection_headers(
        self, attempt_id: str, retry_after_ms: float | None
    ) -> list[Header]:
        """Return the headers of the gateway's own error responses."""
        headers = [(ATTEMPT_ID, attempt_id.encode('latin-1'))] if attempt_id else []
        if retry_after_ms is not None:
            seconds = f'{retry_after_ms / MS_PER_SECOND:.3f}'
            headers.append((RETRY_AFTER, seconds.encode()))
        return headers

    def encode_copy(self, order: CopyOrder) -> bytes:
        """Encode a call that copies a run to another server."""
        return encode_copy(order)

    def encode_copy_drop(self, source: BackendServer, handle: str) -> bytes:
        """Encode a call that frees a copy."""
        return encode_copy_drop(source, handle)

    def read_copy_result(self, response: Response, body: bytes) -> CopyResult:
        """Return what a server answered to a call about a copy."""
        return read_copy_result(response.status, body)


def _read_target(head: RequestHead, host: bytes) -> tuple[str, str]:
    target = head.target
    if not target.startswith(b'/'):
        raise BadMessageError('the target must be a path')
    name = host.decode('latin-1').strip().lower().partition(':')[0]
    path = target.partition(b'?')[0]
    return name, path.decode('latin-1')


def _read_api_key(authorization: bytes | None) -> str | None:
    if authorization is None or not authorization.lower().startswith(BEARER):
        return None
    return authorization[len(BEARER) :].strip().decode('latin-1')


def _read_number(text: bytes | None) -> float | None:
    if text is None:
        return None
    try:
        number = float(text)
    except ValueError:
        return None
    return number if abs(number) <= MAX_NUMBER else None


def _read_cold_ms(response: Response) -> float | None:
    cold_ms = _read_number(find_header(response.headers, COLD_MS))
    return None if cold_ms is None or cold_ms < 0 else cold_ms


def _read_part_ids(text: bytes) -> list[str]:
    """Return the ids of the parts of a prompt, a single empty one if it has none."""
    return [
        part.partition(':')[0].strip()[:MAX_PART_ID_CHARS]
        for part in text.decode('latin-1').split(',')
    ]


def _read_token_usage(text: bytes | None) -> tuple[int, int]:
    prompt, _, output = (text or b'').partition(b',')
    prompt = prompt.strip()
    output = output.strip()
    if not (prompt.isdigit() and output.isdigit()):
        return 0, 0
    return _bounded_count(prompt), _bounded_count(output)


def _bounded_count(digits: bytes) -> int:
    if len(digits) > MAX_COUNT_DIGITS:
        return MAX_TOKENS
    return min(int(digits), MAX_TOKENS)
