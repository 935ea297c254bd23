"""Simulate a pool of workers and its workload in time steps, for ``bench.placement``.

The simulation only advances time for the decision functions under measurement.
When the tasks of a worker use more cores than it has, all of them slow down; when
they use more memory than it has, the newest ones end with ``End.MEMORY``.
"""

import math
import random

import attrs

from azurelanding import rules_parser
from azurelanding.tasks import End, Task

GB = 1 << 30
CHECKPOINT_SECONDS = 1.0
FAIL_AFTER_SECONDS = 2.0
USAGE_REPORT_DELAY_SECONDS = 5.0
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
DEADLINE_SLACK_SECONDS = {"urgent": 60.0, "standard": 300.0, "deferrable": 900.0}
JOB_WEIGHTS = {
    "preview": 0.20,
    "cut": 0.05,
    "index": 0.12,
    "match": 0.25,
    "archive": 0.10,
    "print": 0.20,
    "broken": 0.06,
    "huge": 0.02,
}
FEASIBLE_JOBS = frozenset(JOB_WEIGHTS) - {"broken", "huge"}


@attrs.frozen
class SiteSize:
    """The workers of one service of a site.

    All tasks fail on ``bad_worker_count`` of them. ``cores`` and ``memory``, in bytes,
    are those of one worker.
    """

    name: str
    workers: int
    cores: float
    memory: int
    bad_worker_count: int = 1


SITES = (SiteSize("telar", 6, 32.0, 128 * GB), SiteSize("magnolia", 8, 16.0, 64 * GB))


@attrs.frozen
class ActualUsage:
    """What a task really uses: cores, bytes of memory and seconds of work."""

    cores: float
    memory: int
    work: float


@attrs.define(eq=False)
class Attempt:
    """One attempt of a task on a worker.

    ``started_at`` and ``stop_at`` are in simulated seconds. ``done`` and ``saved`` are
    seconds of work: finished so far, and in the last checkpoint. ``core_limit`` is the
    number of cores that a throttled attempt may use. With ``saves_checkpoint`` it
    writes a checkpoint before it stops.
    """

    task: Task
    worker: str
    usage: ActualUsage
    started_at: float
    done: float
    saved: float
    stop_at: float | None = None
    saves_checkpoint: bool = False
    core_limit: float = math.inf


@attrs.frozen
class EndedAttempt:
    """An attempt that ended during a time step."""

    attempt: Attempt
    end: End
    ended_at: float


@attrs.frozen
class Arrival:
    """A task that arrives at ``arrives_at`` and is cancelled at ``cancel_at``, if set.

    Both are in simulated seconds.
    """

    arrives_at: float
    task: Task
    usage: ActualUsage
    cancel_at: float | None = None


class SimulatedPool:
    """The workers of a pool and the attempts that run on them.

    ``max_lost_seconds`` is the most work that a stopped attempt lost since its last
    checkpoint, ``max_lost_checkpointed_seconds`` the most among the jobs that can
    write checkpoints.
    """

    def __init__(self, size):
        self.size = size
        self.worker_names = [f"w{number}" for number in range(size.workers)]
        self.bad_workers = frozenset(self.worker_names[1 : 1 + size.bad_worker_count])
        self.attempts = {name: {} for name in self.worker_names}
        self.wasted_core_hours = 0.0
        self.useful_core_hours = 0.0
        self.max_lost_seconds = 0.0
        self.max_lost_checkpointed_seconds = 0.0

    def start(self, arrival, worker, saved, now):
        """Start an attempt on ``worker``, from ``saved`` seconds of work."""
        attempt = Attempt(arrival.task, worker, arrival.usage, now, saved, saved)
        self.attempts[worker][arrival.task.id] = attempt

    def _end_attempt(self, attempt, end, now):
        del self.attempts[attempt.worker][attempt.task.id]
        core_hours = (now - attempt.started_at) * attempt.usage.cores / 3600.0
        was_useful = end is End.DONE or (
            end is End.STOPPED and attempt.saves_checkpoint
        )
        if was_useful:
            self.useful_core_hours += core_hours
        else:
            self.wasted_core_hours += core_hours
        return EndedAttempt(attempt, end, now)

    def cancel(self, task_id, worker, now):
        """Remove a cancelled task; its core hours are neither useful nor wasted."""
        self.attempts[worker].pop(task_id, None)

    def _advance_worker(self, name, now, seconds):
        attempts = self.attempts[name]
        requested_cores = sum(
            min(attempt.usage.cores, attempt.core_limit)
            for attempt in attempts.values()
        )
        speed = min(1.0, self.size.cores / requested_cores) if requested_cores else 1.0
        used_memory = 0
        for attempt in list(attempts.values()):
            attempt.done += (
                seconds * speed * min(1.0, attempt.core_limit / attempt.usage.cores)
            )
            used_memory += attempt.usage.memory
            if name in self.bad_workers or attempt.task.job == "broken":
                if now >= attempt.started_at + FAIL_AFTER_SECONDS:
                    yield self._end_attempt(attempt, End.FAILED, now)
            elif attempt.done >= attempt.usage.work:
                yield self._end_attempt(attempt, End.DONE, now)
            elif used_memory > self.size.memory:
                yield self._end_attempt(attempt, End.MEMORY, now)
            elif attempt.stop_at is not None and now >= attempt.stop_at:
                self._record_stop(attempt)
                yield self._end_attempt(attempt, End.STOPPED, now)

    def _record_stop(self, attempt):
        if attempt.saves_checkpoint:
            attempt.saved = attempt.done
        lost_seconds = attempt.done - attempt.saved
        self.max_lost_seconds = max(self.max_lost_seconds, lost_seconds)
        if RULE_SET.jobs[attempt.task.job].checkpoint:
            self.max_lost_checkpointed_seconds = max(
                self.max_lost_checkpointed_seconds, lost_seconds
            )

    def advance(self, now, seconds):
        """Simulate the ``seconds`` up to ``now``; return the ``EndedAttempt`` list."""
        return [
            e
            for name in self.worker_names
            for e in self._advance_worker(name, now, seconds)
        ]


def _draw_actual_usage(rng, job, ratios):
    rule = RULE_SET.jobs[job]
    size, length = ratios[job]
    return ActualUsage(
        max(0.25, rule.cores * size * rng.uniform(0.8, 1.25)),
        int(rule.memory * size * rng.uniform(0.7, 1.3)),
        max(2.0, rule.run_time * length * rng.lognormvariate(0.0, 0.4)),
    )


def _draw_ratios(rng):
    """Return the ratios of actual to declared size and run time of each job."""
    ratios = {
        job: (rng.uniform(0.15, 0.5), rng.uniform(0.3, 2.0)) for job in JOB_WEIGHTS
    }
    ratios["match"] = (1.6, ratios["match"][1])
    return ratios


def _make_arrival(rng, ratios, job, at, number, cancel_at=None):
    rule = RULE_SET.jobs[job]
    deadline = at + DEADLINE_SLACK_SECONDS[rule.urgency.value] + rule.run_time
    team = rng.choice(("blue", "green"))
    task = Task(f"work.{number}", job, team, at, rule.repeat, deadline)
    return Arrival(at, task, _draw_actual_usage(rng, job, ratios), cancel_at)


def make_workload(size, seed, duration):
    """Return the ``Arrival``s of a run in the order of their times.

    A mix of jobs arrives during the whole ``duration``, in seconds. Floods of
    deferrable tasks after a fifth of it and of urgent tasks after half of it come on
    top. The tasks of the first flood are cancelled together 120 seconds after its
    start, except its first ten tasks per worker.
    """
    rng = random.Random(seed)
    ratios = _draw_ratios(rng)
    # One task for every 450 core seconds of the pool.
    rate = size.workers * size.cores / 450.0
    jobs, weights = zip(*JOB_WEIGHTS.items(), strict=True)
    entries, at = [], 0.0
    while (at := at + rng.expovariate(rate)) < duration:
        entries.append((at, rng.choices(jobs, weights)[0], None))
    flood_at, urgent_at = duration / 5.0, duration / 2.0
    for number in range(3000):
        is_kept = number < size.workers * 10
        job = rng.choice(("archive", "print"))
        entries.append(
            (flood_at + number * 0.003, job, None if is_kept else flood_at + 120.0)
        )
    for number in range(int(size.workers * size.cores / 4)):
        entries.append(
            (urgent_at + number * 0.05, rng.choice(("preview", "cut")), None)
        )
    entries.sort(key=lambda entry: entry[0])
    return [
        _make_arrival(rng, ratios, job, at, number, cancel_at)
        for number, (at, job, cancel_at) in enumerate(entries)
    ]
