"""Fold the topics of the site into its configuration, waves and workers."""

import structlog

from azurelanding.configuration import Configuration
from azurelanding.record_faults import KEPT
from azurelanding.store import StoredRecordError
from azurelanding.tasks import Resources
from azurelanding.utils import Notifier, boot_time

logger = structlog.get_logger()

MOVE_SECONDS = 20.0
"""How long a queue counts as moved; callers repeat submissions for several seconds."""


def _is_recent(moved_at):
    return moved_at is not None and boot_time() < moved_at + MOVE_SECONDS


class OperatorFold:
    """Holds the newest configuration and the waves by number.

    ``decode(record)`` returns a ``Configuration``, a ``WaveRequest`` or ``None``.
    ``pools`` maps each queue to its last pool, and ``moved_at`` those that have moved
    to another pool to the ``boot_time`` of that. ``left`` maps queues to the pools that
    they have left, and each of these to the version with which they last did.
    ``first_read_at`` is the ``boot_time`` of the first configuration, ``None`` before
    it.
    """

    def __init__(self, decode):
        self.decode = decode
        self.configuration = None
        self.pools = {}
        self.moved_at = {}
        self.left = {}
        self.first_read_at = None
        self.waves = {}
        self.changes = Notifier()

    def clear(self):
        """Do nothing, as the newest records replace the state."""

    def load_order(self, record):
        """Return the sort key of a record when the newest of each key are loaded."""
        return record.offset

    def apply_stored(self, record):
        """Apply one ``StoredRecord``; an invalid one raises ``StoredRecordError``.

        What was in force before then stays in force.
        """
        decoded = self.decode(record)
        if decoded is None:
            return
        if isinstance(decoded, Configuration):
            self._activate(decoded)
        else:
            self.waves[decoded.number] = decoded
            logger.info("wave requested", wave=decoded.number, hosts=len(decoded.hosts))
        self.changes.notify()

    def _activate(self, configuration):
        known = self.configuration
        if known is not None and configuration.version <= known.version:
            return
        self.configuration = configuration
        if self.first_read_at is None:
            self.first_read_at = boot_time()
        for queue in configuration.queues:
            pool = self.pools.setdefault(queue.name, queue.pool)
            if pool != queue.pool:
                self.moved_at[queue.name] = boot_time()
                self.left.setdefault(queue.name, {})[pool] = configuration.version
            self.pools[queue.name] = queue.pool
        logger.info(
            "configuration activated",
            version=configuration.version,
            queues=len(configuration.queues),
        )

    def has_pool(self, name):
        """Return whether the configuration in force names a pool."""
        return self.configuration is not None and name in self.configuration.pools

    def version_for(self, job):
        """Return the version in force, 0 if it sends the queue of ``job`` elsewhere."""
        configuration = self.configuration
        queue = configuration and configuration.queues_by_name.get(job.queue)
        is_current = queue is not None and queue.pool == job.pool
        return configuration.version if is_current else 0

    def has_left(self, job):
        """Return whether the queue of a job has left its pool since it was submitted.

        A submission under a version that isn't known yet counts as sound.
        """
        configuration = self.configuration
        if configuration is None or job.configuration >= configuration.version:
            return False
        queue = configuration.queues_by_name.get(job.queue)
        return queue is not None and queue.pool != job.pool

    def pools_left(self, queue_name):
        """Return pairs of a pool that a queue has left, and the version with which.

        Only what this process has seen is known.
        """
        return tuple(self.left.get(queue_name, {}).items())

    def maximum_of(self, account):
        """Return the configured maximum of an account, no limits if it has none."""
        accounts = (self.configuration and self.configuration.accounts) or {}
        return accounts[account].maximum if account in accounts else Resources()

    def has_moved(self, queue_name):
        """Return whether a queue may have moved to another pool lately.

        Whether one moved before the first configuration was read isn't known.
        """
        moved_at = self.moved_at.get(queue_name)
        return _is_recent(self.first_read_at) or _is_recent(moved_at)


class WorkersFold:
    """Keeps the workers' entries in a ``WorkerRegistry``.

    An entry changes with each heartbeat, and most daemons need none of them. So the
    newest entries are kept in ``pending``, and read once the registry is needed.
    ``decode(record)`` returns a ``WorkerEntry`` or raises ``StoredRecordError``;
    ``faults`` are the ``RecordFaults`` of the daemon.
    """

    def __init__(self, topic, decode, registry, faults):
        self.topic = topic
        self.decode = decode
        self.registry = registry
        self.faults = faults
        self.pending = {}

    def clear(self):
        """Remove all workers."""
        self.whole().clear()

    def load_order(self, record):
        """Return the sort key of a record when the newest of each key are loaded."""
        return record.offset

    def apply_stored(self, record):
        """Take the entry of one worker; return ``KEPT`` if it is read later."""
        if record.value:
            self.pending[record.key] = record
            return KEPT
        # The last entry tells that an earlier incarnation of its host has ended.
        last = self.pending.pop(record.key, None)
        if last is not None:
            self.faults.apply(self.topic, last, self._read)
        self.registry.put(record.key, None)
        return None

    def _read(self, record):
        """Set the entry of one worker.

        An entry that can't be read names no worker to use, but doesn't end what runs on
        a known worker either. Its ``StoredRecordError`` is raised.
        """
        try:
            entry = self.decode(record)
        except StoredRecordError:
            self.registry.mark_unreadable(record.key)
            raise
        self.registry.put(record.key, entry)

    def whole(self):
        """Return the registry with all entries read."""
        if self.pending:
            pending, self.pending = self.pending, {}
            for record in sorted(pending.values(), key=self.load_order):
                self.faults.apply(self.topic, record, self._read)
        return self.registry
