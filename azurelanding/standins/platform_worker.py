"""Stand in for a worker of the platform: runs under leases, with fencing.

``WorkerModel`` simulates runs in real time. ``WorkerFleet.client`` returns a substitute
for the client in ``azurelanding.platform.workers``.
"""

import contextlib

import anyio
import attrs

from azurelanding.fleet_workers import WorkerEntry, WorkerPhase
from azurelanding.jobs import RunEnd
from azurelanding.tasks import Resources
from azurelanding.utils import Notifier, boot_time
from azurelanding.worker_calls import (
    ListedEnd,
    ListedRun,
    Refusal,
    WorkerNoResponseError,
    WorkerRefusedError,
    WorkerReport,
)


@attrs.define
class WorkerKnobs:
    """The run time and the injected faults of a worker; times are in seconds.

    A ``silent`` worker ignores every call, others those with an epoch in
    ``silent_epochs``. ``lose_replies`` is the number of orders
    still to be carried out without a response, ``late_starts`` the number of starts
    still to be delayed until ``WorkerModel.release``, without a response either. Other
    starts take ``start_delay`` longer. With ``ignore_stops``, stops are neither carried
    out nor answered. ``fail_all`` fails every run. With ``stalled``, runs make no
    progress and don't end.
    ``tail_latency_ms`` is the high percentile of response times, in milliseconds, that
    the worker reports for its runs while none is throttled; it is multiplied by the
    lowest share in ``paces``. ``refuse`` refuses every call for that reason, and
    ``refuse_starts`` every start. A report has at most ``ends_per_report`` ends.
    """

    run_time: float = 0.05
    silent: bool = False
    silent_epochs: range = range(0)
    lose_replies: int = 0
    start_delay: float = 0.0
    late_starts: int = 0
    ignore_stops: bool = False
    fail_all: bool = False
    stalled: bool = False
    tail_latency_ms: float = 0.0
    refuse: Refusal | None = None
    refuse_starts: Refusal | None = None
    ends_per_report: int = 500


class WorkerModel:
    """One worker, its runs, and every start that it has carried out.

    ``running`` holds the boot time at which each run ends, ``paces`` the share of its
    full pace to which a run is throttled, ``stopped`` the runs that were ordered to
    stop. ``ends`` are the ended runs that the controller has not confirmed yet.
    """

    def __init__(self, name, pool, resources=None, host=None):
        self.resources = resources or Resources(8.0, 1 << 34, 0)
        self.name = name
        self.host = host or f"host-{name}"
        self.pool = pool
        self.knobs = WorkerKnobs()
        self.started = []
        self.phase = WorkerPhase.READY
        self.changes = Notifier()
        self.incarnation = 0
        self.restart()

    def restart(self):
        """Begin a new incarnation without any state of the previous one."""
        self.incarnation += 1
        self.fence = 0
        self.running = {}
        self.paces = {}
        self.delayed_starts = []
        self.stopped = set()
        self.ends = []
        self.last_end_number = 0
        self.lease_end = 0.0
        self.changes.notify()

    def entry(self):
        """Return the entry under which the worker registers."""
        return WorkerEntry(
            id=self.name,
            host=self.host,
            pool=self.pool,
            address=self.name,
            availability_zone="a",
            resources=self.resources,
            labels=("a", "r1-1"),
            phase=self.phase,
            born=self.incarnation,
        )

    def _end(self, key, run_end):
        self.running.pop(key, None)
        self.last_end_number += 1
        self.ends.append(ListedEnd(self.last_end_number, *key, run_end, ""))
        self.changes.notify()

    def advance(self):
        """End the runs whose time is over, and every run once the lease has expired."""
        now = boot_time()
        for key, ends_at in list(self.running.items()):
            if now >= self.lease_end:
                self._end(key, RunEnd.LAPSED)
            elif now >= ends_at and not self.knobs.stalled:
                self._end(key, RunEnd.FAILED if self.knobs.fail_all else RunEnd.DONE)

    def work_done_share(self, key):
        """Return the share of its work that the worker reports for a run.

        The share is 1 for a run that doesn't end by itself.
        """
        seconds_left = self.running[key] - boot_time()
        if seconds_left == float("inf"):
            return 1.0
        if self.knobs.stalled:
            return 0.0
        return max(0.0, 1.0 - seconds_left / max(seconds_left, self.knobs.run_time))

    def check_epoch(self, epoch):
        """Raise ``WorkerRefusedError`` for an epoch below the highest one received."""
        if epoch < self.fence:
            raise WorkerRefusedError(
                f"epoch {epoch} is below epoch {self.fence}", Refusal.FENCED
            )
        self.fence = epoch

    def start(self, order, lease_end, long_running):
        """Start a run and extend the lease to ``lease_end``.

        Nothing changes if the run is already running. Raises ``WorkerRefusedError`` if
        this or a later run of the task has ended or was stopped.
        """
        key = (order.task, order.run)
        if key in self.running:
            return
        ended_runs = {end.run for end in self.ends if end.task == order.task}
        ended_runs |= {run for task, run in self.stopped if task == order.task}
        if ended_runs and order.run <= max(ended_runs):
            raise WorkerRefusedError(
                f"run {order.run} is not newer than run {max(ended_runs)}",
                Refusal.OLD_RUN,
            )
        self.lease_end = max(self.lease_end, lease_end)
        self.started.append(key)
        run_time = float("inf") if long_running else self.knobs.run_time
        self.running[key] = boot_time() + run_time
        self.changes.notify()

    def release(self):
        """Carry out the delayed starts, or refuse them if no lease covers them."""
        self.advance()
        delayed, self.delayed_starts = self.delayed_starts, []
        for order, lease_end, long_running in delayed:
            if boot_time() < max(self.lease_end, lease_end):
                with contextlib.suppress(WorkerRefusedError):
                    self.start(order, lease_end, long_running)

    def stop(self, task, run):
        """Stop a run, or refuse its start if that comes later."""
        self.stopped.add((task, run))
        if (task, run) in self.running:
            self._end((task, run), RunEnd.STOPPED)


class WorkerFleet:
    """The workers of a test by id.

    ``long_running`` holds the ids of the jobs with runs that don't end by themselves.
    """

    def __init__(self):
        self.models = {}
        self.long_running = set()

    def add(self, model):
        """Add a worker."""
        self.models[model.name] = model
        return model

    def client(self, entry, epoch, _lease, on_open):
        """Return a client of the worker with the id of ``entry``.

        It opens one connection, of which ``on_open()`` is told.
        """
        on_open()
        return ModelWorkerClient(self, entry, epoch)


class ModelWorkerClient:
    """Sends orders to a ``WorkerModel`` under one epoch."""

    def __init__(self, fleet, worker, epoch):
        self.fleet = fleet
        self.worker = worker
        self.epoch = epoch

    async def _begin_call(self):
        await anyio.sleep(0.001)
        model = self.fleet.models[self.worker.id]
        if model.knobs.silent or self.epoch in model.knobs.silent_epochs:
            await anyio.sleep(0.05)
            raise WorkerNoResponseError("no response from the worker", True)
        model.advance()
        model.check_epoch(self.epoch)
        if model.knobs.refuse is not None:
            raise WorkerRefusedError(
                "refused by the fault settings", model.knobs.refuse
            )
        return model

    def _raise_if_answer_lost(self, model):
        if model.knobs.lose_replies:
            model.knobs.lose_replies -= 1
            raise WorkerNoResponseError("the response of the worker was lost", True)

    async def hold(self, last_seen, lease_end=None, wait=0.0):
        """Extend the lease and return a ``WorkerReport``.

        Confirms the ends up to number ``last_seen``, and waits up to ``wait`` seconds
        for a later one.
        """
        model = await self._begin_call()
        if lease_end is not None:
            model.lease_end = max(model.lease_end, lease_end)
        model.ends = [end for end in model.ends if end.number > last_seen]
        deadline = boot_time() + wait
        while not model.ends and boot_time() < deadline:
            next_check = min([deadline, *model.running.values()])
            with anyio.move_on_after(max(0.001, next_check - boot_time())):
                await model.changes.wait()
            model.advance()
        if model.knobs.silent:
            raise WorkerNoResponseError("no response from the worker", True)
        tail_latency_ms = model.knobs.tail_latency_ms * min(
            model.paces.values(), default=1.0
        )
        runs = tuple(
            ListedRun(*key, "", model.work_done_share(key), tail_latency_ms)
            for key in model.running
        )
        limit = model.knobs.ends_per_report
        ends, has_all_ends = tuple(model.ends[:limit]), len(model.ends) < limit
        return WorkerReport(boot_time(), model.incarnation, runs, ends, has_all_ends)

    async def start(self, order, lease_end):
        """Start a run."""
        await anyio.sleep(self.fleet.models[self.worker.id].knobs.start_delay)
        model = await self._begin_call()
        if model.knobs.refuse_starts is not None:
            reason = "refused by the fault settings"
            raise WorkerRefusedError(reason, model.knobs.refuse_starts)
        long_running = order.task.job in self.fleet.long_running
        if model.knobs.late_starts:
            model.knobs.late_starts -= 1
            model.delayed_starts.append((order, lease_end, long_running))
            raise WorkerNoResponseError("no response from the worker", True)
        model.start(order, lease_end, long_running)
        self._raise_if_answer_lost(model)

    async def stop(self, task, run):
        """Stop a run."""
        model = await self._begin_call()
        if model.knobs.ignore_stops:
            raise WorkerNoResponseError("no response from the worker", True)
        model.stop(task, run)
        self._raise_if_answer_lost(model)

    async def pace(self, task, run, share):
        """Throttle a run, and lower the tail response time that is reported."""
        model = await self._begin_call()
        model.paces[task, run] = share

    async def close(self):
        """Do nothing: there is no connection."""
