"""Workers and a workload for ``bench.placement``: small, seeded, in steps of time.

It only keeps time for the decision functions under measurement. A worker whose
tasks use more cores than it has slows them all down; one whose tasks use more
memory than it has ends the newest for want of memory.
"""

import math
import random

import attrs

from azurelanding import rules_parser
from azurelanding.tasks import End, Task

GB = 1 << 30
CHECKPOINT_SECONDS = 1.0
FAIL_SECONDS = 2.0
USAGE_LAG_SECONDS = 5.0
RULE_LINES = """\
pool work spare=yes
team blue share=2 tasks=100000
team green share=1 tasks=100000
job preview urgency=urgent pool=work cores=2 memory=4GB run-time=20s checkpoint=yes
job cut urgency=urgent pool=work cores=4 memory=8GB run-time=40s repeat=no
job index urgency=standard pool=work cores=4 memory=8GB run-time=2m checkpoint=yes
job match urgency=standard pool=work cores=1 memory=2GB run-time=30s
job archive urgency=deferrable pool=work cores=8 memory=16GB run-time=3m checkpoint=yes
job print urgency=deferrable pool=work cores=2 memory=4GB run-time=1m repeat=no
job broken urgency=standard pool=work cores=2 memory=4GB run-time=1m
job huge urgency=standard pool=work cores=99 memory=8GB run-time=1m
"""
RULES = "".join(f"{line}  # bench\n" for line in RULE_LINES.splitlines())
RULE_SET = rules_parser.read_rules(RULES)
SLACK = {"urgent": 60.0, "standard": 300.0, "deferrable": 900.0}
MIX = {
    "preview": 0.20,
    "cut": 0.05,
    "index": 0.12,
    "match": 0.25,
    "archive": 0.10,
    "print": 0.20,
    "broken": 0.06,
    "huge": 0.02,
}
FEASIBLE = frozenset(MIX) - {"broken", "huge"}


@attrs.frozen
class SiteSize:
    """The workers of one service of a site; ``bad`` of them fail everything."""

    name: str
    workers: int
    cores: float
    memory: int
    bad: int = 1


SITES = (SiteSize("telar", 6, 32.0, 128 * GB), SiteSize("magnolia", 8, 16.0, 64 * GB))


@attrs.frozen
class Truth:
    """What a task really takes: cores, bytes and seconds of work."""

    cores: float
    memory: int
    work: float


@attrs.define(eq=False)
class Run:
    """One attempt on a worker; ``started_at`` is in seconds of the bench."""

    task: Task
    worker: str
    truth: Truth
    started_at: float
    done: float
    saved: float
    stop_at: float | None = None
    saves: bool = False
    limit: float = math.inf


@attrs.frozen
class Ended:
    """An attempt that ended in a step."""

    run: Run
    end: End
    at: float


@attrs.frozen
class Arrival:
    """Tasks that come at ``at``; ``cancel_at`` is when they are all cancelled."""

    at: float
    task: Task
    truth: Truth
    cancel_at: float | None = None


class World:
    """The workers of a pool and what runs on them."""

    def __init__(self, size):
        self.size = size
        self.names = [f"w{number}" for number in range(size.workers)]
        self.bad = frozenset(self.names[1 : 1 + size.bad])
        self.runs = {name: {} for name in self.names}
        self.wasted = 0.0
        self.useful = 0.0
        self.lost_work = 0.0
        self.lost_saved = 0.0

    def start(self, arrival, worker, saved, now):
        """Start an attempt."""
        run = Run(arrival.task, worker, arrival.truth, now, saved, saved)
        self.runs[worker][arrival.task.id] = run

    def _leave(self, run, end, now):
        del self.runs[run.worker][run.task.id]
        hours = (now - run.started_at) * run.truth.cores / 3600.0
        kept = end is End.DONE or (end is End.STOPPED and run.saves)
        if kept:
            self.useful += hours
        else:
            self.wasted += hours
        return Ended(run, end, now)

    def cancel(self, task_id, worker, now):
        """End a task that was cancelled; the hours count as neither."""
        self.runs[worker].pop(task_id, None)

    def _step_worker(self, name, now, seconds):
        runs = self.runs[name]
        asked = sum(min(run.truth.cores, run.limit) for run in runs.values())
        pace = min(1.0, self.size.cores / asked) if asked else 1.0
        used = 0
        for run in list(runs.values()):
            run.done += seconds * pace * min(1.0, run.limit / run.truth.cores)
            used += run.truth.memory
            if name in self.bad or run.task.job == "broken":
                if now >= run.started_at + FAIL_SECONDS:
                    yield self._leave(run, End.FAILED, now)
            elif run.done >= run.truth.work:
                yield self._leave(run, End.DONE, now)
            elif used > self.size.memory:
                yield self._leave(run, End.MEMORY, now)
            elif run.stop_at is not None and now >= run.stop_at:
                self._note_stop(run)
                yield self._leave(run, End.STOPPED, now)

    def _note_stop(self, run):
        if run.saves:
            run.saved = run.done
        lost = run.done - run.saved
        self.lost_work = max(self.lost_work, lost)
        if RULE_SET.jobs[run.task.job].checkpoint:
            self.lost_saved = max(self.lost_saved, lost)

    def step(self, now, seconds):
        """Let ``seconds`` pass up to ``now``; return the ``Ended`` attempts."""
        return [e for name in self.names for e in self._step_worker(name, now, seconds)]


def _truth(rng, job, ratios):
    rule = RULE_SET.jobs[job]
    size, length = ratios[job]
    return Truth(
        max(0.25, rule.cores * size * rng.uniform(0.8, 1.25)),
        int(rule.memory * size * rng.uniform(0.7, 1.3)),
        max(2.0, rule.run_time * length * rng.lognormvariate(0.0, 0.4)),
    )


def _draw_ratios(rng):
    """Return how far off the declared size and run time of each job are."""
    ratios = {job: (rng.uniform(0.15, 0.5), rng.uniform(0.3, 2.0)) for job in MIX}
    ratios["match"] = (1.6, ratios["match"][1])
    return ratios


def _arrival(rng, ratios, job, at, number, cancel_at=None):
    rule = RULE_SET.jobs[job]
    due = at + SLACK[rule.urgency.value] + rule.run_time
    team = rng.choice(("blue", "green"))
    task = Task(f"work.{number}", job, team, at, rule.repeat, due)
    return Arrival(at, task, _truth(rng, job, ratios), cancel_at)


def make_workload(size, seed, horizon):
    """Return the ``Arrival``s of a run, in the order of their times.

    A mix arrives all along; a flood of deferrable work comes after a fifth of
    the time and one of urgent work after a half; the tail of the first flood is
    cancelled in one wave.
    """
    rng = random.Random(seed)
    ratios = _draw_ratios(rng)
    rate = size.workers * size.cores / 450.0
    jobs, weights = zip(*MIX.items(), strict=True)
    times, at = [], 0.0
    while (at := at + rng.expovariate(rate)) < horizon:
        times.append((at, rng.choices(jobs, weights)[0], None))
    flood, urgent = horizon / 5.0, horizon / 2.0
    for number in range(3000):
        kept = number < size.workers * 10
        job = rng.choice(("archive", "print"))
        times.append((flood + number * 0.003, job, None if kept else flood + 120.0))
    for number in range(int(size.workers * size.cores / 4)):
        times.append((urgent + number * 0.05, rng.choice(("preview", "cut")), None))
    times.sort(key=lambda entry: entry[0])
    return [
        _arrival(rng, ratios, job, at, number, cancel_at)
        for number, (at, job, cancel_at) in enumerate(times)
    ]
