"""A scheduled job that is handed in long after its first times were due."""

import pathlib
import sys
import time

import anyio

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[2]))
from review import lab_3  # noqa: E402

TIMES = 100_000
INTERVAL_MS = 500
SMALL = {
    "spec": "small",
    "steps": [
        {"count": 2, "cpu": 1000, "memMb": 500, "estimatedMs": 1000},
        {"count": 2, "cpu": 1000, "memMb": 500, "estimatedMs": 1000, "after": [0]},
    ],
}
SMALL_JOBS = 8
PACE_SECONDS = 0.3
ANSWER_SECONDS = 3.0
STALL_SECONDS = 3.0


def make_scheduled():
    """Return a job whose last time is due now."""
    return {
        "spec": "scheduled",
        "steps": [{"count": 1, "cpu": 500, "memMb": 100, "estimatedMs": 500}],
        "repeatCount": TIMES,
        "startAtMs": int(time.time() * 1000) - TIMES * INTERVAL_MS,
        "intervalMs": INTERVAL_MS,
    }


def has_stalled(lab, job_id, asked_at):
    """Return whether a job has had nothing running for a while, with room for it."""
    running, last_at = set(), 0.0
    for at, event, executor, task, number, _ in lab.fleet.history:
        if at > asked_at or not task.startswith(job_id):
            continue
        if event == "started":
            running.add((executor, task, number))
        elif event.startswith("ended"):
            running.discard((executor, task, number))
        last_at = at
    return not running and asked_at > last_at + STALL_SECONDS


async def submit_all(lab):
    """Submit small jobs, the scheduled one and a last small one; return the small."""
    accepted = []
    for number in range(SMALL_JOBS):
        job_id = f"{number:016x}"
        if not await lab.submit(number // 2 % 2, "swatches", job_id, SMALL):
            return None
        accepted.append(job_id)
        await anyio.sleep(PACE_SECONDS)
    if lab_3.HAS_TROUBLE:
        if not await lab.submit(0, "plans", "f" * 16, make_scheduled()):
            return None
        await anyio.sleep(4.0)
    job_id = f"{SMALL_JOBS:016x}"
    if await lab.submit(0, "swatches", job_id, SMALL, attempts=1):
        accepted.append(job_id)
    return accepted


async def scenario(lab):
    """Ask for the small jobs ``finish_s`` after the last submission."""
    await lab.start_daemons(2)
    lab.configure(1, {"plans": ("cutting", {}), "swatches": ("colours", {})})
    for number in range(8):
        lab.add_executor(f"ex-{number}", "cutting", f"r1-{number // 4 + 1}")
        lab.add_executor(f"col-{number}", "colours", f"r2-{number // 4 + 1}")
    for number in range(2):
        await lab.start_daemon(number)
    for number in range(2):
        await lab.until_ready(number)
    await anyio.sleep(3.0)
    accepted = await submit_all(lab)
    if accepted is None:
        return None
    await anyio.sleep(lab_3.BOUNDS["finish_s"])
    silent = undone = 0
    for number, job_id in enumerate(accepted):
        asked_at = lab.now()
        state = await lab.state(number % 2, "swatches", job_id, timeout=ANSWER_SECONDS)
        silent += state is None
        is_open = state not in (None, "completed")
        undone += is_open and has_stalled(lab, job_id, asked_at)
    if not (silent or undone):
        return []
    return [
        f"LOST: {lab_3.BOUNDS['finish_s']} s after the last submission, {silent} of "
        f"{len(accepted)} small jobs of another queue get no answer in "
        f"{ANSWER_SECONDS} s, and {undone} are not completed and have had nothing "
        f"running for {STALL_SECONDS} s"
    ]


if __name__ == "__main__":
    lab_3.main(scenario, __file__)
