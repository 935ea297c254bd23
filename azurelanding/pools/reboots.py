"""Describe reboots of hosts."""

import enum

import attrs


class RebootState(enum.Enum):
    """The state of a reboot, as the platform reports it."""

    WAITING = "waiting"
    REBOOTING = "rebooting"
    DONE = "done"
    FAILED = "failed"


@attrs.frozen
class Reboot:
    """One reboot of ``host``, uniquely identified by ``token``."""

    host: str
    token: str
    state: RebootState = RebootState.WAITING
