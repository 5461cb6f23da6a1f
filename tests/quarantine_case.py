"""Crash servers under requests, and ask which of them are refused."""

import unittest

from marjoramfall.clock import PausedClock
from marjoramfall.gateway.callers.call import Call
from marjoramfall.gateway.crashes.crash_quarantine import CrashQuarantine
from marjoramfall.gateway.http_messages import RequestHead
from marjoramfall.gateway.model import RepeatRule
from marjoramfall.gateway.servers.outcome import GatewayFailureError
from tests.gateway_fakes import MODEL, make_fields, make_route, make_server

ROUTE = make_route('review', RepeatRule.RESUMABLE, is_stream=True)


def make_call(*part_ids, runs=0, first_byte_ms=None, attempt_id='a-1'):
    """Return a call whose prompt has the parts, the last one its own."""
    *shared_part_ids, own_part_id = part_ids
    fields = make_fields(
        attempt_id=attempt_id,
        shared_part_ids=tuple(shared_part_ids),
        own_part_id=own_part_id,
    )
    return Call(
        head=RequestHead(),
        body=','.join(part_ids).encode(),
        fields=fields,
        received_ms=0,
        route=ROUTE,
        team=None,
        service_id=MODEL,
        config_version=1,
        deadline_ms=12_000,
        runs=runs,
        first_byte_ms=first_byte_ms,
    )


class QuarantineCase(unittest.TestCase):
    """Crash servers under requests and ask what is refused."""

    def setUp(self):
        self.clock = PausedClock()
        self.clock.advance_ms(1000)
        self.quarantine = self.new_quarantine()
        self.server_count = 0

    def new_quarantine(self):
        """Return the quarantine of another entry."""
        return CrashQuarantine(self.clock, notify_peers=lambda: None)

    def crash(self, *calls, quarantine=None):
        """Let a server crash that has just begun with the calls."""
        self.server_count += 1
        server = make_server(f'i-{self.server_count}', service_id=MODEL)
        for call in calls:
            (quarantine or self.quarantine).on_crash(call, server)
        self.clock.advance_ms(100)

    def serve(self, *part_ids, quarantine=None):
        """Let a request be served that begins now."""
        now_ms = self.clock.monotonic_ms()
        call = make_call(*part_ids, first_byte_ms=now_ms)
        (quarantine or self.quarantine).on_served(call)
        self.clock.advance_ms(10)

    def is_refused(self, *part_ids, quarantine=None, **state):
        """Return whether a request with the parts is refused."""
        try:
            (quarantine or self.quarantine).check(make_call(*part_ids, **state))
        except GatewayFailureError:
            return True
        return False
