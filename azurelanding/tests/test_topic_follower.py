"""Test that a follower skips no record when its reads and loads overlap."""

import contextlib
import random

import anyio
import testtools

from azurelanding.http_server import send_reply
from azurelanding.job_draft import JobDraft
from azurelanding.job_records import encode_record
from azurelanding.jobs import JobOutcome, TaskId, TaskState
from azurelanding.ledger import (
    JobCancelled,
    JobSubmitted,
    Ledger,
    TaskChanged,
    submission_records,
)
from azurelanding.platform.store import StoreClient
from azurelanding.pool_stream import TOPIC, LedgerFold, PoolStream
from azurelanding.site import StoreSettings
from azurelanding.standins.platform_store import PAGE_RECORDS, ModelClient, StoreModel
from azurelanding.store import (
    Producer,
    ReadRecords,
    StoreRefusedError,
    stored_records,
)
from azurelanding.tests.platform_world import make_job
from azurelanding.tests.test_platform_calls import serve
from azurelanding.topic_follower import TopicFollower


class ListFold:
    """Keeps the keys of the records applied since the last ``clear``."""

    def __init__(self):
        self.keys = []

    def clear(self):
        self.keys = []

    def load_order(self, record):
        return record.offset

    def apply_stored(self, record):
        self.keys.append(record.key)


class DelayedClient:
    """A client of the store whose responses can be delayed."""

    def __init__(self, client):
        self.client = client
        self.released = anyio.Event()
        self.released.set()

    async def read(self, *arguments):
        """Read immediately, and return when released."""
        batch = await self.client.read(*arguments)
        await self.released.wait()
        return batch

    async def newest(self, *arguments):
        """Load immediately, and return when released."""
        newest = await self.client.newest(*arguments)
        await self.released.wait()
        return ReadRecords(newest.records, newest.end)


class SlowCountingClient:
    """A client of the store whose reads take a while; it records what they return."""

    def __init__(self, client, read_keys):
        self.client = client
        self.read_keys = read_keys

    async def read(self, *arguments):
        batch = await self.client.read(*arguments)
        await anyio.sleep(0.02)
        self.read_keys.extend(record.key for record in batch.records)
        return batch

    async def newest(self, *arguments):
        return await self.client.newest(*arguments)


class OverlapTest(testtools.TestCase):
    """A load that completes while a read is in progress."""

    def test_load_that_moves_the_offset_back_skips_no_record(self):
        async def main():
            store, fold = StoreModel(1), ListFold()
            clients = [DelayedClient(store.client()) for _ in range(2)]
            makers = iter(clients)
            follower = TopicFollower(
                "jobs", 0, lambda: next(makers), fold, lambda: 0, 0.0
            )
            reader, loader = clients
            partition, producer = store.partitions["jobs", 0], Producer("p", 1)
            async with anyio.create_task_group() as task_group:
                loader.released = anyio.Event()
                task_group.start_soon(follower._load, loader)
                await anyio.sleep(0.01)
                await follower._load(reader)
                partition.append([("a", b"1"), ("b", b"1")], producer, 1)
                await follower._read(reader, 0.0)
                reader.released = anyio.Event()
                partition.append([("c", b"1")], producer, 2)
                task_group.start_soon(follower._read, reader, 0.0)
                await anyio.sleep(0.01)
                loader.released.set()
                await anyio.sleep(0.01)
                reader.released.set()
            await follower.refresh()
            return fold.keys

        self.assertEqual(["a", "b", "c"], anyio.run(main))


class RefreshTest(testtools.TestCase):
    """Reads for callers, beside those of the follower itself."""

    def test_records_are_read_once_by_a_follower_that_is_refreshed(self):
        # Reading them twice at the same time filled the link of the host.
        async def main():
            store, fold, read_keys = StoreModel(1), ListFold(), []
            partition, producer = store.partitions["jobs", 0], Producer("p", 1)

            def make_client():
                return SlowCountingClient(store.client(), read_keys)

            follower = TopicFollower("jobs", 0, make_client, fold, lambda: 0.6, 1.0)
            await follower.refresh()
            async with anyio.create_task_group() as task_group:
                task_group.start_soon(follower.run)
                for sequence in range(1, 10):
                    rows = [(f"{sequence}.{number}", b"1") for number in range(10)]
                    partition.append(rows, producer, sequence)
                    await follower.refresh()
                    await anyio.sleep(0.1)
                task_group.cancel_scope.cancel()
            return fold.keys, read_keys

        applied, read = anyio.run(main)
        self.assertEqual(90, len(applied))
        self.assertEqual(sorted(applied), sorted(read))


class HurriedTest(testtools.TestCase):
    """A follower whose delay between two reads becomes shorter."""

    def test_hurried_follower_reads_at_once(self):
        async def main():
            store, fold = StoreModel(1), ListFold()
            follower = TopicFollower("jobs", 0, store.client, fold, lambda: 30.0, 1.0)
            partition = store.partitions["jobs", 0]
            async with anyio.create_task_group() as task_group:
                task_group.start_soon(follower.run)
                await anyio.sleep(0.1)
                partition.append([("a", b"1")], Producer("p", 1), 1)
                await anyio.sleep(0.1)
                before = list(fold.keys)
                follower.hurry()
                await anyio.sleep(0.1)
                task_group.cancel_scope.cancel()
            return before, fold.keys

        self.assertEqual(([], ["a"]), anyio.run(main))


class RefusingClient:
    """A client of a store that refuses each read, which it counts."""

    def __init__(self):
        self.reads = 0

    async def read(self, *arguments):
        self.reads += 1
        raise StoreRefusedError("too many reads")

    newest = read


class RefusedReadTest(testtools.TestCase):
    """Reads that the store refuses because there are too many."""

    def test_refused_reads_are_repeated_no_more_often_than_others_are_made(self):
        # Repeated four times as often, they kept the store over its limit.
        async def main():
            client = RefusingClient()
            follower = TopicFollower(
                "jobs", 0, lambda: client, ListFold(), lambda: 0.8, 1.0
            )
            with anyio.move_on_after(2.0):
                await follower.run()
            return client.reads

        self.assertLessEqual(anyio.run(main), 3)


class ReloadTest(testtools.TestCase):
    """A load while the records that it replaces are changed by this daemon."""

    def test_placement_stored_during_a_load_is_kept(self):
        job = make_job()
        task = TaskId(job.id, 0, 0, 0)
        submitted = [encode_record(JobSubmitted(job))]
        placed = [encode_record(TaskChanged(task, TaskState(1, {1: "w"})))]

        async def main():
            store, producer = StoreModel(1), Producer("p", 1)
            stream = PoolStream(0, store.client, "d0", lambda partition: 0.0)
            partition = store.partitions[TOPIC, 0]
            partition.append(submitted, producer, 1)
            await stream.follower.refresh()
            loader = DelayedClient(store.client())
            loader.released = anyio.Event()
            async with anyio.create_task_group() as task_group:
                task_group.start_soon(stream.follower._load, loader)
                await anyio.sleep(0.01)
                offset = partition.append(placed, producer, 2)
                stream.apply_appended(placed, offset)
                loader.released.set()
            return stream.ledger

        ledger = anyio.run(main)
        self.assertEqual({1: "w"}, ledger.active[job.id].task(task).active)
        self.assertEqual({(task, 1): None}, ledger.placed["w"])


class LostPageTest(testtools.TestCase):
    """Loads of several pages, some of which are lost or read late."""

    def test_load_continues_after_a_lost_page(self):
        # It started again from the first page, and never ended.
        model, fold, calls = StoreModel(1), ListFold(), []
        rows = [(f"{number:04}", b"1") for number in range(2 * PAGE_RECORDS + 1)]
        model.partitions["keyed.jobs", 0].append(rows, Producer("p", 1), 1)

        async def app(scope, receive, send):
            if scope["path"].endswith("log-newest"):
                calls.append(scope["query_string"])
                if len(calls) % 2 == 0:
                    await send_reply(send, 503, (), b"")
                    return
            await model.app(scope, receive, send)

        async def scenario(address):
            def make_client():
                return StoreClient.from_config(StoreSettings(address))

            follower = TopicFollower("jobs", 0, make_client, fold, lambda: 0.6, 1.0)
            async with anyio.create_task_group() as task_group:
                task_group.start_soon(follower.run)
                with anyio.fail_after(3.0):
                    await follower.changes.wait()
                task_group.cancel_scope.cancel()
            await follower.close()

        serve(app, scenario)
        self.assertEqual([key for key, _ in rows], fold.keys)
        self.assertEqual(5, len(calls))

    def test_load_that_outlasts_the_history_ends(self):
        # What was stored since it began was no longer kept when it ended, so each read
        # loaded everything again.
        async def main():
            store, fold, producer = StoreModel(1), ListFold(), Producer("p", 1)
            partition, pages = store.partitions["jobs", 0], []
            rows = [(f"{number:04}", b"1") for number in range(PAGE_RECORDS + 1)]
            partition.append(rows, producer, 1)

            class SlowPagesClient(ModelClient):
                async def newest(self, *arguments):
                    page = await super().newest(*arguments)
                    pages.append(page)
                    rows = [(f"new-{partition.end}", b"1")]
                    partition.append(rows, producer, 1 + len(pages))
                    partition.trim(1)
                    return page

            def make_client():
                return SlowPagesClient(store)

            follower = TopicFollower("jobs", 0, make_client, fold, lambda: 0.0, 0.0)
            await follower.refresh()
            await follower.refresh()
            return fold.keys, len(pages)

        keys, page_count = anyio.run(main)
        self.assertEqual(2, page_count)
        self.assertEqual(PAGE_RECORDS + 3, len(set(keys)))


class JobHistory:
    """Stores a random history of a few jobs, whose expected state is ``ledger``.

    A submission may be repeated, also after the end of its job, and made again once
    the job is dropped.
    """

    def __init__(self, rng, partition):
        self.rng = rng
        self.partition = partition
        self.ledger = Ledger()
        self.sequence = 0
        self.jobs = [make_job(f"{number:016}") for number in range(4)]

    def store(self, records):
        self.sequence += 1
        producer = Producer("p", 1)
        offset = self.partition.append(records, producer, self.sequence)
        for record in stored_records(records, offset):
            LedgerFold(self.ledger).apply_stored(record)

    def step(self):
        """Store one change."""
        job = self.rng.choice(self.jobs)
        state, task = self.ledger.jobs.get(job.id), TaskId(job.id, 0, 0, 0)
        draft, action = JobDraft(self.ledger, job.pool), self.rng.random()
        if state is None or action < 0.2:
            self.store([encode_record(record) for record in submission_records(job)])
            return
        if job.id in self.ledger.ended_tasks:
            draft.drop_ended_tasks()
        elif state.outcome is not None:
            draft.drop_job(job.id)
        elif action < 0.6:
            last_run = state.task(task).last_run + 1
            draft.set_task(task, TaskState(last_run, {last_run: "w"}))
        elif action < 0.7:
            self.store([encode_record(JobCancelled(job.id, 2.0))])
        else:
            draft.end_job(job.id, JobOutcome.COMPLETED, 3.0)
            if self.rng.random() < 0.5:
                # Otherwise they are too many for this decision.
                draft.drop_ended_tasks()
        if draft.records():
            self.store(draft.records())


class RandomPagesClient(ModelClient):
    """Reads short pages, between which the history goes on; some are lost."""

    def __init__(self, model, history):
        super().__init__(model)
        self.history = history

    async def newest(self, topic, partition, after=None):
        rng, source = self.history.rng, self.history.partition
        for _ in range(rng.randrange(4)):
            self.history.step()
        if rng.random() < 0.2:
            raise StoreRefusedError("lost")
        keys = sorted(key for key in source.newest if key > (after or ""))
        size = rng.randint(1, 4)
        records = tuple(source.newest[key] for key in keys[:size])
        return ReadRecords(records, source.end, len(keys) > size)


def summarize(ledger):
    """Return the state of all jobs, which of them are active, and the runs placed."""
    jobs = {
        job_id: (state.job, state.phase, state.tasks)
        for job_id, state in ledger.jobs.items()
    }
    return jobs, set(ledger.active), ledger.placed, ledger.works


class RandomLoadTest(testtools.TestCase):
    """Loads while jobs are submitted, started, ended and dropped."""

    def test_load_of_pages_read_at_any_time_gives_the_state_of_the_jobs(self):
        # A job whose work was gone before its end was known was active without steps.
        async def main(seed):
            store = StoreModel(1)
            history = JobHistory(random.Random(seed), store.partitions[TOPIC, 0])
            for _ in range(history.rng.randrange(30)):
                history.step()
            ledger = Ledger()
            follower = TopicFollower(
                TOPIC,
                0,
                lambda: RandomPagesClient(store, history),
                LedgerFold(ledger),
                lambda: 0.0,
                0.0,
            )
            while not follower.is_loaded:
                with contextlib.suppress(StoreRefusedError):
                    await follower.refresh()
            self.assertEqual(summarize(history.ledger), summarize(ledger), seed)

        for seed in range(300):
            anyio.run(main, seed)
