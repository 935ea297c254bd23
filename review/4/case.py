"""Executors refuse starts, and jobs that have not begun are not shown as pending."""

import anyio

from review.harness import is_disrupted, job_body, run_case

QUEUE, SERVICE, OTHERS = "block-preview", "patrones", ("corte", "muestras")
JOBS = 20
UNHEALTHY_SECONDS = 6.5
"""``for_s`` of ``srv_grey`` in the site file."""
SHOWN_SECONDS = 5.0
"""``visible_ms`` and 2 s: jobs accepted before then count."""


async def scenario(site):
    """Return whether each daemon showed half of the jobs that had not begun."""
    site.add_executors(SERVICE, 2)
    for service in OTHERS:
        site.add_executors(service, 9)
    routes = {QUEUE: SERVICE, **{f"queue-{name}": name for name in OTHERS}}
    site.configure(3, routes, (SERVICE, *OTHERS))
    await site.start_daemons(3)
    await anyio.sleep(1.0)
    grey = {name for name in site.fleet.models if SERVICE in name}
    began_at = anyio.current_time()
    if is_disrupted():
        site.record.add(f"{sorted(grey)} refuse all starts with 503")
        site.unhealthy |= grey
    jobs = [f"{number:016x}" for number in range(1, JOBS + 1)]
    for number, job in enumerate(jobs):
        daemon = site.daemons[number % len(site.daemons)]
        answer = await site.call(daemon, "POST", QUEUE, job, job_body(1))
        if answer is None or answer[0] != 200:
            return None
    await anyio.sleep(SHOWN_SECONDS + 0.2)
    held = await _check(site, jobs)
    await anyio.sleep_until(began_at + UNHEALTHY_SECONDS)
    site.unhealthy.clear()
    site.record.add("the executors are healthy again")
    await anyio.sleep(3.0)
    site.record.add(f"jobs that have begun: {len(_begun(site, jobs))} of {JOBS}")
    return held


def _begun(site, jobs):
    started = {task.partition(".")[0] for task in site.started()}
    return started.intersection(jobs)


async def _check(site, jobs):
    held = True
    for daemon in site.daemons:
        before = len(jobs) - len(_begun(site, jobs))
        shown = await site.pending(daemon, QUEUE)
        waiting = min(before, len(jobs) - len(_begun(site, jobs)))
        site.record.add(f"{daemon.name} shows {shown} of {waiting} that have not begun")
        if shown is None or 2 * shown < waiting:
            held = False
    return held


if __name__ == "__main__":
    run_case(__file__, scenario)
