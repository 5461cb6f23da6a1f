"""Serve the requests that peers delegate to this entry."""

from dataclasses import replace

from marjoramfall.gateway.callers.call import Delegation
from marjoramfall.gateway.callers.caller_connection import RequestHandler
from marjoramfall.gateway.callers.response_writer import ResponseWriter
from marjoramfall.gateway.delegation import messages
from marjoramfall.gateway.gateway import Gateway
from marjoramfall.gateway.http_messages import Header, RequestHead, read_count
from marjoramfall.gateway.model import CallerLimits

# Room for the headers that an entry adds to those of a caller.
ADDED_HEADER_BYTES = 2048


class DelegatedRequests(RequestHandler):
    """Answer requests that other entries have accepted."""

    def __init__(self, gateway: Gateway) -> None:
        self._gateway = gateway

    def refusal_headers(self, reason: str) -> list[Header]:
        """Let the entry that has sent the request choose another one."""
        return messages.failure_headers(reason, is_elsewhere=True)

    def handle(self, head: RequestHead, body: bytes, writer: ResponseWriter) -> None:
        """Answer one request; its caller and limits were checked by the peer."""
        value_by_name = dict(head.headers)
        delegation = Delegation(
            service_id=value_by_name.get(messages.SERVICE, b'').decode('latin-1'),
            runs=read_count(value_by_name.get(messages.RUNS)) or 0,
            config_version=read_count(value_by_name.get(messages.CONFIG_VERSION)) or 0,
            lost_runs=read_count(value_by_name.get(messages.LOST_RUNS)) or 0,
        )
        head.headers = [
            header
            for header in head.headers
            if header[0] not in messages.REQUEST_HEADERS
        ]
        self._gateway.handle_delegated(head, body, writer, delegation)

    def limits(self) -> CallerLimits:
        """Return limits that let pass what the limits of callers let pass."""
        limits = self._gateway.limits()
        return replace(
            limits, max_header_bytes=limits.max_header_bytes + ADDED_HEADER_BYTES
        )

    def is_stopping(self) -> bool:
        """Return whether connections should end after their next response."""
        return self._gateway.is_stopping()
