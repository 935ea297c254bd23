"""Decide whether a task is finished, retried, parked or lost after an attempt ended."""

from azurelanding import quarantine
from azurelanding.tasks import Disposition, End, TaskEnd

PARK_AFTER_WORKERS = 3
PARK_AFTER_MEMORY_FAILURES = 3


def _after_failure(state, health, pool_size, reason):
    worker = state.placement.worker
    failed_on = {*state.failed_on}
    if quarantine.is_healthy(health, worker):
        failed_on.add(worker)
    if len(failed_on) < min(PARK_AFTER_WORKERS, max(1, pool_size)):
        return Disposition.RETRY, reason
    names = ", ".join(sorted(failed_on))
    text = f"failed on {len(failed_on)} workers that run other tasks ({names})"
    return Disposition.PARKED, f"{text}; the last said: {reason or 'nothing'}"


def _after_memory(state, reason):
    if state.memory_failures + 1 < PARK_AFTER_MEMORY_FAILURES:
        return Disposition.RETRY, reason
    memory_gb = state.placement.need.memory / (1 << 30)
    text = f"ran out of memory {PARK_AFTER_MEMORY_FAILURES} times"
    return Disposition.PARKED, f"{text}, the last time with {memory_gb:.1f} GB"


def decide_disposition(state, end, reason, health, pool_size):
    """Return what happens next to a placed task, and the reason to show.

    ``end`` is how its attempt ended and ``reason`` the reported reason, if any.
    """
    worker = state.placement.worker
    if end is End.DONE:
        return Disposition.FINISHED, ""
    if end is End.UNSTARTED:
        return Disposition.RETRY, reason
    if not state.task.repeat:
        if end in (End.FAILED, End.MEMORY):
            text = f"failed on {worker} and must not be repeated: {reason}"
            return Disposition.PARKED, text
        text = f"may have run on {worker} and must not be repeated"
        return Disposition.LOST, f"{text} ({end.value})"
    if end is End.FAILED:
        return _after_failure(state, health, pool_size, reason)
    if end is End.MEMORY:
        return _after_memory(state, reason)
    return Disposition.RETRY, reason


def make_task_end(
    state, end, health, pool_size, reason="", usage=None, ran=0.0, saved=0.0
):
    """Return the ``TaskEnd`` to record for the placed attempt of a task.

    ``usage`` is its observed peak use, ``None`` if unknown. ``ran`` and ``saved`` are
    in seconds.
    """
    then, text = decide_disposition(state, end, reason, health, pool_size)
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
