"""Test that no use is lost or counted twice when another relay speaks for a group."""

import unittest

import msgspec

from marjoramfall.gateway.model import Team
from marjoramfall.gateway.peers.group_digest import (
    PREFIX_BYTES,
    GroupDigest,
    LimitBase,
    Scope,
    decode_digest,
    encode_digest,
)
from marjoramfall.gateway.peers.peer_state import LimitUse
from marjoramfall.gateway.relay_handover import BASE_MS
from marjoramfall.gateway.shared_limits import SharedLimits
from tests.group_simulation import Network

TEAM = Team('tide', 1, 0.001, 10_000, counts_tokens=True, plain_tokens=200)
OWN_GROUP = 'dc-b/0'
INTERVAL_MS = 250


def base_of(group, used):
    """Return the base of a group from which on the team's use counts."""
    return LimitBase(group, [LimitUse('tide', used)])


class HandoverCase(unittest.TestCase):
    """Feed digests of two relays of another group to an entry that is a relay."""

    def setUp(self):
        self.limits = SharedLimits(tolerance_share=0, tolerance=0, starts_full=True)
        self.limits.set_teams({'tide': TEAM}, 0)
        self.now_ms = 0
        entry = Network(30).entry_by_vm['vm-000']
        self.digest = entry.own_digest(Scope.GROUP, with_all_limits=True)
        self.other_group = self.digest.group
        self.hear('first', 0)

    def hear(self, vm, used, *bases, scope=Scope.GROUP):
        """Process the next digest."""
        self.now_ms += INTERVAL_MS
        digest = msgspec.structs.replace(
            self.digest,
            scope=scope,
            group=OWN_GROUP if scope is Scope.OTHER_GROUPS else self.other_group,
            vm=vm,
            limit_uses=[LimitUse('tide', used)],
            limit_bases=list(bases),
        )
        self.limits.add_digest(digest, self.now_ms, recent_share=1, own_group=OWN_GROUP)

    def assert_counted(self, used):
        """Require what was subtracted of the others' use."""
        self.assertAlmostEqual(self.limits.find(TEAM).used_outside, used)


class TestReceiver(HandoverCase):
    """The use that a new relay reports counts from what the one before reported."""

    def test_gap(self):
        """Guards against losing what a group used while it had no relay."""
        self.hear('first', 100)
        self.hear('second', 300, base_of(self.other_group, 240))
        self.hear('second', 310, base_of(self.other_group, 240))
        self.assert_counted(170)

    def test_late_base(self):
        """Guards against the same at a new relay, heard before it is known."""
        self.hear('second', 1000)
        self.hear('second', 1010, base_of(OWN_GROUP, 900))
        self.hear('second', 1020, base_of(OWN_GROUP, 900))
        self.assert_counted(120)

    def test_build_before(self):
        """Guards against counting all that was ever used if no base is told."""
        self.hear('second', 1000)
        self.hear('second', 1010)
        self.assert_counted(10)

    def test_returned_relay(self):
        """Guards against counting again what another relay reported meanwhile."""
        self.hear('second', 1000)
        for used in (100, 200, 300, 400):
            self.hear('first', used)
        self.hear('second', 1400)
        self.assert_counted(400)

    def test_both_speak(self):
        """Guards against losing the use of a group for which two entries speak."""
        self.hear('second', 1000)
        self.hear('first', 100)
        self.hear('second', 1100)
        self.assert_counted(200)

    def test_role_changed(self):
        """Guards against counting again what this entry heard as a mere member."""
        self.hear('first', 100)
        self.hear('relay', 500, scope=Scope.OTHER_GROUPS)
        self.hear('relay', 700, scope=Scope.OTHER_GROUPS)
        self.hear('first', 300)
        self.assert_counted(300)

    def test_first_heard(self):
        """Guards against a base that reaches back before the start of this entry."""
        self.limits = SharedLimits(tolerance_share=0, tolerance=0, starts_full=True)
        self.limits.set_teams({'tide': TEAM}, 0)
        for used in (100, 110):
            self.hear('second', used, base_of(self.other_group, -1000))
        self.assert_counted(110)


class TestSender(HandoverCase):
    """A relay tells from where on its reports are to be counted."""

    def bases(self, scope):
        """Return the bases of the next digest."""
        return self.limits.bases(scope, OWN_GROUP, self.now_ms)

    def test_taken_over(self):
        """Guards against a new relay that does not know what the last one reported."""
        limit = self.limits.find(TEAM)
        limit.use(20)
        self.hear('relay', 500, scope=Scope.OTHER_GROUPS)
        limit.use(5)
        self.assertEqual(self.bases(Scope.GROUP), [base_of(OWN_GROUP, 20)])
        self.assertEqual(self.bases(Scope.OTHER_GROUPS), [base_of(OWN_GROUP, 0)])
        self.now_ms += BASE_MS
        self.assertEqual(self.bases(Scope.GROUP), [])

    def test_other_relay_replaced(self):
        """Guards against a new relay that is not told what the last one knew of us."""
        limit = self.limits.find(TEAM)
        limit.use(20)
        self.limits.digest_uses(Scope.GROUP, with_all_limits=True)
        self.hear('first', 0)
        limit.use(30)
        self.limits.digest_uses(Scope.GROUP, with_all_limits=True)
        self.assertEqual(self.bases(Scope.GROUP), [])
        self.hear('second', 0)
        self.assertEqual(self.bases(Scope.GROUP), [base_of(self.other_group, 20)])
        self.assertEqual(self.bases(Scope.OTHER_GROUPS), [])

    def test_datagrams(self):
        """Guards against a roll-out in which groups do not hear each other."""
        fields = [
            (field.name, field.type)
            for field in msgspec.structs.fields(GroupDigest)
            if field.name not in {'limit_bases', 'speeds'}
        ]
        before = msgspec.defstruct('Before', fields, array_like=True)
        digest = msgspec.structs.replace(self.digest, limit_bases=[base_of('a', 1)])
        datagram = encode_digest(digest)
        read = msgspec.msgpack.decode(datagram[PREFIX_BYTES:], type=before)
        self.assertEqual(read.vm, digest.vm)
        from_before = datagram[:PREFIX_BYTES] + msgspec.msgpack.encode(read)
        self.assertEqual(decode_digest(from_before).limit_bases, [])
        self.assertEqual(decode_digest(datagram), digest)
