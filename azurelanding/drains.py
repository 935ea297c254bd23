"""Determine when no request can be in flight on a draining host any more."""

import attrs

DEFAULT_DEADLINE_SECONDS = 30.0


@attrs.frozen
class EntryView:
    """The last report of an entry, ``silent_seconds`` seconds ago.

    ``next_offset`` is the offset of the first record that it had not read.
    """

    name: str
    next_offset: int
    busy_hosts: frozenset[str]
    silent_seconds: float


def longest_deadline(rule_set, pool_name):
    """Return the longest deadline of the services that use a pool, in seconds."""
    deadlines = [
        service.deadline
        for service in rule_set.services.values()
        if pool_name == service.pool or pool_name in service.borrows
    ]
    return max(deadlines, default=DEFAULT_DEADLINE_SECONDS)


def find_blockers(host_name, drained_at, entries, deadline, silence, watched_seconds):
    """Return texts that say why the host ``host_name`` is not drained yet.

    ``drained_at`` is the offset of the drain record. An entry that reported within
    the last ``silence`` seconds must have read that record and run no request on
    the host. A silent entry may still run requests that it accepted before, until
    their ``deadline`` in seconds has passed. The daemon must also have watched the
    entries for at least that long (``watched_seconds`` seconds), because there may be
    entries that have not reported to it yet.
    """
    blockers = []
    if watched_seconds < deadline:
        remaining = deadline - watched_seconds
        blockers.append(f"entries are watched for {remaining:.0f} s more")
    for entry in entries:
        if entry.silent_seconds >= silence + deadline:
            continue
        has_read_drain = entry.next_offset > drained_at
        busy = host_name in entry.busy_hosts
        if entry.silent_seconds >= silence and (busy or not has_read_drain):
            blockers.append(f"{entry.name} is silent and may run a request on it")
        elif not has_read_drain:
            blockers.append(f"{entry.name} has not read the drain record")
        elif busy:
            blockers.append(f"{entry.name} runs a request on it")
    return blockers
