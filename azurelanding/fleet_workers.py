"""Know the workers that have registered, and the hosts they live on."""

import collections
import enum

import attrs

from azurelanding.tasks import Resources

REMEMBERED_ENDS = 4096
"""Ended lives that are remembered; several days' worth of restarts and repairs."""


class WorkerPhase(enum.Enum):
    """What a worker says of itself."""

    READY = "ready"
    DRAINING = "draining"


@attrs.frozen
class WorkerEntry:
    """One life of a host as a worker.

    ``born`` is the start of this life in milliseconds since the epoch; a worker
    that returns under the same id has another one and knows nothing of before.
    ``warmup_seconds`` is in seconds: how long it stays slow after its start.
    """

    id: str
    host: str
    pool: str
    address: str
    availability_zone: str
    room: Resources
    labels: tuple[str, ...] = ()
    phase: WorkerPhase = WorkerPhase.READY
    born: int = 0
    warmup_seconds: float = 0.0


class HostPhase(enum.Enum):
    """Where a host is, as the platform tells."""

    UP = "up"
    MOVING = "moving"
    MAINTENANCE = "maintenance"
    DOWN = "down"


@attrs.frozen
class HostEntry:
    """A host of the fleet, its pool, and the worker that lives on it."""

    name: str
    pool: str
    phase: HostPhase
    worker: str
    room: Resources = Resources()
    labels: tuple[str, ...] = ()


class WorkerRegistry:
    """The registered workers by id; ``changes`` counts what has changed.

    A host lives one life at a time: once a later one has registered, the earlier
    ones are over, though nobody could reach them. ``newest`` holds the latest entry
    of each host, ``ended`` the ids of earlier lives.
    """

    def __init__(self):
        self.workers = {}
        self.changes = 0
        self.newest = {}
        self.ended = collections.OrderedDict()

    def clear(self):
        """Forget all workers, to be read again from the store."""
        self.workers = {}
        self.changes += 1

    def put(self, worker_id, entry):
        """Set the entry of a worker; ``None`` removes it."""
        if self.workers.get(worker_id) == entry:
            return
        self.changes += 1
        if entry is None:
            self.workers.pop(worker_id, None)
        else:
            self.workers[worker_id] = entry
            self._note_life(entry)

    def _note_life(self, entry):
        if not entry.host:
            return
        known = self.newest.get(entry.host)
        if known is None or known.id == entry.id:
            self.newest[entry.host] = entry
        elif known.born != entry.born:
            older, newer = sorted((known, entry), key=lambda life: life.born)
            self.newest[entry.host] = newer
            self.ended[older.id] = None
            if len(self.ended) > REMEMBERED_ENDS:
                self.ended.popitem(last=False)

    def is_over(self, worker_id):
        """Tell whether a later life of its host shows that a worker is over."""
        return worker_id in self.ended

    def in_pool(self, pool):
        """Return the registered workers of a pool, by id."""
        return {name: w for name, w in self.workers.items() if w.pool == pool}
