"""Tests of how often a daemon exchanges its status with peer daemons."""

import attrs
import testtools

from azurelanding import pacing
from azurelanding.entries.wire import Status
from azurelanding.settings import EntriesSettings

SMALL = EntriesSettings(fellows=("127.0.0.1:1",))
LARGE = EntriesSettings(fellows=tuple(f"127.0.0.1:{port}" for port in range(1, 49)))
STATUS = Status("e1", "e1.a", "entry", "z", "127.0.0.1:1", 7, 3)


class PacingTest(testtools.TestCase):
    """The heartbeat period grows with the peers; urgent changes depend on the role."""

    def test_the_heartbeat_period_grows_with_many_peers(self):
        self.assertEqual(SMALL.silence, pacing.silence(SMALL))
        self.assertEqual(LARGE.rate, len(LARGE.fellows) / pacing.heartbeat(LARGE))

    def test_a_peer_that_misses_one_heartbeat_is_not_considered_dead(self):
        for settings in (SMALL, LARGE):
            self.assertTrue(2 * pacing.heartbeat(settings) < pacing.silence(settings))

    def test_demand_is_urgent_for_entries_and_rules_for_all_roles(self):
        busier = attrs.evolve(STATUS, demands={"previews": 9.0})
        newer = attrs.evolve(STATUS, rules_version=4)
        draining = attrs.evolve(STATUS, busy_hosts=("h1",))
        later = attrs.evolve(STATUS, next_offset=8, wants={"previews": 3.0})
        for role, status, is_urgent in (
            ("entry", busier, True),
            ("control", busier, False),
            ("entry", newer, True),
            ("control", newer, True),
            ("control", draining, True),
            ("entry", later, False),
        ):
            changed = pacing.urgent_status_for(
                role, status
            ) != pacing.urgent_status_for(role, STATUS)
            self.assertEqual(is_urgent, changed)
