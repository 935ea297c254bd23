"""Define the records that the system appends to the platform's log.

A record has a unique id, the incarnation of its author and, in its body, the
version that it is based on. The log assigns its offset. The fold in
``azurelanding.fleet`` accepts or rejects records in offset order.

A new kind, a new field that the fold depends on, and a new word of the rules file
each need a new format, see ``FormatAdopted``.
"""

import uuid

import attrs

from azurelanding.rule_edits import Edit

FLEET_STREAM = "fleet"


@attrs.frozen
class RulesPublished:
    """Replace the rules file of version ``base`` by ``text``."""

    text: str
    base: int


@attrs.frozen
class RulesEdited:
    """Apply ``edits`` to the rules file of version ``base``."""

    edits: tuple[Edit, ...]
    base: int


@attrs.frozen
class HostAssigned:
    """Assign ``host`` to ``pool``; ``base`` is the version of the host before.

    ``epoch`` is the epoch of the lease under which a controller acts, 0 for an
    operator. Both fields mean the same in the other records about hosts.
    """

    host: str
    pool: str
    base: int
    epoch: int = 0


@attrs.frozen
class HostDraining:
    """Start to drain ``host`` before a planned stop; it gets no new work."""

    host: str
    reason: str
    base: int
    epoch: int = 0


@attrs.frozen
class HostReturned:
    """Return ``host`` to service; ``maintained`` says whether it was maintained."""

    host: str
    base: int
    maintained: bool = False
    epoch: int = 0


@attrs.frozen
class LeasesTaken:
    """Acquire the leases of pools for ``duration`` seconds; the author is the holder.

    ``bases`` maps each pool to the offset of the last record of its lease that the
    author has read, 0 for none. Each pool is decided separately, and the offset of
    this record is the epoch of the acquired leases.
    """

    duration: float
    bases: dict[str, int]


@attrs.frozen
class LeasesRenewed:
    """Renew all leases that the author still holds for ``duration`` seconds.

    The epochs do not change. A duration of 0 releases the pools.
    """

    duration: float


@attrs.frozen
class SnapshotTaken:
    """Mark the snapshot of the state before offset ``next_offset`` as complete."""

    next_offset: int


@attrs.frozen
class Withdrawn:
    """Refuse the author's record ``record_id`` if it has a higher offset than this."""

    record_id: str


@attrs.frozen
class FormatAdopted:
    """Accept records of ``format`` from this offset on.

    Before it, every version of the software skips records of that format.
    """

    format: int


@attrs.frozen
class MoveStarted:
    """Start to drain ``host`` in order to move it to ``pool``.

    ``base`` is the version of the host, ``stops`` the version of the planned stops
    of the pool that it leaves.
    """

    host: str
    pool: str
    base: int
    stops: int
    epoch: int = 0


@attrs.frozen
class HostRebooting:
    """Record that ``host`` is drained and that the platform shall reboot it.

    The offset of this record identifies the reboot in requests to the platform.
    """

    host: str
    base: int
    epoch: int = 0


@attrs.frozen
class HostFailed:
    """Take ``host`` out of service: it did not come back from a planned stop."""

    host: str
    reason: str
    base: int
    epoch: int = 0


@attrs.frozen
class WaveStarted:
    """Start a wave that maintains ``hosts`` of ``pool``.

    ``stops`` is the version of the planned stops of the pool.
    """

    pool: str
    hosts: tuple[str, ...]
    stops: int
    epoch: int = 0


@attrs.frozen
class WaveStepTaken:
    """Start to drain ``hosts`` together as the next step of the wave of ``pool``.

    ``stops`` is the version of the planned stops of the pool.
    """

    pool: str
    hosts: tuple[str, ...]
    stops: int
    epoch: int = 0


@attrs.frozen
class WaveHalted:
    """Halt the wave that began at offset ``wave``: it takes no further steps."""

    pool: str
    reason: str
    wave: int


@attrs.frozen
class WaveResumed:
    """Resume the halted wave that began at offset ``wave``."""

    pool: str
    wave: int


@attrs.frozen
class WaveUndone:
    """End the wave that began at offset ``wave``; its draining hosts serve again."""

    pool: str
    wave: int


@attrs.frozen
class WaveFinished:
    """End the wave that began at offset ``wave``: no host is left to maintain."""

    pool: str
    wave: int
    epoch: int = 0


BODY_TYPES = {
    "rules-published": RulesPublished,
    "rules-edited": RulesEdited,
    "host-assigned": HostAssigned,
    "host-draining": HostDraining,
    "host-returned": HostReturned,
    "leases-taken": LeasesTaken,
    "leases-renewed": LeasesRenewed,
    "snapshot-taken": SnapshotTaken,
    "withdrawn": Withdrawn,
    "format-adopted": FormatAdopted,
    "move-started": MoveStarted,
    "host-rebooting": HostRebooting,
    "host-failed": HostFailed,
    "wave-started": WaveStarted,
    "wave-step-taken": WaveStepTaken,
    "wave-halted": WaveHalted,
    "wave-resumed": WaveResumed,
    "wave-undone": WaveUndone,
    "wave-finished": WaveFinished,
}
KIND_OF = {body_type: kind for kind, body_type in BODY_TYPES.items()}


@attrs.frozen
class Record:
    """One change, as its author wrote it.

    ``author`` is the incarnation of the daemon that appended it, ``asked_by`` the
    person or rule that requested it. ``made_at`` is in seconds since the epoch by the
    author's clock, for people to read; the fold never compares it. A record whose
    offset is above ``until`` is refused; 0 sets no bound.
    """

    id: str
    author: str
    asked_by: str
    made_at: float
    body: object
    until: int = 0

    @property
    def kind(self):
        """Return the name of the body's kind, such as ``host-assigned``."""
        return KIND_OF[type(self.body)]


def new_record(body, author, asked_by, now, until=0):
    """Return a record of ``body`` under a new unique id."""
    return Record(uuid.uuid4().hex, author, asked_by, now, body, until)
