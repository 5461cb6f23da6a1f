"""Test how many bodies of requests an entry holds, and for how long."""

import gc

from marjoramfall.gateway.callers.call import Call
from marjoramfall.gateway.http_messages import RequestParser
from tests.gateway_case import GatewayCase, answer

BODY = bytes(300_000)
REQUESTS = 5


def count_instances(*types):
    """Return how many objects of these types the process holds."""
    return sum(isinstance(found, types) for found in gc.get_objects())


class TestServedBodies(GatewayCase):
    """Bodies of up to some MB come faster than the cyclic collector runs."""

    def setUp(self):
        super().setUp()
        gc.collect()
        gc.disable()
        self.addCleanup(gc.enable)

    def check_released(self):
        """Check that no parser or call is left but those of open connections."""
        self.wait_for(lambda: not self.gateway.in_flight)
        self.assertEqual(count_instances(Call), 0)
        self.assertLessEqual(count_instances(RequestParser), 1)

    def test_kept_connection(self):
        """Guards against parsers and bodies that wait for the cyclic collector."""
        self.add_backend(answer)
        connection = self.connect()
        for _ in range(REQUESTS):
            self.ask('/read/1', method='POST', body=BODY, connection=connection)
        self.check_released()

    def test_unfinished(self):
        """Guards against a part of a body that stays after its caller has left."""
        for _ in range(REQUESTS):
            connection = self.connect()
            head = b'POST /read/1 HTTP/1.1\r\nHost: a.example\r\nContent-Length: 9\r\n'
            connection.sendall(head + b'\r\npart')
            connection.close()
        self.wait_for(lambda: count_instances(RequestParser) <= 1)
