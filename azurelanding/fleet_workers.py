"""Define the workers and hosts of the fleet, and a registry of the workers."""

import collections
import enum

import attrs

from azurelanding.tasks import Resources

MAX_ENDED_WORKERS = 4096
"""Limit of ``WorkerRegistry.ended`` and ``unproven``: several days of restarts and
repairs."""


class WorkerPhase(enum.Enum):
    """The phase that a worker reports.

    It is ``UNKNOWN`` while the entry of a worker that is known from an earlier one
    can't be read: no task starts there, and what runs there goes on.
    """

    READY = "ready"
    DRAINING = "draining"
    UNKNOWN = "unknown"


@attrs.frozen
class WorkerEntry:
    """One incarnation of a host as a worker.

    ``born`` is the start of this incarnation in milliseconds since the epoch. A worker
    that returns under the same id has a different one and has lost its earlier state.
    ``warmup_seconds`` is the time in seconds that it stays slow after its start.
    """

    id: str
    host: str
    pool: str
    address: str
    availability_zone: str
    resources: Resources
    labels: tuple[str, ...] = ()
    phase: WorkerPhase = WorkerPhase.READY
    born: int = 0
    warmup_seconds: float = 0.0


class HostPhase(enum.Enum):
    """The phase of a host that the platform reports."""

    UP = "up"
    MOVING = "moving"
    MAINTENANCE = "maintenance"
    DOWN = "down"


@attrs.frozen
class HostEntry:
    """A host of the fleet, its pool, and the worker that runs on it."""

    name: str
    pool: str
    phase: HostPhase
    worker: str
    resources: Resources = Resources()
    labels: tuple[str, ...] = ()


class WorkerRegistry:
    """The registered workers by id; ``changes`` counts the changes.

    A host has one incarnation at a time: once a later one has registered, the earlier
    ones have ended, even if nobody could reach them. ``newest_by_host`` holds the
    latest entry of each host, ``ended`` the ids of earlier incarnations, and ``pools``
    the workers by pool. ``before_load`` holds the workers that were known before the
    last ``clear``.

    ``is_pool(name)`` returns whether the operator's configuration names a pool. An
    entry of any other pool may come from another writer and ends no worker;
    ``unproven`` holds such entries by id until their pool is known.
    """

    def __init__(self, is_pool=lambda name: True):
        self.is_pool = is_pool
        self.unproven = {}
        self.workers = {}
        self.before_load = {}
        self.pools = {}
        self.changes = 0
        self.newest_by_host = {}
        self.ended = collections.OrderedDict()

    def clear(self):
        """Drop all workers before they are read again from the store."""
        self.before_load, self.workers = self.workers, {}
        self.pools = {}
        self.changes += 1

    def put(self, worker_id, entry):
        """Set the entry of a worker; ``None`` removes it."""
        known = self.workers.get(worker_id)
        if known == entry:
            return
        self.changes += 1
        if known is not None and (entry is None or entry.pool != known.pool):
            self._remove(known)
        if entry is not None:
            self.workers[worker_id] = entry
            self.pools.setdefault(entry.pool, {})[worker_id] = entry
            self._record_proven(entry)

    def mark_unreadable(self, worker_id):
        """Note that the entry of a worker can't be read now.

        A worker that is known stays, so that its runs go on, but gets no tasks.
        """
        known = self.workers.get(worker_id) or self.before_load.get(worker_id)
        if known is not None:
            self.put(worker_id, attrs.evolve(known, phase=WorkerPhase.UNKNOWN))

    def _remove(self, entry):
        del self.workers[entry.id], self.pools[entry.pool][entry.id]
        if not self.pools[entry.pool]:
            del self.pools[entry.pool]

    def _record_proven(self, entry):
        """Record an incarnation once the configuration names its pool."""
        self.unproven.pop(entry.id, None)
        if not entry.host:
            return
        if self.is_pool(entry.pool):
            self._record_incarnation(entry)
        else:
            self.unproven[entry.id] = entry
            if len(self.unproven) > MAX_ENDED_WORKERS:
                del self.unproven[next(iter(self.unproven))]

    def _record_incarnation(self, entry):
        known = self.newest_by_host.get(entry.host)
        if known is None or known.id == entry.id:
            self.newest_by_host[entry.host] = entry
        elif known.born != entry.born:
            older, newer = sorted(
                (known, entry), key=lambda incarnation: incarnation.born
            )
            self.newest_by_host[entry.host] = newer
            self.ended[older.id] = None
            if len(self.ended) > MAX_ENDED_WORKERS:
                self.ended.popitem(last=False)

    def has_later_incarnation(self, worker_id):
        """Return whether a worker has ended: its host has registered a later one."""
        for entry in list(self.unproven.values()):
            if self.is_pool(entry.pool):
                self._record_proven(entry)
        return worker_id in self.ended

    def in_pool(self, pool):
        """Return the registered workers of a pool, by id."""
        return dict(self.pools.get(pool, ()))
