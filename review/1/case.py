"""A queue moves to another service, and all processes are killed after that."""

import anyio

from review.harness import (
    CONFIG_APPLY_SECONDS,
    POLL_SECONDS,
    is_disrupted,
    job_body,
    run_case,
)

QUEUE, OLD, NEW = "preview", "patrones", "patrones-next"
SERVICES = (OLD, NEW, "corte")
JOB = "5c0e7a21d94b36f8"
TASKS = 8
AFTER_SECONDS = 0.2
"""From the acknowledgement of the configuration to the kill of all processes."""
WATCH_SECONDS = 8.0
CANCEL_SECONDS = 3.4
"""``cancel_ms`` and ``stopTimeoutMs``."""


async def scenario(site):
    """Return whether no task of the job ran twice at the same time."""
    for service in SERVICES:
        site.add_executors(service, 6)
    site.configure(3, {QUEUE: OLD, "cut-list": "corte"}, SERVICES)
    await site.start_daemons(3)
    first, second, _ = site.daemons
    body = job_body(TASKS, estimatedMs=30000)
    for model in site.fleet.models.values():
        model.knobs.run_time = 60.0
    if (await site.call(first, "POST", QUEUE, JOB, body))[0] != 200:
        return None
    while len(site.started()) < TASKS:  # noqa: ASYNC110
        await anyio.sleep(POLL_SECONDS)
    site.configure(8, {QUEUE: NEW, "cut-list": "corte"}, SERVICES)
    await anyio.sleep(AFTER_SECONDS)
    if is_disrupted():
        await site.kill_all()
    await anyio.sleep(CONFIG_APPLY_SECONDS)
    # Any machine may get the retry: here one that has not controlled the old service.
    retried_at = min(site.daemons, key=lambda daemon: daemon.has_read_jobs_of(OLD))
    site.record.add(f"{retried_at.name} gets the retry")
    await site.call(retried_at, "POST", QUEUE, JOB, body)
    return await _watch(site, second)


async def _watch(site, daemon):
    """Return whether no task is in progress on two executors, for some seconds."""
    twice = set()
    with anyio.move_on_after(WATCH_SECONDS):
        while True:
            seen = {}
            for executor, runs in site.running().items():
                for task, run in runs:
                    seen.setdefault(task, []).append((executor, run))
            for task, places in seen.items():
                if len(places) > 1 and task not in twice:
                    twice.add(task)
                    site.record.add(f"{task} is in progress twice: {places}")
            await anyio.sleep(POLL_SECONDS)
    await site.state(daemon, QUEUE, JOB)
    site.record.add(f"tasks that were in progress twice: {len(twice)} of {TASKS}")
    # Not judged: what a cancelling of the job still reaches.
    await site.call(daemon, "DELETE", QUEUE, JOB)
    await anyio.sleep(CANCEL_SECONDS)
    left = sum(map(len, site.running().values()))
    site.record.add(f"tasks in progress {CANCEL_SECONDS} s after it: {left}")
    return not twice


if __name__ == "__main__":
    run_case(__file__, scenario)
