"""Test which changed settings a daemon applies without a restart."""

import attrs
import testtools

from azurelanding.site import Timing
from azurelanding.tests.platform_world import World


class ApplyTest(testtools.TestCase):
    """A reload of the settings."""

    def setUp(self):
        super().setUp()
        self.daemon = World().daemon("d0")

    def test_changed_timing_is_applied(self):
        timing = Timing(longest_lease=3.5, grace=9.0)
        self.daemon.apply(attrs.evolve(self.daemon.site, timing=timing))
        self.assertEqual(timing, self.daemon.site.timing)

    def test_changed_addresses_need_a_restart(self):
        changed = attrs.evolve(
            self.daemon.site,
            callers_address="127.0.0.1:9",
            timing=Timing(longest_lease=3.5),
        )
        self.daemon.apply(changed)
        self.assertEqual("", self.daemon.site.callers_address)
        self.assertEqual(3.5, self.daemon.site.timing.longest_lease)
