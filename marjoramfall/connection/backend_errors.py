"""Define the failures of exchanges with backend servers."""

from marjoramfall.errors import BackendServerError, RunState


class BackendNotReachedError(BackendServerError):
    """Report a request of which certainly no byte was sent."""

    code = 'backend_server_unreachable'
    run_state = RunState.NOT_RUN


class DispatchNotPermittedError(BackendServerError):
    """Report a grant that lapsed before the first byte was sent."""

    code = 'grant_lapsed'
    http_status = 503
    run_state = RunState.NOT_RUN


class BackendLeavingError(BackendServerError):
    """Report a server that refused the request because it is stopping."""

    code = 'backend_server_leaving'
    http_status = 503
    run_state = RunState.NOT_RUN


class BackendConnectionBrokenError(BackendServerError):
    """Report a connection that broke after the first byte was sent."""

    code = 'backend_connection_broken'


class BackendTimeoutError(BackendServerError):
    """Report a response that did not come in time."""

    code = 'backend_server_timeout'
    http_status = 504


class MalformedResponseError(BackendServerError):
    """Report a response with garbage, missing or surplus parts."""

    code = 'malformed_response'


class BackendStatusError(BackendServerError):
    """Carry a complete response that is not the wanted one."""

    code = 'backend_server_failed'

    def __init__(self, status: int, body: bytes, content_type: str = '') -> None:
        super().__init__(f'the backend server answered with status {status}')
        self.status = status
        self.body = body
        self.content_type = content_type
