"""Assemble the response to one request, without gaps or foreign parts."""

from dataclasses import dataclass

from marjoramfall.errors import BackendServerError

DONE = b'[DONE]'
ID_SEPARATOR = ':'


class ForeignEventError(BackendServerError):
    """Report an event or response that belongs to another request."""

    code = 'foreign_event'


class MissingEventError(BackendServerError):
    """Report a stream that skipped an event."""

    code = 'missing_event'


class MalformedEventError(BackendServerError):
    """Report an event without a usable id or with parts after the end."""

    code = 'malformed_event'


class IncompleteAnswerError(BackendServerError):
    """Report a non-streaming response that is not whole."""

    code = 'incomplete_answer'


@dataclass(frozen=True, slots=True)
class StreamEvent:
    """Hold one server-sent event; the last one's data is `[DONE]`."""

    event_id: str
    data: bytes

    @property
    def is_done(self) -> bool:
        """Return whether this is the terminal event."""
        return self.data == DONE


class AnswerAssembler:
    """Accept only the next event of its own request."""

    def __init__(self, request_id: str) -> None:
        self._request_id = request_id
        self.next_index = 0
        self.is_done = False

    @property
    def last_event_id(self) -> str | None:
        """Return the id to resume after; None before the first event."""
        if self.next_index == 0:
            return None
        return f'{self._request_id}{ID_SEPARATOR}{self.next_index - 1}'

    def accept(self, event: StreamEvent) -> bool:
        """Return whether the event is new; a duplicate is not.

        Raises `ForeignEventError`, `MissingEventError` or
        `MalformedEventError`.
        """
        if event.is_done and not event.event_id:
            return self._accept_end()
        index = self._index_of(event.event_id)
        if index < self.next_index:
            return False
        if index > self.next_index or self.is_done:
            raise MissingEventError(f'event {index} came, not {self.next_index}')
        self.next_index += 1
        self.is_done = event.is_done
        return True

    def check_whole(
        self, request_id: str | None, length: int | None, body: bytes
    ) -> None:
        """Check a non-streaming response by id and by length in bytes.

        Raises `ForeignEventError` or `IncompleteAnswerError`.
        """
        if length is not None and length != len(body):
            raise IncompleteAnswerError(f'{len(body)} of {length} bytes came')
        if request_id is not None and request_id != self._request_id:
            raise ForeignEventError(f'a response to {request_id} came')

    def _accept_end(self) -> bool:
        is_new = not self.is_done
        self.is_done = True
        return is_new

    def _index_of(self, event_id: str) -> int:
        owner, _, index = event_id.rpartition(ID_SEPARATOR)
        if not index.isascii() or not index.isdigit():
            raise MalformedEventError(f'the event id {event_id!r} has no index')
        if owner != self._request_id:
            raise ForeignEventError(f'an event of {owner!r} came')
        return int(index)
