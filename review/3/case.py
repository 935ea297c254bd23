"""A client leaves before the answer to a submission, cancels, and the job runs on."""

import anyio

from review.harness import (
    POLL_SECONDS,
    LateAppend,
    is_disrupted,
    job_body,
    run_case,
)

QUEUE, SERVICE = "cut-list", "corte"
JOB = "7a21d94b36f85c0e"
TASKS = 4
LATE_SECONDS = 4.0
"""How late the store carries out the append: ``platform_lost`` names 1 to 6 s."""
LEAVE_SECONDS = 0.3
"""When the client leaves: half of the objective of 600 ms (``give_up``)."""
CANCEL_SECONDS = 3.0
"""``cancel_ms``, after which no task of the job may start."""
STOP_SECONDS = 0.4
"""``stopTimeoutMs``, after which none may run on."""
NEAR_SECONDS = 3.0
"""``contactMs``: no disruption is that near to what is judged."""
WATCH_SECONDS = 14.0


async def scenario(site):
    """Return whether no task of the cancelled job ran on after the bound."""
    site.add_executors(SERVICE, 6)
    site.configure(3, {QUEUE: SERVICE}, (SERVICE,))
    await site.start_daemons(3)
    for model in site.fleet.models.values():
        model.knobs.run_time = 60.0
    first, second, _ = site.daemons
    if is_disrupted():
        site.late_append = LateAppend(f"job/{JOB}".encode(), LATE_SECONDS)
    body = job_body(TASKS, estimatedMs=30000)
    await site.call(first, "POST", QUEUE, JOB, body, timeout=LEAVE_SECONDS)
    answer = await site.call(second, "DELETE", QUEUE, JOB)
    if answer is None or answer[0] not in (200, 410):
        return None
    acknowledged_at = anyio.current_time()
    bound = LATE_SECONDS + NEAR_SECONDS + CANCEL_SECONDS + STOP_SECONDS
    await anyio.sleep_until(acknowledged_at + bound)
    running_on = set()
    while anyio.current_time() < acknowledged_at + WATCH_SECONDS:
        for executor, runs in site.running().items():
            for task in {task for task, _ in runs} - running_on:
                running_on.add(task)
                passed = anyio.current_time() - acknowledged_at
                line = f"{task} is in progress on {executor}"
                site.record.add(f"{line} {passed:.1f} s after the cancelling")
        await anyio.sleep(POLL_SECONDS)
    await site.state(second, QUEUE, JOB)
    site.record.add(f"tasks that ran on: {len(running_on)} of {TASKS}")
    return not running_on


if __name__ == "__main__":
    run_case(__file__, scenario)
