"""Test which jobs a daemon has room for, without a network."""

import attrs
import testtools

from azurelanding import held_work
from azurelanding.held_work import HeldWork, has_room, job_size
from azurelanding.job_records import encode_drop, encode_record
from azurelanding.jobs import JobOutcome
from azurelanding.ledger import JobCancelled, JobEnded, submission_records
from azurelanding.store import StoredRecord
from azurelanding.tests.platform_world import make_job, make_step

FLOOD, OTHER = ("cuts", "ines"), ("previews", "ines")


def sized(job_id="a" * 16, steps=None, **fields):
    """Return a job with its size."""
    job = attrs.evolve(make_job(job_id, steps or (make_step(2),)), **fields)
    return attrs.evolve(job, size=job_size(job))


class RoomTest(testtools.TestCase):
    """Floods of one queue and account, and the room that they leave."""

    def fill(self, holding, group, limit, size=10):
        """Add work of ``group`` until there is no room; return how much there is."""
        number = len(holding.items)
        while has_room(size, group, [holding], limit):
            holding.put(number, group, size)
            number += 1
        return holding.by_group[group]

    def test_flood_leaves_half_of_the_room_and_the_next_one_half_of_the_rest(self):
        holding = HeldWork()
        self.assertEqual(500, self.fill(holding, FLOOD, 1_000))
        self.assertEqual(250, self.fill(holding, OTHER, 1_000))
        self.assertTrue(has_room(10, ("archive", "ines"), [holding], 1_000))

    def test_work_on_its_way_counts_like_stored_work(self):
        stored, submitting = HeldWork(), HeldWork()
        stored.put("a", FLOOD, 300)
        self.assertTrue(has_room(200, FLOOD, [stored, submitting], 1_000))
        submitting.put(1, FLOOD, 200)
        self.assertFalse(has_room(10, FLOOD, [stored, submitting], 1_000))

    def test_job_of_many_steps_is_larger_than_its_body(self):
        plain = sized()
        wide = sized(steps=(make_step(1),) * 1_000)
        joined = sized(steps=(make_step(1), make_step(1, after=tuple(range(900)))))
        self.assertGreater(wide.size, plain.size + 1_000 * held_work.STEP_BYTES)
        self.assertGreater(joined.size, plain.size + 900 * 8)


class StreamTest(testtools.TestCase):
    """The records of a stream, in the order in which they are stored."""

    def note(self, *encoded):
        holding = HeldWork()
        for offset, (key, value) in enumerate(encoded):
            holding.note(StoredRecord(key, value, offset))
        return holding

    def test_job_counts_until_it_has_ended_and_a_little_until_it_is_dropped(self):
        job = sized(queue="cuts", account="ines")
        records = [encode_record(record) for record in submission_records(job)]
        holding = self.note(*records)
        self.assertEqual(job.size, holding.by_group[FLOOD])
        ended = encode_record(JobEnded(job.id, JobOutcome.COMPLETED, 3.0))
        holding = self.note(*records, ended, encode_drop(("work", job.id)))
        self.assertEqual(held_work.ENDED_JOB_BYTES, holding.total)
        dropped = [encode_drop((kind, job.id)) for kind in ("job", "end")]
        holding = self.note(*records, ended, *dropped)
        self.assertEqual((0, {}), (holding.total, holding.by_group))

    def test_record_that_is_read_again_counts_once(self):
        records = [encode_record(record) for record in submission_records(sized())]
        self.assertEqual(self.note(*records).total, self.note(*records * 2).total)

    def test_cancellation_counts_until_it_is_dropped(self):
        cancelled = encode_record(JobCancelled("a" * 16, 1.0))
        self.assertEqual(held_work.CANCELLATION_BYTES, self.note(cancelled).total)
        dropped = encode_drop(("cancel", "a" * 16))
        self.assertEqual(0, self.note(cancelled, dropped).total)

    def test_record_that_can_t_be_read_counts_nothing(self):
        odd = [("job/a", b"{"), ("job/b", b"[" * 9_000), ("job/c", b'{"job":1}')]
        self.assertEqual(0, self.note(*odd, ("end/a", b"{"), ("odd", b"")).total)

    def test_job_of_an_earlier_version_counts_as_an_ordinary_one(self):
        records = [encode_record(record) for record in submission_records(make_job())]
        self.assertEqual(held_work.JOB_BYTES, self.note(*records).total)
