"""A submission that a daemon could not store in time is one job if its queue moves."""

import asyncio
import pathlib

import site_2

PATH = "/cuts/00000000000000b"
OUTAGE_SECONDS = 9.0
JOBS = 3


async def submit(site, number, path):
    """Hand a job in as a client does: again, at another daemon, after no 2xx."""
    steps = [{"count": 2, "cpu": 1000, "memMb": 64, "estimatedMs": 500}]
    body = {"spec": "text", "steps": steps}
    status, _ = await site.request(number, "POST", path, body)
    while status != 200:
        await asyncio.sleep(0.2)
        status, _ = await site.request(0, "POST", path, body)


async def scenario(site):
    """Turn one daemon away from the store while a queue moves to another service."""
    services = ["svc-cuts", "svc-moves"]
    for number in range(12):
        await site.add_executor(services[number % 2], f"m-{number:05x}")
    site.configure(1, {"/cuts/": services[0]}, services)
    await site.start_daemons(3)
    # The daemons have run for a while.
    await asyncio.sleep(25.0)
    if site_2.TROUBLE:
        site.record.add("the store does not answer daemon 2")
        site.store_paths[2].cut()
        site.spawn(heal(site))
    await asyncio.sleep(0.2)
    async with asyncio.TaskGroup() as clients:
        for number in range(JOBS):
            clients.create_task(submit(site, 2, f"{PATH}{number}"))
        await asyncio.sleep(1.5)
        site.configure(3, {"/cuts/": services[1]}, services)
    for number in range(JOBS):
        await site.until_state(1, f"{PATH}{number}", "completed", 10)
    await asyncio.sleep(OUTAGE_SECONDS + 4.0)
    for number in range(3):
        for line in site.log_lines(number, "job submitted", "configuration activated"):
            site.record.add(f"daemon {number}: {line[:300]}")
    return site_2.double_runs(site.lives_seen)


async def heal(site):
    """Let the store answer the daemon again."""
    await asyncio.sleep(OUTAGE_SECONDS)
    site.record.add("the store answers daemon 2 again")
    site.store_paths[2].heal()


site_2.main(scenario, pathlib.Path(__file__).resolve().parent)
