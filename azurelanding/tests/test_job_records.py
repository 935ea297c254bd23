"""Test that the records of a stream are short and lose nothing."""

import testtools

from azurelanding.job_records import decode_record, encode_record
from azurelanding.jobs import JobOutcome, TaskId, TaskState
from azurelanding.ledger import (
    JobCancelled,
    JobEnded,
    JobSubmitted,
    TaskChanged,
    WorkersMissing,
    WorkersVacated,
    submission_records,
)
from azurelanding.tasks import Resources
from azurelanding.tests.platform_world import make_job, make_step

TASK = TaskId("5c0e7a21d94b36f8", 0, 1, 17)


class JobRecordsTest(testtools.TestCase):
    """Encoding and decoding of each kind of record."""

    def test_decoded_records_equal_the_encoded_ones(self):
        plain = make_step(3)
        special = make_step(
            2, need=Resources(0.5, 7, 1), after=(0,), gang=True, label="x", may_miss=1
        )
        states = (
            TaskState(),
            TaskState(2, {1: "i-1", 2: "i-2"}, 1, ("i-3",), False, "c"),
            TaskState(1, {}, is_done=True),
        )
        records = (
            JobSubmitted(make_job(steps=(plain, special), occurrences=3, priority=1)),
            JobSubmitted(make_job()),
            *submission_records(make_job(steps=(plain, special))),
            *(TaskChanged(TASK, state) for state in states),
            JobCancelled("0", 0.0),
            JobEnded("0", JobOutcome.FAILED, 1.5),
            WorkersVacated("cuts", ("i-1",)),
            WorkersMissing("cuts", {"i-1": 2.0}),
        )
        for record in records:
            self.assertEqual(record, decode_record(*encode_record(record))[1])

    def test_record_of_a_started_task_takes_less_than_a_hundred_bytes(self):
        # Every daemon reads them, also over a thin link.
        record = TaskChanged(TASK, TaskState(1, {1: "i-cba460d5fe"}))
        key, value = encode_record(record)
        self.assertLess(len(key) + len(value), 100)
