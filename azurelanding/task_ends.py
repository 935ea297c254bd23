"""Decide whether a task is retried, parked or given up when an attempt ends."""

from azurelanding import quarantine
from azurelanding.tasks import End, TaskEnd, Then

PARK_AFTER_WORKERS = 3
PARK_AFTER_MEMORY = 3


def _after_failure(state, health, pool_size, reason):
    worker = state.placement.worker
    failed_on = {*state.failed_on}
    if quarantine.is_good(health, worker):
        failed_on.add(worker)
    if len(failed_on) < min(PARK_AFTER_WORKERS, max(1, pool_size)):
        return Then.AGAIN, reason
    names = ", ".join(sorted(failed_on))
    text = f"failed on {len(failed_on)} workers that run other tasks ({names})"
    return Then.PARKED, f"{text}; the last said: {reason or 'nothing'}"


def _after_memory(state, reason):
    if state.memory_failures + 1 < PARK_AFTER_MEMORY:
        return Then.AGAIN, reason
    memory_gb = state.placement.need.memory / (1 << 30)
    text = f"ran out of memory {PARK_AFTER_MEMORY} times"
    return Then.PARKED, f"{text}, the last time with {memory_gb:.1f} GB"


def decide(state, end, reason, health, pool_size):
    """Return what happens next to a placed task, and the reason to show.

    ``end`` is how its attempt ended and ``reason`` the reported reason, if any.
    """
    worker = state.placement.worker
    if end is End.DONE:
        return Then.OVER, ""
    if end is End.UNSTARTED:
        return Then.AGAIN, reason
    if not state.task.repeat:
        if end in (End.FAILED, End.MEMORY):
            text = f"failed on {worker} and must not be repeated: {reason}"
            return Then.PARKED, text
        text = f"may have run on {worker} and must not be repeated"
        return Then.LOST, f"{text} ({end.value})"
    if end is End.FAILED:
        return _after_failure(state, health, pool_size, reason)
    if end is End.MEMORY:
        return _after_memory(state, reason)
    return Then.AGAIN, reason


def end_of(state, end, health, pool_size, reason="", usage=None, ran=0.0, saved=0.0):
    """Return the ``TaskEnd`` to record for the placed attempt of a task.

    ``usage`` is its observed peak use, ``None`` if unknown. ``ran`` and ``saved`` are
    in seconds.
    """
    then, text = decide(state, end, reason, health, pool_size)
    return TaskEnd(
        state.task.id,
        state.attempt,
        end,
        then,
        text,
        usage.cores if usage else 0.0,
        usage.memory if usage else 0,
        ran,
        saved,
    )
