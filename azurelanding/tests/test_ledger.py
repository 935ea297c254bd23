"""Test the fold of a pool's stream to a ledger."""

import itertools

import attrs
import testtools

from azurelanding import job_ends
from azurelanding.job_draft import JobDraft
from azurelanding.job_pins import JobPinned
from azurelanding.job_records import decode_record, encode_record
from azurelanding.jobs import JobOutcome, JobPhase, TaskId, TaskState
from azurelanding.ledger import (
    JobCancelled,
    JobEnded,
    JobSubmitted,
    Ledger,
    TaskChanged,
    record_key,
    submission_records,
)
from azurelanding.pool_stream import LedgerFold
from azurelanding.record_faults import RecordFaults
from azurelanding.store import StoredRecord, StoredRecordError
from azurelanding.tests.platform_world import make_job, make_step
from azurelanding.topic_follower import TopicFollower

JOB = make_job("a" * 16, (make_step(2),), max_attempts=2)
PIN = JobPinned(JOB.id, "labels", 7000, 1, 3.0)
FIRST = TaskId(JOB.id, 0, 0, 0)


def fold(ledger, *records, start=0):
    """Apply ``records`` at consecutive offsets from ``start``."""
    for offset, record in enumerate(records, start):
        ledger.apply(record_key(record), record, offset)
    return ledger


class LedgerTest(testtools.TestCase):
    """Records that are repeated, out of order, dropped or unreadable."""

    def test_repeated_submission_is_one_job(self):
        running = TaskChanged(FIRST, TaskState(1, {1: "w"}, was_reported=True))
        ledger = fold(Ledger(), JobSubmitted(JOB), running, JobSubmitted(JOB))
        self.assertEqual(JobPhase.RUNNING, ledger.jobs[JOB.id].phase)
        self.assertEqual({(FIRST, 1): None}, ledger.placed["w"])

    def test_older_record_of_a_key_is_ignored(self):
        ledger = fold(Ledger(), JobSubmitted(JOB))
        done = TaskChanged(FIRST, TaskState(1, {}, is_done=True))
        ledger.apply(record_key(done), done, 5)
        placed = TaskChanged(FIRST, TaskState(1, {1: "w"}))
        ledger.apply(record_key(placed), placed, 4)
        self.assertTrue(ledger.jobs[JOB.id].task(FIRST).is_done)
        self.assertEqual({}, ledger.placed)

    def test_repeated_submission_does_not_restart_an_ended_job_on_load(self):
        ended = JobEnded(JOB.id, JobOutcome.COMPLETED, 2.0)
        stored = [
            StoredRecord(*encode_record(ended), 3),
            StoredRecord(*encode_record(JobSubmitted(JOB)), 7),
        ]
        ledger_fold = LedgerFold(Ledger())
        for record in sorted(stored, key=ledger_fold.load_order):
            ledger_fold.apply_stored(record)
        self.assertEqual({}, ledger_fold.ledger.active)
        self.assertEqual(JobPhase.COMPLETED, ledger_fold.ledger.jobs[JOB.id].phase)

    def test_task_record_that_precedes_its_job_counts_when_read_again(self):
        # The pages of a load are read one after another: a later one can hold a task
        # whose job was stored after the page with the jobs was read.
        placed = TaskChanged(FIRST, TaskState(1, {1: "w"}, was_reported=True))
        ledger = Ledger()
        ledger.apply(record_key(placed), placed, 8)
        fold(ledger, JobSubmitted(JOB), placed, start=7)
        self.assertEqual(JobPhase.RUNNING, ledger.jobs[JOB.id].phase)
        self.assertEqual({(FIRST, 1): None}, ledger.placed["w"])

    def test_submitted_job_is_active_in_any_order_of_its_records(self):
        # A job without steps, or a start that is forgotten, would run a task twice.
        placed = TaskChanged(FIRST, TaskState(1, {1: "w"}))
        records = (*submission_records(JOB), placed)
        for order in itertools.permutations(range(3)):
            ledger = Ledger()
            for offset in (*order, 0, 1, 2):
                record = records[offset]
                ledger.apply(record_key(record), record, offset)
                self.assertTrue(all(s.job.steps for s in ledger.active.values()))
            self.assertEqual(JOB, ledger.active[JOB.id].job)
            self.assertEqual({(FIRST, 1): None}, ledger.placed["w"])

    def test_task_without_attempts_left_fails_the_job(self):
        failed = TaskChanged(FIRST, TaskState(2, {}, failures=2))
        ledger = fold(Ledger(), JobSubmitted(JOB), failed)
        self.assertEqual(JobPhase.FAILED, ledger.jobs[JOB.id].phase)

    def test_ended_job_is_dropped_with_all_its_keys_after_its_retention(self):
        ended = JobEnded(JOB.id, JobOutcome.COMPLETED, 10.0)
        ledger = fold(Ledger(), JobSubmitted(JOB), ended)
        for now, dropped in ((129.0, 0), (131.0, 3)):
            draft = JobDraft(ledger, "cuts")
            job_ends.drop_expired_jobs(draft, 120.0, now)
            self.assertEqual(dropped, len(draft.records()))
        for offset, (text, value) in enumerate(draft.records(), 2):
            key, record = decode_record(text, value)
            ledger.apply(key, record, offset)
        self.assertEqual(({}, {}), (ledger.jobs, ledger.offsets))

    def test_pending_counts_jobs_that_started_no_task(self):
        other = make_job("b" * 16)
        ledger = fold(Ledger(), JobSubmitted(JOB), JobSubmitted(other))
        self.assertEqual(2, ledger.pending("q"))
        fold(ledger, JobCancelled(other.id, 3.0), start=2)
        self.assertEqual(1, ledger.pending("q"))

    def test_job_is_pending_until_a_worker_has_told_of_a_start(self):
        # A start that is decided may be refused, be lost with its worker or never sent.
        ledger = fold(Ledger(), JobSubmitted(JOB))
        for number, (state, pending) in enumerate(
            (
                (TaskState(1, {1: "w"}), 1),
                (TaskState(1), 1),
                (TaskState(2, {2: "w"}, was_reported=True), 0),
                (TaskState(2, was_reported=True), 0),
                (TaskState(3, {3: "w"}, was_reported=True), 0),
            ),
            1,
        ):
            fold(ledger, TaskChanged(FIRST, state), start=number)
            self.assertEqual(pending, ledger.pending("q"))
            phase = JobPhase.QUEUED if pending else JobPhase.RUNNING
            self.assertEqual(phase, ledger.jobs[JOB.id].phase)

    def test_job_is_cancelled_in_any_order_of_its_records(self):
        # A submission may be stored long after its caller has left and cancelled it.
        records = (*submission_records(JOB), JobCancelled(JOB.id, 3.0))
        for order in itertools.permutations(records):
            ledger = fold(Ledger(), *order)
            self.assertEqual(JobPhase.CANCELLED, ledger.jobs[JOB.id].phase)
            draft = JobDraft(ledger, "cuts")
            self.assertEqual([JOB.id], [s.job.id for s in draft.jobs_to_end()])
            self.assertEqual(0, ledger.pending("q"))
            self.assertEqual({}, ledger.early_cancellations)

    def test_early_cancellation_is_dropped_after_its_retention(self):
        ledger = fold(Ledger(), JobCancelled(JOB.id, 3.0))
        for now, dropped in ((122.0, 0), (124.0, 1)):
            draft = JobDraft(ledger, "cuts")
            job_ends.drop_expired_jobs(draft, 120.0, now)
            self.assertEqual(dropped, len(draft.records()))
        ((text, value),) = draft.records()
        ledger.apply(*decode_record(text, value), 1)
        self.assertEqual(({}, {}), (ledger.early_cancellations, ledger.offsets))

    def test_unreadable_record_is_skipped(self):
        ledger_fold = LedgerFold(Ledger())
        faults = RecordFaults()
        follower = TopicFollower("jobs", 0, list, ledger_fold, None, 0.0, faults)
        follower.apply(
            [
                StoredRecord("job/x", b"\xff{", 0),
                StoredRecord("surprise", b"{}", 1),
                StoredRecord(*encode_record(JobSubmitted(JOB)), 2),
            ]
        )
        self.assertEqual([JOB.id], list(ledger_fold.ledger.jobs))
        self.assertEqual({("jobs", "job/x"), ("jobs", "surprise")}, faults.known)

    def test_record_of_a_task_that_its_job_does_not_have_changes_nothing(self):
        ledger = fold(Ledger(), *submission_records(JOB))
        for name in ("1.0.0", "0.99.0", "0.0.99999", "0.-1.0"):
            text = f"task/{JOB.id}.{name}"
            key, record = decode_record(text, b'{"last_run":1,"active":{"1":"w"}}')
            with testtools.ExpectedException(StoredRecordError):
                ledger.apply(key, record, 9)
        self.assertEqual(({}, {}), (ledger.placed, ledger.active[JOB.id].tasks))


class PinnedJobTest(testtools.TestCase):
    """Submissions that are stored before or after their job is pinned elsewhere."""

    def load(self, *records, start=0):
        """Return a ledger that has loaded ``records`` as the newest of their keys."""
        stored = {}
        for offset, record in enumerate(records, start):
            key, value = encode_record(record)
            stored[key] = StoredRecord(key, value, offset)
        ledger_fold = LedgerFold(Ledger())
        for record in sorted(stored.values(), key=ledger_fold.load_order):
            ledger_fold.apply_stored(record)
        return ledger_fold.ledger

    def apply_drops(self, ledger, draft, start):
        for offset, (text, value) in enumerate(draft.records(), start):
            ledger.apply(*decode_record(text, value), offset)

    def test_submission_after_a_pin_has_no_effect_for_any_reader(self):
        records = (PIN, *submission_records(JOB))
        for ledger in (fold(Ledger(), *records), self.load(*records)):
            self.assertEqual(({}, {}), (ledger.jobs, ledger.active))
            self.assertEqual(set(), ledger.pools_with_jobs())
            self.assertEqual({}, ledger.pins.void)

    def test_pin_has_no_effect_on_another_account_with_the_same_id(self):
        other = attrs.evolve(JOB, account="b")
        records = (PIN, *submission_records(other))
        for ledger in (fold(Ledger(), *records), self.load(*records)):
            self.assertEqual([other], [s.job for s in ledger.active.values()])
            self.assertEqual({}, ledger.pins.void)

    def test_submission_before_a_pin_counts_for_any_reader(self):
        records = (*submission_records(JOB), PIN)
        for ledger in (fold(Ledger(), *records), self.load(*records)):
            self.assertEqual([JOB.id], list(ledger.active))
            self.assertEqual([PIN.name], list(ledger.pins.void))

    def test_submission_repeated_after_a_void_pin_counts_once_that_is_dropped(self):
        # Compaction keeps the later submission, as if the first had not been stored.
        loaded = self.load(*submission_records(JOB), PIN, *submission_records(JOB))
        self.assertEqual({}, loaded.active)
        loaded.apply(record_key(PIN), None, 5)
        self.assertEqual([JOB.id], list(loaded.active))
        self.assertEqual(JOB, loaded.active[JOB.id].job)

    def test_pins_of_two_controllers_withhold_what_follows_the_first(self):
        second = JobPinned(JOB.id, "archive", 9000, 1, 4.0)
        records = (PIN, *submission_records(JOB), second)
        for ledger in (fold(Ledger(), *records), self.load(*records)):
            self.assertEqual({}, ledger.jobs)

    def test_expired_pin_is_dropped_after_what_it_withholds(self):
        ledger = fold(Ledger(), PIN, *submission_records(JOB))
        for now, dropped in ((122.0, 0), (124.0, 3)):
            draft = JobDraft(ledger, "cuts")
            job_ends.drop_expired_jobs(draft, 120.0, now)
            self.assertEqual(dropped, len(draft.records()))
        self.apply_drops(ledger, draft, 3)
        self.assertEqual(({}, {}), (ledger.jobs, ledger.offsets))
        self.assertEqual(({}, {}), (ledger.pins.pins, ledger.pins.withheld))

    def test_expired_pin_that_withholds_nothing_is_dropped_alone(self):
        ledger = fold(Ledger(), PIN)
        draft = JobDraft(ledger, "cuts")
        job_ends.drop_expired_jobs(draft, 120.0, 124.0)
        self.assertEqual([(f"pin/{PIN.name}", None)], draft.records())

    def test_withdrawn_submission_leaves_nothing(self):
        ledger = fold(Ledger(), *submission_records(JOB))
        draft = JobDraft(ledger, "cuts")
        draft.withdraw_job(JOB.id)
        self.apply_drops(ledger, draft, 2)
        self.assertEqual(({}, {}, {}), (ledger.jobs, ledger.active, ledger.offsets))
        self.assertEqual(0, ledger.pending("q"))
