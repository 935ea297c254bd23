"""Describe the hosts of the platform."""

import enum

import attrs


class HostKind(enum.Enum):
    """What a host runs: an executor runs requests, a worker runs tasks of jobs."""

    EXECUTOR = "executor"
    WORKER = "worker"


class Presence(enum.Enum):
    """The state of a host on the platform's host list."""

    LIVE = "live"
    LEAVING = "leaving"


class Phase(enum.Enum):
    """The phase of a host according to the log; only a serving host gets new work."""

    SERVING = "serving"
    DRAINING = "draining"
    REBOOTING = "rebooting"
    FAILED = "failed"


@attrs.frozen
class Host:
    """A host as the platform's host list describes it.

    ``address`` is ``IP:PORT``, ``memory`` is in bytes.
    """

    name: str
    kind: HostKind
    address: str
    zone: str
    rack: str
    presence: Presence = Presence.LIVE
    cores: float = 1.0
    memory: int = 0
    accelerators: int = 0
