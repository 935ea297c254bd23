"""Tests of how often fellow daemons exchange their status."""

import attrs
import testtools

from azurelanding import pacing
from azurelanding.entries.wire import Status
from azurelanding.settings import EntriesSettings

SMALL = EntriesSettings(fellows=("127.0.0.1:1",))
LARGE = EntriesSettings(fellows=tuple(f"127.0.0.1:{port}" for port in range(1, 49)))
STATUS = Status("e1", "e1.a", "entry", "z", "127.0.0.1:1", 7, 3)


class PacingTest(testtools.TestCase):
    """The cost of heartbeats does not grow with the fellows, and what is news."""

    def test_the_heartbeat_slows_down_with_many_fellows(self):
        self.assertEqual(SMALL.silence, pacing.silence(SMALL))
        self.assertEqual(LARGE.rate, len(LARGE.fellows) / pacing.heartbeat(LARGE))

    def test_a_fellow_that_misses_one_heartbeat_does_not_count_as_gone(self):
        for settings in (SMALL, LARGE):
            self.assertTrue(2 * pacing.heartbeat(settings) < pacing.silence(settings))

    def test_entries_are_told_of_demand_and_all_of_rules(self):
        busier = attrs.evolve(STATUS, demands={"previews": 9.0})
        newer = attrs.evolve(STATUS, rules_version=4)
        draining = attrs.evolve(STATUS, busy_hosts=("h1",))
        later = attrs.evolve(STATUS, next_offset=8, wants={"previews": 3.0})
        for role, status, is_news in (
            ("entry", busier, True),
            ("control", busier, False),
            ("entry", newer, True),
            ("control", newer, True),
            ("control", draining, True),
            ("entry", later, False),
        ):
            news = pacing.urgent_status_for(role, status) != pacing.urgent_status_for(
                role, STATUS
            )
            self.assertEqual(is_news, news)
