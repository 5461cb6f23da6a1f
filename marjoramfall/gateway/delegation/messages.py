"""Define the headers that entries add to the requests they delegate."""

from marjoramfall.gateway.callers.call import Delegation
from marjoramfall.gateway.http_messages import Header, Response, find_header

# The service that the first entry has chosen for the request.
SERVICE = b'x-delegated-service'
# How often the request may have run already, without the runs below.
RUNS = b'x-delegated-runs'
# How many runs ended with their servers.
LOST_RUNS = b'x-delegated-lost-runs'
# The newest configuration that the first entry knows.
CONFIG_VERSION = b'x-delegated-config'
# Set in an error response of the second entry itself: why it failed.
FAILURE = b'x-delegated-failure'
# Added to it if another entry may serve the request.
ELSEWHERE = b'x-delegated-elsewhere'
YES = b'1'

REQUEST_HEADERS = frozenset((SERVICE, RUNS, LOST_RUNS, CONFIG_VERSION))
# Entries that don't know a header that is named here drop it.
CONNECTION = (b'connection', b'close, %b' % LOST_RUNS)


def request_headers(delegation: Delegation) -> list[Header]:
    """Return the headers of a delegated request."""
    return [
        (SERVICE, delegation.service_id.encode()),
        (RUNS, str(delegation.runs).encode()),
        (LOST_RUNS, str(delegation.lost_runs).encode()),
        (CONFIG_VERSION, str(delegation.config_version).encode()),
        CONNECTION,
    ]


def failure_headers(code: str, *, is_elsewhere: bool) -> list[Header]:
    """Return the headers of an error response of the second entry itself."""
    headers = [(FAILURE, code.encode('ascii', 'replace'))]
    if is_elsewhere:
        headers.append((ELSEWHERE, YES))
    return headers


def read_failure(response: Response) -> str | None:
    """Return why the second entry failed, None if the response is a server's."""
    failure = find_header(response.headers, FAILURE)
    return None if failure is None else failure.decode('ascii', 'replace')


def may_go_elsewhere(response: Response) -> bool:
    """Return whether another entry may serve the request."""
    return find_header(response.headers, ELSEWHERE) == YES
