"""A gang that saves checkpoints loses one executor in the middle of its work."""

import pathlib
import sys

import anyio

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[2]))
from review import lab_3  # noqa: E402

JOB = {
    "spec": "one gang",
    "steps": [
        {
            "count": 4,
            "cpu": 20_000,
            "memMb": 4000,
            "estimatedMs": 6000,
            "gang": True,
            "checkpointing": True,
        }
    ],
}
JOB_ID = "5c0e7a21d94b36f8"
EXECUTORS = 8
WAIT_SECONDS = 40.0


def checkpoints_by_run(history):
    """Return the checkpoints with which the members of each run were started."""
    found = {}
    for _, event, _, task, number, checkpoint in history:
        if event == "started":
            found.setdefault(number, {})[task] = checkpoint
    return found


async def scenario(lab):
    """Crash the executor of one member after three seconds of work."""
    await lab.start_daemons(2)
    lab.configure(1, {"plans": ("cutting", {})})
    for number in range(EXECUTORS):
        lab.add_executor(f"ex-{number}", "cutting", f"r1-{number // 4 + 1}")
    for number in range(2):
        await lab.start_daemon(number)
    for number in range(2):
        await lab.until_ready(number)
    await anyio.sleep(3.0)
    if not await lab.submit(0, "plans", JOB_ID, JOB):
        return None
    accepted_at = lab.now()
    await anyio.sleep(3.5)
    if lab_3.HAS_TROUBLE:
        busy = [ex for ex in lab.fleet.executors.values() if ex.running]
        if not busy:
            return None
        lab.lose(busy[0])
    while lab.now() < accepted_at + WAIT_SECONDS:
        if await lab.state(1, "plans", JOB_ID) == "completed":
            return []
        await anyio.sleep(2.0)
    return describe(lab)


def describe(lab):
    """Return what is broken, and note the checkpoints of each run."""
    for number, members in checkpoints_by_run(lab.fleet.history).items():
        if len(set(members.values())) > 1:
            lab.note(f"run {number} was started with the checkpoints {members}")
    alone = sorted({row[4] for row in lab.fleet.history if row[1] == "ended alone"})
    return [
        f"LOST: {WAIT_SECONDS} s after its acceptance the job is not completed; the "
        f"gang's runs {alone} ended alone, as its members were told different "
        "checkpoints"
    ]


if __name__ == "__main__":
    lab_3.main(scenario, __file__)
