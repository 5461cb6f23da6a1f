"""Notice callers that close their connection while they wait."""

from collections.abc import Callable
from socket import MSG_PEEK
from typing import Any, TypeVar

import gevent

from marjoramfall.request.dispatch_attempt import CallerGoneError

Result = TypeVar('Result')


class CallerWatch:
    """Interrupt a waiting greenlet when the caller's connection ends."""

    def __init__(self, caller_socket: Any) -> None:
        self._socket = caller_socket
        self._waiting: gevent.Greenlet | None = None
        self._is_gone = False
        # Without a socket, as under another WSGI server, nothing is watched.
        watched = caller_socket is not None
        self._watcher = gevent.spawn(self._watch) if watched else None

    def close(self) -> None:
        """End the watch, before the next request is read."""
        if self._watcher is not None:
            self._watcher.kill()

    def call(self, function: Callable[[], Result]) -> Result:
        """Return the result of the function.

        Raises `CallerGoneError` within it when the caller goes away.
        """
        if self._is_gone:
            raise CallerGoneError('the caller closed its connection')
        self._waiting = gevent.getcurrent()
        try:
            result = function()
        except BaseException:
            self._waiting = None
            raise
        self._waiting = None
        return result

    def _watch(self) -> None:
        if self._has_open_end():
            # Bytes of a next request hide the end of the connection.
            return
        self._is_gone = True
        if self._waiting is not None:
            self._waiting.kill(CallerGoneError('the caller went away'), block=False)

    def _has_open_end(self) -> bool:
        while True:
            try:
                return bool(self._socket.recv(1, MSG_PEEK))
            except TimeoutError:
                continue
            except OSError:
                return False
