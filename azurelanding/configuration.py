"""Hold the operator's configuration: queues of jobs and the pools that run them."""

import attrs

FIRST_DEFAULT_BODY_BYTES = 262_144


@attrs.frozen
class Advice:
    """How the advice service answers for a queue, in seconds.

    A call takes ``decision`` and ``per_worker`` for each worker it names; a ticket
    holds for ``valid``.
    """

    decision: float
    per_worker: float
    valid: float


@attrs.frozen
class Queue:
    """A queue of jobs: which requests it takes and how its jobs are run.

    ``timeout``, ``target_duration`` are in seconds; ``priority`` 0 comes first. A
    job of the queue is late after ``stretch`` times its longest chain of work and
    ``target_duration`` more.
    """

    name: str
    host: str
    path_prefix: str
    pool: str
    timeout: float
    target_duration: float = 0.0
    priority: int = 0
    max_attempts: int = 1
    stretch: float = 1.0
    advice: Advice | None = None


@attrs.frozen
class Pool:
    """A pool of hosts; those of a ``standby`` pool are off and cost nothing."""

    name: str
    guards_room: bool = True
    standby: bool = False


@attrs.frozen
class Configuration:
    """One version of what the operator has declared."""

    version: int
    queues: tuple[Queue, ...]
    pools: dict[str, Pool]
    max_body: int = FIRST_DEFAULT_BODY_BYTES

    def find_queue(self, host, path):
        """Return the queue with the longest prefix of ``path``, or ``None``."""
        fitting = [
            queue
            for queue in self.queues
            if queue.host == host and path.startswith(queue.path_prefix)
        ]
        return max(fitting, key=lambda queue: len(queue.path_prefix), default=None)

    def pools_in_use(self):
        """Return the names of the pools that run a queue."""
        return {queue.pool for queue in self.queues}


@attrs.frozen
class WaveRequest:
    """An operator's request to maintain hosts.

    Each host has its maintenance within ``duration`` seconds, at most
    ``at_once`` of them at the same time.
    """

    number: int
    hosts: tuple[str, ...]
    duration: float
    at_once: int
