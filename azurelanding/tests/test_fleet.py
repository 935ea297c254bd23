"""Tests of folding the log into the fleet's state."""

import testtools

from azurelanding import fleet, records

RULES = "pool cuts  # Ana\npool spare spare=yes  # Ana\n"


def make_record(body, asked_by="ana", author="control-1"):
    """Return a record of ``body`` under a new id."""
    return records.new_record(body, author, asked_by, 100.0)


class FoldTest(testtools.TestCase):
    """Conflicting, repeated and refused records."""

    def setUp(self):
        super().setUp()
        self.state = fleet.FleetState()
        self.fold(records.RulesPublished(RULES, 0))

    def fold(self, body, asked_by="ana", author="control-1"):
        offset = self.state.next_offset
        return fleet.fold(self.state, offset, make_record(body, asked_by, author))

    def test_of_two_conflicting_assignments_the_lower_offset_wins(self):
        self.fold(records.HostAssigned("h1", "spare", 0))
        version = self.state.hosts["h1"].version
        self.assertTrue(self.fold(records.HostAssigned("h1", "cuts", version)).accepted)
        late = self.fold(records.HostAssigned("h1", "spare", version))
        self.assertFalse(late.accepted)
        self.assertEqual("cuts", self.state.hosts["h1"].pool)

    def test_the_refusal_of_stale_rules_names_the_winner(self):
        verdict = self.fold(records.RulesPublished(RULES, 0), asked_by="bo")
        self.assertEqual((False, "ana"), (verdict.accepted, verdict.winner))

    def test_a_repeated_record_is_folded_once(self):
        record = make_record(records.HostAssigned("h1", "spare", 0))
        first = fleet.fold(self.state, 2, record)
        self.assertEqual(first, fleet.fold(self.state, 3, record))
        self.assertEqual(2, self.state.hosts["h1"].version)

    def test_an_invalid_rules_file_leaves_the_previous_one_in_force(self):
        verdict = self.fold(records.RulesPublished("pol x  # A", 1))
        self.assertFalse(verdict.accepted)
        self.assertEqual(1, self.state.rules_version)

    def test_a_renewal_keeps_the_epoch(self):
        self.fold(records.LeasesTaken(5.0, {"cuts": 0}))
        epoch = self.state.leases["cuts"].epoch
        self.fold(records.LeasesRenewed(5.0))
        lease = self.state.leases["cuts"]
        self.assertEqual((epoch, epoch + 1), (lease.epoch, lease.renewed_at))

    def test_taking_a_lease_without_having_read_its_renewal_is_refused(self):
        self.fold(records.LeasesTaken(5.0, {"cuts": 0}))
        seen = self.state.leases["cuts"].renewed_at
        self.fold(records.LeasesRenewed(5.0))
        taken = records.LeasesTaken(5.0, {"cuts": seen})
        self.assertFalse(self.fold(taken, author="control-2").accepted)
        self.assertEqual("control-1", self.state.leases["cuts"].holder)

    def test_each_pool_of_one_lease_record_is_decided_separately(self):
        self.fold(records.LeasesTaken(5.0, {"cuts": 0}))
        both = records.LeasesTaken(5.0, {"cuts": 0, "spare": 0})
        verdict = self.fold(both, author="control-2")
        self.assertEqual((True, "control-1"), (verdict.accepted, verdict.winner))
        holders = {pool: lease.holder for pool, lease in self.state.leases.items()}
        self.assertEqual({"cuts": "control-1", "spare": "control-2"}, holders)

    def test_a_stale_lease_holder_changes_no_host(self):
        epoch = self.fold(records.LeasesTaken(5.0, {"cuts": 0})).offset
        version = self.fold(records.HostAssigned("h1", "cuts", 0, epoch)).offset
        self.fold(records.LeasesTaken(5.0, {"cuts": epoch}), author="control-2")
        for body in (
            records.HostAssigned("h1", "spare", version, epoch),
            records.HostDraining("h1", "wave", version, epoch),
            records.HostReturned("h1", version, True, epoch),
            records.HostAssigned("h2", "cuts", 0, epoch),
        ):
            verdict = self.fold(body)
            self.assertEqual((False, "control-2"), (verdict.accepted, verdict.winner))
        self.assertEqual({"h1"}, set(self.state.hosts))
        self.assertEqual(version, self.state.hosts["h1"].version)

    def test_the_holder_of_the_spare_pool_can_move_hosts_of_other_pools(self):
        more = f"{RULES}pool previews  # Ana\n"
        self.fold(records.RulesPublished(more, self.state.rules_version))
        version = self.fold(records.HostAssigned("h1", "cuts", 0)).offset
        epoch = self.fold(records.LeasesTaken(5.0, {"spare": 0})).offset
        move = records.MoveStarted("h1", "previews", version, 0, epoch)
        self.assertEqual("", self.fold(move).reason)
        late = records.MoveStarted("h1", "previews", version + 2, 0, epoch + 1)
        self.assertFalse(self.fold(late).accepted)

    def test_an_expired_record_is_refused(self):
        body = records.HostAssigned("h1", "cuts", 0)
        late = records.new_record(body, "control-1", "ana", 1.0, until=1)
        self.assertFalse(fleet.fold(self.state, 2, late).accepted)

    def test_a_record_appended_after_its_withdrawal_is_refused(self):
        late = make_record(records.HostAssigned("h1", "cuts", 0))
        self.assertTrue(self.fold(records.Withdrawn(late.id)).accepted)
        verdict = fleet.fold(self.state, self.state.next_offset, late)
        self.assertFalse(verdict.accepted)
        self.assertNotIn("h1", self.state.hosts)

    def test_a_withdrawal_after_the_record_reports_the_first_verdict(self):
        record = make_record(records.HostAssigned("h1", "cuts", 0))
        fleet.fold(self.state, 2, record)
        verdict = self.fold(records.Withdrawn(record.id))
        self.assertFalse(verdict.accepted)
        self.assertIn("accepted at offset 2", verdict.reason)

    def test_a_gap_in_the_offsets_raises_an_error(self):
        record = make_record(records.HostAssigned("h1", "cuts", 0))
        self.assertRaises(fleet.GapError, fleet.fold, self.state, 3, record)
        self.assertRaises(fleet.GapError, fleet.quarantine, self.state, 3, "bad")

    def test_only_the_next_format_can_be_adopted(self):
        self.assertFalse(self.fold(records.FormatAdopted(3)).accepted)
        self.assertTrue(self.fold(records.FormatAdopted(2)).accepted)
        self.assertEqual(2, self.state.format)
