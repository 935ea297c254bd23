"""A large job of small tasks is accepted, and nothing of its service starts again."""

import anyio

from review.harness import POLL_SECONDS, is_disrupted, job_body, run_case

QUEUE, SERVICE = "cut-list", "corte"
CORES = 32
"""Cores of an executor of the site."""
LARGE_TASKS, FEW_TASKS = 20_000, 200
TASK_MILLICORES, TASK_MEGABYTES = 10, 16
TASK_SECONDS = 1.7
FINISH_SECONDS = 14.0
"""``finish_s``: from then on a job is judged by what runs of it."""
IDLE_SECONDS = 3.0
"""How long a job may have nothing running while there is capacity for it."""
AFTER_CANCEL_SECONDS = 8.0


async def scenario(site):
    """Return whether a small job started although a large one was accepted."""
    site.add_executors(SERVICE, 6, CORES)
    site.configure(3, {QUEUE: SERVICE}, (SERVICE,))
    await site.start_daemons(3)
    for model in site.fleet.models.values():
        model.knobs.run_time = TASK_SECONDS
    first, second, third = site.daemons
    site.notes_starts = False
    early, large, late = "1" * 16, "2" * 16, "3" * 16
    await site.call(first, "POST", QUEUE, early, job_body(1))
    await _until_begun(site, early, IDLE_SECONDS)
    count = LARGE_TASKS if is_disrupted() else FEW_TASKS
    body = job_body(count, cpu=TASK_MILLICORES, memMb=TASK_MEGABYTES)
    answer = await site.call(first, "POST", QUEUE, large, body)
    if answer is None or answer[0] != 200:
        return None
    await anyio.sleep(1.0)
    answer = await site.call(second, "POST", QUEUE, late, job_body(1))
    if answer is None or answer[0] != 200:
        return None
    await anyio.sleep(FINISH_SECONDS)
    held = await _until_begun(site, late, IDLE_SECONDS)
    for job in (large, late):
        await site.state(third, QUEUE, job)
    _note(site, (early, large, late))
    # Not judged: whether the service works again once the large job is cancelled.
    await site.call(third, "DELETE", QUEUE, large)
    await _until_begun(site, late, AFTER_CANCEL_SECONDS)
    _note(site, (early, large, late))
    return held


async def _until_begun(site, job, seconds):
    """Wait until a task of a job has started; return whether one has in time."""
    with anyio.move_on_after(seconds):
        while True:
            if any(task.startswith(job) for task in site.started()):
                return True
            await anyio.sleep(POLL_SECONDS)
    return False


def _note(site, jobs):
    """Record how many tasks of each job have started, and what runs now."""
    started = [task.partition(".")[0] for task in site.started()]
    for job in jobs:
        site.record.add(f"tasks of {job} that have started: {started.count(job)}")
    running = sum(map(len, site.running().values()))
    cores = CORES * len(site.fleet.models)
    site.record.add(f"tasks in progress: {running}, on executors of {cores} cores")


if __name__ == "__main__":
    run_case(__file__, scenario)
