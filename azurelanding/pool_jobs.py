"""Keep, for the controller of a pool, which of its jobs and workers need a look.

A controller decides many times a second, so what it looks at each time must not grow
with the number of jobs and runs.
"""

import math

import attrs

from azurelanding.tasks import Resources


@attrs.define
class WorkerUsage:
    """What the runs that are placed on a worker use, and their number by step.

    ``fillers`` counts the runs that use idle cores, which count no ``cores`` here, and
    ``serving`` those that have a target for their response times.
    """

    cores: float = 0.0
    memory: int = 0
    accelerators: int = 0
    steps: dict = attrs.field(factory=dict)
    fillers: int = 0
    serving: int = 0


@attrs.define
class AccountUsage:
    """What the ``runs`` of one account in one pool need together.

    Filler tasks count like others: an account's maximum is of what it has running.
    """

    cores: float = 0.0
    memory: int = 0
    accelerators: int = 0
    runs: int = 0

    def count(self, need, runs):
        """Add runs that need ``need`` each, or remove them if ``runs`` is negative."""
        self.runs += runs
        self.cores += runs * need.cores
        self.memory += runs * need.memory
        self.accelerators += runs * need.accelerators

    def resources(self):
        """Return the sum as ``Resources``."""
        return Resources(max(0.0, self.cores), self.memory, self.accelerators)

    def plus(self, other):
        """Return the sum of both usages."""
        return AccountUsage(
            self.cores + other.cores,
            self.memory + other.memory,
            self.accelerators + other.accelerators,
            self.runs + other.runs,
        )


UNUSED = WorkerUsage()
"""The usage of a worker without runs; shared, so it must not be changed."""


def sum_usage(runs, find_job, pool):
    """Return the ``WorkerUsage`` of those of ``runs`` that are of jobs of ``pool``.

    ``runs`` are pairs of a task id and a run number, and ``find_job(job_id)`` returns
    the state of a job that has not ended, or ``None``.
    """
    usage, cores = WorkerUsage(), []
    for task_id, _ in runs:
        state = find_job(task_id.job)
        if state is None or state.job.pool != pool:
            continue
        step = state.job.steps[task_id.step]
        key = (task_id.job, task_id.occurrence, task_id.step)
        if not step.fills:
            cores.append(step.need.cores)
        usage.memory += step.need.memory
        usage.accelerators += step.need.accelerators
        usage.steps[key] = usage.steps.get(key, 0) + 1
        usage.fillers += step.fills
        usage.serving += step.tail_target > 0
    # Exact whatever the order of the runs, which is another one after a reload.
    usage.cores = math.fsum(cores)
    return usage


@attrs.define(eq=False)
class PoolJobs:
    """What the ledger keeps of the jobs of one pool that have not ended.

    ``active`` holds all of them by id, ``usage`` the ``WorkerUsage`` of the workers
    whose runs have not changed since it was last asked for. The jobs in ``changed`` are
    not yet sorted into the others: ``ending`` holds the jobs that may end, ``stopping``
    those with unwanted runs, and ``startable`` those with tasks that may start, by
    ``need_of`` their step.
    ``needs`` maps each job in ``startable`` to the needs under which it is there.
    ``accounts`` holds the ``AccountUsage`` by account.

    Most daemons only follow the jobs of a pool, so jobs are sorted when a controller
    asks for them.
    """

    active: dict[str, object] = attrs.field(factory=dict)
    usage: dict[str, WorkerUsage] = attrs.field(factory=dict)
    changed: dict[str, object] = attrs.field(factory=dict)
    ending: dict[str, object] = attrs.field(factory=dict)
    stopping: dict[str, object] = attrs.field(factory=dict)
    startable: dict[tuple, dict[str, object]] = attrs.field(factory=dict)
    needs: dict[str, set] = attrs.field(factory=dict)
    accounts: dict[str, AccountUsage] = attrs.field(factory=dict)

    def count_runs(self, account, need, runs):
        """Count runs of an account that begin, or end if ``runs`` is negative."""
        usage = self.accounts.get(account)
        if usage is None:
            usage = self.accounts[account] = AccountUsage()
        usage.count(need, runs)
        if not usage.runs:
            # So rounding errors don't add up.
            del self.accounts[account]

    def usage_on(self, worker, pool, runs, find_job):
        """Return the ``WorkerUsage`` of a worker, on which ``runs`` are placed."""
        if not runs:
            return UNUSED
        usage = self.usage.get(worker)
        if usage is None:
            usage = self.usage[worker] = sum_usage(runs, find_job, pool)
        return usage

    def put(self, state):
        """Add a job, or note that it has changed."""
        self.active[state.job.id] = state
        self.changed[state.job.id] = state

    def remove(self, job_id):
        """Remove a job that has ended."""
        for jobs in (self.active, self.changed, self.ending, self.stopping):
            jobs.pop(job_id, None)
        self._sort_by_needs(job_id, None, set())

    def sort(self):
        """Sort the jobs that have changed, before the others are read."""
        for job_id, state in self.changed.items():
            _set_member(self.ending, job_id, state, state.may_end)
            _set_member(self.stopping, job_id, state, state.has_unwanted_runs)
            needs = {need_of(step) for step in state.startable_steps()}
            self._sort_by_needs(job_id, state, needs)
        self.changed.clear()

    def _sort_by_needs(self, job_id, state, needs):
        before = self.needs.pop(job_id, set())
        for need in before - needs:
            del self.startable[need][job_id]
            if not self.startable[need]:
                del self.startable[need]
        for need in needs - before:
            self.startable.setdefault(need, {})[job_id] = state
        if needs:
            self.needs[job_id] = needs


def need_of(step):
    """Return what decides whether a worker has room for a task of ``step``."""
    return step.need, step.fills


def _set_member(jobs, job_id, state, is_member):
    if is_member:
        jobs[job_id] = state
    else:
        jobs.pop(job_id, None)
