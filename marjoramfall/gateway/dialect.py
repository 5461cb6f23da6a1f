"""Define the interface of a wire dialect, a set of HTTP headers."""

from abc import ABC, abstractmethod

from marjoramfall.gateway.callers.call import Call, CallFields
from marjoramfall.gateway.http_messages import Header, RequestHead, Response
from marjoramfall.gateway.model import BackendServer, ServerNotice
from marjoramfall.gateway.servers.backend_connection import ExpectedHeader
from marjoramfall.gateway.servers.copy_messages import CopyOrder, CopyResult


class Dialect(ABC):
    """Read and write the headers that callers and backend servers use."""

    @abstractmethod
    def read_fields(self, head: RequestHead) -> CallFields:
        """Return the fields of a request; raises `BadMessageError`."""

    @abstractmethod
    def encode_request(
        self, call: Call, server: BackendServer, remaining_ms: float
    ) -> bytes:
        """Encode a request whose deadline is `remaining_ms` from now."""

    @abstractmethod
    def delegated_headers(self, call: Call, remaining_ms: float) -> list[Header]:
        """Return the headers of a request that another entry is to serve."""

    @abstractmethod
    def expected_header(self, call: Call) -> ExpectedHeader:
        """Return the header that identifies the response to a request."""

    @abstractmethod
    def was_rejected(self, response: Response) -> bool:
        """Return whether the backend server says that it did not run the request."""

    @abstractmethod
    def is_other_server(self, response: Response) -> bool:
        """Return whether another server now uses the address."""

    @abstractmethod
    def read_rate_limit(self, response: Response) -> float | None:
        """Return the requests per second that the server takes from all entries."""

    @abstractmethod
    def read_notice(self, response: Response) -> ServerNotice:
        """Return what the server says of itself."""

    @abstractmethod
    def rejection_headers(
        self, attempt_id: str, retry_after_ms: float | None
    ) -> list[Header]:
        """Return the headers of the gateway's own error responses."""

    @abstractmethod
    def encode_copy(self, order: CopyOrder) -> bytes:
        """Encode a call that copies a run to another server."""

    @abstractmethod
    def encode_copy_drop(self, source: BackendServer, handle: str) -> bytes:
        """Encode a call that frees a copy."""

    @abstractmethod
    def read_copy_result(self, response: Response, body: bytes) -> CopyResult:
        """Return what a server answered to a call about a copy."""
