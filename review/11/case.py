"""A daemon and one of the two executors of its pool are cut off together."""

import pathlib
import sys

import anyio

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[2]))
from review import lab_3  # noqa: E402

JOB = {
    "spec": "a task of the cutting pool",
    "steps": [{"count": 1, "cpu": 10_000, "memMb": 4000, "estimatedMs": 30_000}],
}
JOBS = 3
CUT_SECONDS = 12.0


def find_overlaps(lab):
    """Return the tasks of which two runs were in progress at the same time."""
    begun, overlaps = {}, {}
    for at, event, executor, task, number, _ in lab.fleet.history:
        runs = begun.setdefault(task, {})
        if event == "started":
            for other, other_executor in runs.items():
                overlaps.setdefault(
                    task,
                    f"TWICE: {task}: run {number} started on {executor} at {at:.1f} s, "
                    f"while run {other} goes on on {other_executor}",
                )
            runs[number] = executor
        elif event.startswith("ended"):
            runs.pop(number, None)
    return list(overlaps.values())


async def scenario(lab):
    """Cut off the pool's controller and the executor on which its jobs run."""
    await lab.start_daemons(3)
    lab.configure(1, {"plans": ("cutting", {}), "swatches": ("colours", {})})
    inside = lab.add_executor("ex-a-0", "cutting", "r1-1")
    outside = lab.add_executor("ex-b-0", "cutting", "r2-1")
    for number in range(8):
        lab.add_executor(f"col-{number}", "colours", f"r2-{number}")
    for number in range(3):
        await lab.start_daemon(number)
    for number in range(3):
        await lab.until_ready(number)
    await anyio.sleep(4.0)
    for number in range(JOBS):
        if not await lab.submit(0, "plans", f"{number:016x}", JOB):
            return None
    await anyio.sleep(3.0)
    holder = lab.controller_of("cutting")
    if holder is None or len(inside.running) < JOBS:
        return None
    lab.note(f"daemon {holder} controls the pool")
    if lab_3.HAS_TROUBLE:
        # The fencing token tells which daemon calls: all have the address 127.0.0.1.
        epoch = inside.fence
        inside.hears = lambda token: token <= epoch
        outside.hears = lambda token: token > epoch
        lab.cut_daemons.add(holder)
        lab.unheard.add(inside.id)
        lab.task_group.start_soon(lab.expire_entries, [inside])
        lab.note(f"daemon {holder} and ex-a-0 cut off from all others and the store")
    await anyio.sleep(CUT_SECONDS)
    if lab_3.HAS_TROUBLE:
        inside.hears = outside.hears = lambda token: True
        lab.cut_daemons.clear()
        lab.unheard.clear()
        lab.note("the cut is over")
    await anyio.sleep(5.0)
    return find_overlaps(lab)


if __name__ == "__main__":
    lab_3.main(scenario, __file__)
