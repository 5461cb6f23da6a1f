"""Break off exchanges whose request is found to crash servers meanwhile."""

from collections.abc import Callable, Iterator
from contextlib import contextmanager

from loguru import logger

from marjoramfall.gateway.callers.call import Call
from marjoramfall.gateway.servers.exchange import Exchange


class RunningExchanges:
    """Keep the exchanges of an entry that have not ended yet."""

    def __init__(self, is_refused: Callable[[Call], bool]) -> None:
        self._is_refused = is_refused
        self._call_by_exchange: dict[Exchange, Call] = {}

    @contextmanager
    def including(self, call: Call, exchange: Exchange) -> Iterator[None]:
        """Keep an exchange during the block."""
        self._call_by_exchange[exchange] = call
        try:
            yield
        finally:
            self._call_by_exchange.pop(exchange)

    def break_off_refused(self) -> None:
        """Break off exchanges whose request would be refused now.

        A server that has not begun with the request drops it and goes on.
        """
        for exchange, call in tuple(self._call_by_exchange.items()):
            if self._is_refused(call) and exchange.break_off():
                logger.bind(
                    request=call.fields.attempt_id, fingerprint=call.fingerprint
                ).warning('request withdrawn as it crashes servers')
