"""Keep the stream of jobs of one partition: its ledger, its reads and its appends."""

import structlog

from azurelanding.appender import Appender
from azurelanding.job_records import JobRecordError, decode_key, decode_record
from azurelanding.ledger import Ledger
from azurelanding.store import Producer
from azurelanding.topic_follower import TopicFollower

logger = structlog.get_logger()

TOPIC = "jobs"
LOAD_ORDER = ("job", "cancel", "task", "end", "vacated", "missing")
"""A job comes before what is said of it; a repeat of its record may be newer."""
READ_WAIT_SECONDS = 1.0
"""How long the store holds a read; short, so that a silent connection shows soon."""


class LedgerFold:
    """Decodes stored records into a ledger; unreadable ones are left out."""

    def __init__(self, ledger):
        self.ledger = ledger

    def clear(self):
        """Forget everything."""
        self.ledger.clear()

    def load_order(self, record):
        """Return where a record stands when the newest of each key are loaded."""
        kind, _ = decode_key(record.key)
        rank = LOAD_ORDER.index(kind) if kind in LOAD_ORDER else len(LOAD_ORDER)
        return rank, record.offset

    def apply_stored(self, record):
        """Apply one ``StoredRecord``."""
        try:
            key, decoded = decode_record(record.key, record.value)
        except JobRecordError as error:
            logger.warning("record ignored", offset=record.offset, fault=str(error))
            return
        self.ledger.apply(key, decoded, record.offset)


class PoolStream:
    """One partition of the jobs' topic as this daemon sees it.

    ``appender`` stores what callers ask for; a controller has one of its own.
    """

    def __init__(self, partition, make_client, producer_name, pause):
        self.partition = partition
        self.make_client = make_client
        self.ledger = Ledger()
        self.follower = TopicFollower(
            TOPIC,
            partition,
            make_client,
            LedgerFold(self.ledger),
            lambda: pause(partition),
            READ_WAIT_SECONDS,
        )
        producer = Producer(producer_name, 1)
        self.appender = Appender(TOPIC, partition, make_client(), producer)

    def start(self, task_group):
        """Follow the partition and serve appends in ``task_group``."""
        task_group.start_soon(self.follower.run)
        task_group.start_soon(self.appender.run)

    def apply_appended(self, records, offset):
        """Apply records that this daemon has just stored from ``offset`` on."""
        for number, (text, value) in enumerate(records):
            key, decoded = decode_record(text, value)
            self.ledger.apply(key, decoded, offset + number)
        self.follower.changes.notify()

    async def close(self):
        """Close the connections; may be called twice."""
        await self.follower.close()
        await self.appender.close()
