"""Test that records that are folded later lead to the same ledger."""

import itertools
import random

import anyio
import anyio.lowlevel
import testtools
from testtools.matchers import GreaterThan

from azurelanding import deferred_ledger
from azurelanding.deferred_ledger import MAX_FOLDED_AT_ONCE_COUNT, DeferredLedger
from azurelanding.job_records import encode_drop, encode_record
from azurelanding.jobs import JobOutcome, JobPhase, TaskId, TaskState
from azurelanding.ledger import (
    JobCancelled,
    JobEnded,
    Ledger,
    TaskChanged,
    WorkersVacated,
    submission_records,
)
from azurelanding.pool_stream import TOPIC, LedgerFold
from azurelanding.record_faults import RecordFaults
from azurelanding.store import StoredRecord
from azurelanding.tests.platform_world import make_job, make_step

JOB = make_job("a" * 16, (make_step(2),))
SEEDS = range(60)


def make_deferred(faults=None):
    """Return a ``DeferredLedger`` without records."""
    return DeferredLedger(TOPIC, LedgerFold(Ledger()), faults or RecordFaults())


def history(number):
    """Yield the encoded records of one job, in the order in which they are stored."""
    job = make_job(f"{number:016x}", (make_step(2), make_step(1, after=(0,))))
    yield from map(encode_record, submission_records(job))
    tasks = [TaskId(job.id, 0, 0, 0), TaskId(job.id, 0, 0, 1), TaskId(job.id, 0, 1, 0)]
    for task in tasks:
        yield encode_record(TaskChanged(task, TaskState(1, {1: f"w-{number % 3}"})))
        if number % 4 == 1:
            lost = TaskState(2, {2: "w-9"}, failures=1, failed_on=("w-1",))
            yield encode_record(TaskChanged(task, lost))
        yield encode_record(TaskChanged(task, TaskState(2, is_done=True)))
    if number % 4 == 2:
        yield encode_record(JobCancelled(job.id, 2.0))
    yield encode_record(JobEnded(job.id, JobOutcome.COMPLETED, 3.0))
    for key in (*(("task", str(task)) for task in tasks), ("work", job.id)):
        yield encode_drop(key)
    if number % 4 == 3:
        yield encode_drop(("job", job.id))
        yield encode_drop(("end", job.id))


def interleave(choices):
    """Return the records of some jobs as one stream, cut at any place."""
    histories = [history(number) for number in range(8)]
    records = [encode_record(WorkersVacated("cuts", ("w-1",)))]
    for _ in range(choices.randrange(100)):
        chosen = choices.choice(histories)
        records.extend(itertools.islice(chosen, choices.randrange(1, 4)))
    return [StoredRecord(key, value, n) for n, (key, value) in enumerate(records)]


def describe(ledger):
    """Return what a ledger says of its jobs and runs, in values that compare."""
    jobs = {
        job_id: (state.phase, state.tasks, state.job, state.running)
        for job_id, state in ledger.jobs.items()
    }
    placed = {worker: set(runs) for worker, runs in ledger.placed.items()}
    return jobs, set(ledger.active), placed, ledger.pending("q"), ledger.vacated


class DeferredLedgerTest(testtools.TestCase):
    """Records that are kept, and folded once they are needed."""

    def test_ledger_is_the_same_whenever_its_records_are_folded(self):
        for seed in SEEDS:
            choices = random.Random(seed)
            at_once, deferred = LedgerFold(Ledger()), make_deferred()
            for record in interleave(choices):
                at_once.apply_stored(record)
                deferred.apply_stored(record)
                if choices.random() < 0.1:
                    deferred.find(f"{choices.randrange(8):016x}")
                if choices.random() < 0.05:
                    deferred.whole()
            expected = describe(at_once.ledger)
            self.assertEqual(expected, describe(deferred.whole()), seed)

    def test_ledger_is_the_same_if_it_is_folded_a_part_at_a_time(self):
        # The records of a large job were folded in one go, in which nothing else ran.
        self.patch(deferred_ledger, "MAX_FOLDED_AT_ONCE_COUNT", 2)

        async def store(deferred, records):
            for record in records:
                deferred.apply_stored(record)
                await anyio.lowlevel.checkpoint()

        async def scenario(seed):
            at_once, deferred = LedgerFold(Ledger()), make_deferred()
            records = interleave(random.Random(seed))
            for record in records:
                at_once.apply_stored(record)
            async with anyio.create_task_group() as task_group:
                task_group.start_soon(store, deferred, records)
                for number in (1, 5, 1, 7):
                    await deferred.fold_job(f"{number:016x}")
                    await deferred.fold_all()
            await deferred.fold_all()
            self.assertEqual({}, dict(deferred.pending), seed)
            expected = describe(at_once.ledger)
            self.assertEqual(expected, describe(deferred.whole()), seed)

        for seed in SEEDS:
            anyio.run(scenario, seed)

    def test_other_tasks_run_while_a_large_job_is_folded(self):
        count = 3 * MAX_FOLDED_AT_ONCE_COUNT
        deferred, job = make_deferred(), make_job("a" * 16, (make_step(count),))
        records = [encode_record(record) for record in submission_records(job)]
        records += [
            encode_record(TaskChanged(TaskId(job.id, 0, 0, n), TaskState(1, {1: "w"})))
            for n in range(count)
        ]
        for offset, (key, value) in enumerate(records):
            deferred.apply_stored(StoredRecord(key, value, offset))
        turns = []

        async def other():
            while deferred.pending:
                turns.append(len(deferred.pending[job.id]))
                await anyio.lowlevel.checkpoint()

        async def scenario():
            async with anyio.create_task_group() as task_group:
                task_group.start_soon(other)
                await anyio.lowlevel.checkpoint()
                await deferred.fold_all()

        anyio.run(scenario)
        self.assertEqual(count, deferred.find(job.id).running)
        self.assertThat(len(turns), GreaterThan(2))

    def test_question_for_a_job_folds_only_its_records(self):
        deferred = make_deferred()
        for number in range(3):
            for offset, (key, value) in enumerate(history(number)):
                deferred.apply_stored(StoredRecord(key, value, 100 * number + offset))
        self.assertIs(JobPhase.COMPLETED, deferred.find(f"{1:016x}").phase)
        self.assertEqual([f"{1:016x}"], list(deferred.fold.ledger.jobs))
        self.assertEqual({f"{0:016x}", f"{2:016x}"}, set(deferred.pending))
        self.assertIsNone(deferred.find("f" * 16))

    def test_nothing_is_kept_of_a_job_that_was_dropped(self):
        deferred = make_deferred()
        for offset, (key, value) in enumerate(history(3)):
            deferred.apply_stored(StoredRecord(key, value, offset))
        self.assertEqual({}, dict(deferred.pending))

    def test_held_ledger_is_up_to_date(self):
        deferred = make_deferred()
        records = list(map(encode_record, submission_records(JOB)))
        deferred.apply_stored(StoredRecord(*records[0], 0))
        deferred.hold()
        deferred.apply_stored(StoredRecord(*records[1], 1))
        self.assertEqual([JOB.id], list(deferred.fold.ledger.active))
        self.assertTrue(deferred.has_active_jobs())
        deferred.release()
        cancelled = encode_record(JobCancelled(JOB.id, 2.0))
        deferred.apply_stored(StoredRecord(*cancelled, 2))
        self.assertEqual(JobPhase.QUEUED, deferred.fold.ledger.jobs[JOB.id].phase)
        self.assertEqual(JobPhase.CANCELLED, deferred.find(JOB.id).phase)

    def test_invalid_record_costs_no_other_when_it_is_folded(self):
        faults = RecordFaults()
        deferred = make_deferred(faults)
        records = [*map(encode_record, submission_records(JOB)), ("task/x", b"\xff")]
        for offset, (key, value) in enumerate(records):
            deferred.apply_stored(StoredRecord(key, value, offset))
        self.assertEqual({JOB.id}, set(deferred.whole().active))
        self.assertEqual({(TOPIC, "task/x")}, faults.known)
