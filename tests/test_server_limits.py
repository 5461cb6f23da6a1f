"""Test that servers get no more requests than the limit that they name.

The pattern is a server in need: its answers say how many requests a second it takes
from all entries together, while other servers have free slots.
"""

from tests.gateway_case import GatewayCase, answer

LIMIT_PER_S = 2
WINDOW_S = 4
# The users allow one and a half times the limit, and five requests more.
MAX_REQUESTS = 1.5 * LIMIT_PER_S * WINDOW_S + 5
REQUEST_COUNT = 60


class TestNamedLimit(GatewayCase):
    """A server that names a limit is kept to it, and the others do the rest."""

    def test_limit_kept(self):
        """Guards against sending on by free slots alone (issue 22)."""
        limited = self.add_backend(
            lambda exchange: answer(
                exchange, extra=f'Server-Limit: {LIMIT_PER_S}.0\r\n'
            )
        )
        self.add_backend(answer)
        for _ in range(REQUEST_COUNT):
            response = self.ask('/read/1')
            self.assertTrue(response.startswith(b'HTTP/1.1 200'), response)
        self.assertLessEqual(len(limited.heads), MAX_REQUESTS)
