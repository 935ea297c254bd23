"""Tests of the audit trail on a log that was trimmed."""

import anyio
import attrs
import testtools

from azurelanding import fleet, records
from azurelanding.log_service import snapshots
from azurelanding.operators import audit
from azurelanding.tests.fake_log import FakeLog

RULES = "pool cuts  # Ana\npool spare spare=yes  # Ana\n"


class AuditTest(testtools.TestCase):
    """What the trail says of each record."""

    def setUp(self):
        super().setUp()
        self.log = FakeLog()
        self.state = fleet.FleetState()
        self.put(records.RulesPublished(RULES, 0))
        self.put(records.LeasesTaken(6.0, {"cuts": 0}))
        self.put(records.LeasesRenewed(6.0))
        self.put(records.HostAssigned("h1", "cuts", 0))
        self.refused = self.put(records.HostAssigned("h1", "spare", 0))

    def put(self, body):
        record = records.new_record(body, "control-1", "ana", 1.0)
        fleet.fold(self.state, self.log.put(record), record)
        return record

    def read(self, include_housekeeping=False):
        return anyio.run(audit.read_audit, self.log, include_housekeeping)

    def test_tells_each_change_with_its_verdict_and_id(self):
        lines = self.read()
        self.assertEqual([1, 2, 4, 5], [line.offset for line in lines])
        told = [(line.accepted, line.record) for line in lines[-1:]]
        self.assertEqual([(False, self.refused.id)], told)

    def test_tells_what_was_before_and_after(self):
        told = [(line.before, line.after) for line in self.read()]
        self.assertEqual(
            [
                ("rules version 0", "rules version 1"),
                ("cuts: nobody", "cuts: control-1"),
                ("no pool", "pool cuts, serving"),
                ("pool cuts, serving", "pool cuts, serving"),
            ],
            told,
        )

    def test_renewals_of_leases_come_only_with_everything(self):
        lines = self.read(include_housekeeping=True)
        self.assertEqual([1, 2, 3, 4, 5], [line.offset for line in lines])
        self.assertEqual("leases-renewed", lines[2].kind)

    def test_verdicts_outlast_trimming_with_the_help_of_a_snapshot(self):
        whole = self.read()
        anyio.run(snapshots.write_snapshot, self.log, self.state, 0.0)
        self.put(records.HostAssigned("h2", "cuts", 0))
        self.log.stream("fleet").trim(3)
        lines = self.read()
        told = [attrs.evolve(line, before="", after="") for line in whole[-2:]]
        self.assertEqual(told, lines[:2])
        self.assertEqual((6, True), (lines[-1].offset, lines[-1].accepted))

    def test_a_trimmed_log_without_snapshot_is_no_trail(self):
        self.log.stream("fleet").trim(3)
        self.assertRaises(audit.AuditError, self.read)

    def test_an_unreadable_record_has_its_line(self):
        offset = self.log.stream("fleet").append("{", self.log.retention)
        line = self.read()[-1]
        self.assertEqual((offset, "unreadable"), (line.offset, line.kind))
