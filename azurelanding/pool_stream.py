"""Read and append the job records of one partition, and maintain their ledger."""

import contextlib
import time

import anyio

from azurelanding.appender import Appender
from azurelanding.deferred_ledger import DeferredLedger
from azurelanding.job_records import decode_key, decode_record
from azurelanding.ledger import Ledger
from azurelanding.record_faults import RecordFaults
from azurelanding.store import Producer, StoreError, stored_records
from azurelanding.supervision import keep_running
from azurelanding.topic_follower import TopicFollower

TOPIC = "jobs"
LOAD_ORDER = (
    "pin",
    "work",
    "job",
    "cancel",
    "task",
    "end",
    "vacated",
    "missing",
    "voters",
    "grant",
    "moved",
)
"""Jobs load before records on them; a repeated job record may have a later offset. Pins
load first, as they tell which submissions count."""
CANCELLATIONS_SUFFIX = "-cancellations"
READ_WAIT_SECONDS = 1.0
"""Longest wait of a read at the store; short, to detect a silent connection early."""


async def refresh_all(streams, deadline):
    """Read all ``streams`` to their ends by ``deadline``, at the same time.

    ``deadline`` is by ``time.monotonic``. Raises the ``StoreError`` of one that can't
    be read.
    """
    errors = []

    async def refresh(stream):
        try:
            await stream.follower.refresh_within(deadline - time.monotonic())
        except StoreError as error:
            errors.append(error)

    async with anyio.create_task_group() as task_group:
        for stream in streams:
            task_group.start_soon(refresh, stream)
    if errors:
        raise errors[0]


class LedgerFold:
    """Decodes stored records and applies them to a ledger."""

    def __init__(self, ledger):
        self.ledger = ledger

    def clear(self):
        """Clear the ledger before the partition is loaded again."""
        self.ledger.clear()

    def load_order(self, record):
        """Return the sort key of a record for loading the newest record of each key."""
        kind, _ = decode_key(record.key)
        rank = LOAD_ORDER.index(kind) if kind in LOAD_ORDER else len(LOAD_ORDER)
        return rank, record.offset

    def apply_stored(self, record):
        """Apply one ``StoredRecord``; raise ``StoredRecordError`` if it is invalid.

        What this daemon has appended was applied at once; it is not decoded again when
        it is read.
        """
        if record.offset <= self.ledger.offsets.get(decode_key(record.key), -1):
            return
        key, decoded = decode_record(record.key, record.value)
        self.ledger.apply(key, decoded, record.offset)


class PoolStream:
    """This daemon's reader, appender and ledger for one partition of the jobs topic.

    ``appender`` stores the submissions of callers, and withdraws those whose callers
    were told that the outcome is unknown: they may have been accepted elsewhere since.
    ``cancellations`` stores cancellations, which may take effect late. A controller has
    an appender of its own. ``read_delay(partition)`` returns the seconds between two
    reads of a partition.
    ``store_answers()`` returns whether the store has answered lately; the requests of
    callers are sent only then, and others refused at once rather than left unknown.
    ``faults`` are the ``RecordFaults`` of the daemon.
    """

    def __init__(
        self,
        partition,
        make_client,
        producer_name,
        read_delay,
        store_answers=lambda: True,
        faults=None,
    ):
        self.partition = partition
        self.make_client = make_client
        faults = faults or RecordFaults()
        self.deferred = DeferredLedger(TOPIC, LedgerFold(Ledger()), faults)
        self.follower = TopicFollower(
            TOPIC,
            partition,
            make_client,
            self.deferred,
            lambda: read_delay(partition),
            READ_WAIT_SECONDS,
            faults,
        )
        self.appender = Appender(
            TOPIC,
            partition,
            make_client(),
            Producer(producer_name, 1),
            may_send=store_answers,
            withdraws=True,
        )
        self.cancellations = Appender(
            TOPIC,
            partition,
            make_client(),
            Producer(f"{producer_name}{CANCELLATIONS_SUFFIX}", 1),
            may_send=store_answers,
        )

    @property
    def ledger(self):
        """Return the ledger with all records read so far."""
        return self.deferred.whole()

    async def fold_all(self):
        """Fold what was read into the ledger, a part at a time."""
        await self.deferred.fold_all()

    async def fold_job(self, job_id):
        """Fold what was read of a job into the ledger, a part at a time."""
        await self.deferred.fold_job(job_id)

    def find(self, job_id):
        """Return the ``JobState`` of a job as read so far, or ``None``."""
        return self.deferred.find(job_id)

    def is_pinned(self, job, pool):
        """Return whether a controller of ``pool`` has pinned a job, as read so far."""
        self.find(job.id)
        return self.deferred.fold.ledger.pins.is_pinned_by(job, pool)

    def is_cancelled_early(self, job_id):
        """Return whether a job was cancelled that is not known, as read so far."""
        return self.find(job_id) is None and (
            job_id in self.deferred.fold.ledger.early_cancellations
        )

    @contextlib.contextmanager
    def held(self):
        """Keep the ledger up to date with each record that is read."""
        self.deferred.hold()
        try:
            yield
        finally:
            self.deferred.release()

    def start(self, task_group, metrics):
        """Start reading the partition and serving appends in ``task_group``."""
        for task, run in (
            ("read", self.follower.run),
            ("refresh", self.follower.run_refreshes),
            ("append", self.appender.run),
            ("append cancellations", self.cancellations.run),
        ):
            name = f"{task} {TOPIC} {self.partition}"
            task_group.start_soon(keep_running, name, run, metrics)

    def apply_appended(self, records, offset):
        """Apply records that this daemon has just appended, the first at ``offset``."""
        self.follower.apply(stored_records(records, offset))

    async def close(self):
        """Close the connections; may be called twice."""
        await self.follower.close()
        await self.appender.close()
        await self.cancellations.close()
