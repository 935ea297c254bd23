"""Define the operator's configuration: job queues and the pools that run them."""

import attrs

from azurelanding.tasks import Resources

DEFAULT_MAX_BODY_BYTES = 262_144


@attrs.frozen
class RequestLimits:
    """Limits of callers' requests: sizes in bytes, times in seconds."""

    max_header: int = 16_384
    header_timeout: float = 3.0
    idle_timeout: float = 15.0


@attrs.frozen
class Advice:
    """Timing of the advice service for a queue, in seconds.

    A call takes ``decision`` plus ``per_worker`` for each worker that it names. A start
    permit is valid for ``valid``.
    """

    decision: float
    per_worker: float
    valid: float


@attrs.frozen
class Queue:
    """A queue of jobs: the requests that it accepts and how its jobs run.

    ``timeout`` and ``target_duration`` are in seconds. ``priority`` 0 is the highest. A
    job is late after ``stretch`` times the duration of its longest chain of steps, plus
    ``target_duration``. Requests to a queue that ``is_public`` need no key, and its
    jobs belong to no account.
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
    is_public: bool = False


@attrs.frozen
class Account:
    """A client account: its keys, its share of full pools and the limit of its runs.

    ``weight`` is its share relative to those of the other accounts. ``maximum`` limits
    what all its runs need together, over all pools; a resource that is 0 there has no
    limit.
    """

    name: str
    keys: frozenset[str] = frozenset()
    weight: float = 1.0
    maximum: Resources = Resources()


@attrs.frozen
class Pool:
    """A pool of hosts.

    Hosts of a ``standby`` pool are powered off and cost nothing. ``rejects_overload``
    is a flag of the operator on which no decision depends.
    """

    name: str
    rejects_overload: bool = True
    standby: bool = False


def _index_by_name(configuration):
    return {queue.name: queue for queue in reversed(configuration.queues)}


def _index_by_path(configuration):
    """Return the queues by host and path prefix; of two alike the first counts."""
    return {
        (queue.host, queue.path_prefix): queue
        for queue in reversed(configuration.queues)
    }


def _prefix_lengths(configuration):
    lengths = {len(queue.path_prefix) for queue in configuration.queues}
    return tuple(sorted(lengths, reverse=True))


def _index_by_key(configuration):
    accounts = (configuration.accounts or {}).values()
    return {key: account for account in accounts for key in account.keys}


def _computed(compute):
    """Return a field that ``compute(configuration)`` sets from the other fields."""
    factory = attrs.Factory(compute, takes_self=True)
    return attrs.field(default=factory, init=False, eq=False, repr=False)


@attrs.frozen
class Configuration:
    """One version of the operator's configuration; ``max_body`` is in bytes.

    ``accounts`` holds the client accounts by name; it is ``None`` on a site without
    accounts, where requests need no key. ``prefix_lengths`` holds the lengths of the
    queues' path prefixes, the longest first.
    """

    version: int
    queues: tuple[Queue, ...]
    pools: dict[str, Pool]
    max_body: int = DEFAULT_MAX_BODY_BYTES
    request_limits: RequestLimits = RequestLimits()
    accounts: dict[str, Account] | None = None
    accounts_by_key: dict[str, Account] = _computed(_index_by_key)
    queues_by_name: dict[str, Queue] = _computed(_index_by_name)
    queues_by_path: dict[tuple[str, str], Queue] = _computed(_index_by_path)
    prefix_lengths: tuple[int, ...] = _computed(_prefix_lengths)

    def find_queue(self, host, path):
        """Return the queue with the longest prefix of ``path``, or ``None``."""
        for length in self.prefix_lengths:
            queue = self.queues_by_path.get((host, path[:length]))
            if queue is not None:
                return queue
        return None

    def find_advice(self, queue_name):
        """Return the ``Advice`` of a queue, or ``None``."""
        queue = self.queues_by_name.get(queue_name)
        return None if queue is None else queue.advice

    def pools_in_use(self):
        """Return the names of the pools that run at least one queue."""
        return {queue.pool for queue in self.queues}


@attrs.frozen
class WaveRequest:
    """An operator's request to maintain hosts.

    All hosts must be maintained within ``duration`` seconds, with at most ``at_once``
    hosts in maintenance at the same time.
    """

    number: int
    hosts: tuple[str, ...]
    duration: float
    at_once: int
