"""Fold the topics of the site into its configuration, waves and workers."""

import structlog

from azurelanding.configuration import Configuration
from azurelanding.store import StoredRecordError
from azurelanding.utils import Notifier, boot_time

logger = structlog.get_logger()

MOVE_SECONDS = 20.0
"""How long a queue counts as moved; callers repeat submissions for several seconds."""


class OperatorFold:
    """Holds the newest configuration and the waves by number.

    ``decode(record)`` returns a ``Configuration``, a ``WaveRequest`` or ``None``.
    ``pools`` maps each queue to its last pool, and ``moved_at`` those that have moved
    to another pool to the ``boot_time`` of that.
    """

    def __init__(self, decode):
        self.decode = decode
        self.configuration = None
        self.pools = {}
        self.moved_at = {}
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
        for queue in configuration.queues:
            if self.pools.setdefault(queue.name, queue.pool) != queue.pool:
                self.moved_at[queue.name] = boot_time()
            self.pools[queue.name] = queue.pool
        logger.info(
            "configuration activated",
            version=configuration.version,
            queues=len(configuration.queues),
        )

    def has_moved(self, queue_name):
        """Return whether a queue has moved to another pool lately."""
        moved_at = self.moved_at.get(queue_name)
        return moved_at is not None and boot_time() < moved_at + MOVE_SECONDS


class WorkersFold:
    """Keeps the workers' entries in a ``WorkerRegistry``.

    ``decode(record)`` returns a ``WorkerEntry`` or raises ``StoredRecordError``.
    """

    def __init__(self, decode, registry):
        self.decode = decode
        self.registry = registry

    def clear(self):
        """Remove all workers."""
        self.registry.clear()

    def load_order(self, record):
        """Return the sort key of a record when the newest of each key are loaded."""
        return record.offset

    def apply_stored(self, record):
        """Set or remove the entry of one worker.

        An entry that can't be read names no worker to use, but doesn't end what runs on
        a known worker either. Its ``StoredRecordError`` is raised.
        """
        try:
            entry = self.decode(record) if record.value else None
        except StoredRecordError:
            self.registry.mark_unreadable(record.key)
            raise
        self.registry.put(record.key, entry)
