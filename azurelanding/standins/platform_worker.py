"""Stand in for a worker of the platform: runs under leases, with fencing.

``WorkerModel`` runs tasks in real time; ``client(entry, epoch)`` of a ``WorkerFleet``
returns what the product uses in place of ``azurelanding.platform.workers``.
"""

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
    WorkerRefusedError,
    WorkerReport,
    WorkerSilentError,
)


@attrs.define
class WorkerKnobs:
    """The faults and the pace of a worker; times are in seconds.

    ``silent`` answers nothing and does nothing, ``lose_answers`` counts orders that
    are carried out without an answer, ``fail_all`` fails every run. With ``still``
    tasks make no progress and don't end. ``tail`` is what it tells of the response
    times of its tasks, in milliseconds, while nothing beside them is slowed down.
    """

    run_time: float = 0.05
    silent: bool = False
    lose_answers: int = 0
    fail_all: bool = False
    still: bool = False
    tail: float = 0.0
    refuse: Refusal | None = None


class WorkerModel:
    """One worker, what runs on it, and every start it has carried out."""

    def __init__(self, name, pool, room=None, host=None):
        self.room = room or Resources(8.0, 1 << 34, 0)
        self.name = name
        self.host = host or f"host-{name}"
        self.pool = pool
        self.knobs = WorkerKnobs()
        self.started = []
        self.phase = WorkerPhase.READY
        self.changes = Notifier()
        self.lives = 0
        self.restart()

    def restart(self):
        """Begin a new life that knows nothing of before."""
        self.lives += 1
        self.fence = 0
        self.running = {}
        self.paces = {}
        self.stopped = set()
        self.ends = []
        self.number = 0
        self.lease_end = 0.0
        self.changes.notify()

    def entry(self):
        """Return what the worker registers."""
        return WorkerEntry(
            id=self.name,
            host=self.host,
            pool=self.pool,
            address=self.name,
            availability_zone="a",
            room=self.room,
            labels=("a", "r1-1"),
            phase=self.phase,
            born=self.lives,
        )

    def _end(self, key, how):
        self.running.pop(key, None)
        self.number += 1
        self.ends.append(ListedEnd(self.number, *key, how, ""))
        self.changes.notify()

    def advance(self):
        """End the runs whose time has come, and all once the lease is over."""
        now = boot_time()
        for key, ends_at in list(self.running.items()):
            if now >= self.lease_end:
                self._end(key, RunEnd.LAPSED)
            elif now >= ends_at and not self.knobs.still:
                self._end(key, RunEnd.FAILED if self.knobs.fail_all else RunEnd.DONE)

    def share(self, key):
        """Return how much of its work a run has done; a lasting one works in full."""
        left = self.running[key] - boot_time()
        if left == float("inf"):
            return 1.0
        if self.knobs.still:
            return 0.0
        return max(0.0, 1.0 - left / max(left, self.knobs.run_time))

    def check(self, epoch):
        """Refuse an epoch below the highest one seen."""
        if epoch < self.fence:
            raise WorkerRefusedError("overtaken", Refusal.FENCED)
        self.fence = epoch

    def start(self, order, lease_end, long_running):
        """Start a run unless one as high has ended or was stopped."""
        key = (order.task, order.run)
        if key in self.running:
            return
        over = {end.run for end in self.ends if end.task == order.task}
        over |= {run for task, run in self.stopped if task == order.task}
        if over and order.run <= max(over):
            raise WorkerRefusedError("old run", Refusal.OLD_RUN)
        self.lease_end = max(self.lease_end, lease_end)
        self.started.append(key)
        time = float("inf") if long_running else self.knobs.run_time
        self.running[key] = boot_time() + time
        self.changes.notify()

    def stop(self, task, run):
        """Stop a run, or never start it."""
        self.stopped.add((task, run))
        if (task, run) in self.running:
            self._end((task, run), RunEnd.STOPPED)


class WorkerFleet:
    """The workers of a test by id; ``long_running`` names the jobs that last."""

    def __init__(self):
        self.models = {}
        self.long_running = set()

    def add(self, model):
        """Add a worker."""
        self.models[model.name] = model
        return model

    def client(self, entry, epoch):
        """Return a client of the worker that ``entry`` names."""
        return ModelWorkerClient(self, entry, epoch)


class ModelWorkerClient:
    """Gives orders to a ``WorkerModel`` under one epoch."""

    def __init__(self, fleet, worker, epoch):
        self.fleet = fleet
        self.worker = worker
        self.epoch = epoch

    async def _reach(self):
        await anyio.sleep(0.001)
        model = self.fleet.models[self.worker.id]
        if model.knobs.silent:
            await anyio.sleep(0.05)
            raise WorkerSilentError("no answer", True)
        model.advance()
        model.check(self.epoch)
        if model.knobs.refuse is not None:
            raise WorkerRefusedError("refused", model.knobs.refuse)
        return model

    def _answer(self, model):
        if model.knobs.lose_answers:
            model.knobs.lose_answers -= 1
            raise WorkerSilentError("answer lost", True)

    async def hold(self, seen, lease_end=None, wait=0.0):
        """Extend the lease and return a report, as a worker does."""
        model = await self._reach()
        if lease_end is not None:
            model.lease_end = max(model.lease_end, lease_end)
        model.ends = [end for end in model.ends if end.number > seen]
        until = boot_time() + wait
        while not model.ends and boot_time() < until:
            due = min([until, *model.running.values()])
            with anyio.move_on_after(max(0.001, due - boot_time())):
                await model.changes.wait()
            model.advance()
        if model.knobs.silent:
            raise WorkerSilentError("no answer", True)
        tail = model.knobs.tail * min(model.paces.values(), default=1.0)
        runs = tuple(
            ListedRun(*key, "", model.share(key), tail) for key in model.running
        )
        return WorkerReport(boot_time(), model.lives, runs, tuple(model.ends))

    async def start(self, order, lease_end):
        """Start a run."""
        model = await self._reach()
        model.start(order, lease_end, order.task.job in self.fleet.long_running)
        self._answer(model)

    async def stop(self, task, run):
        """Stop a run."""
        model = await self._reach()
        model.stop(task, run)
        self._answer(model)

    async def pace(self, task, run, share):
        """Slow a run down, and with it what it does to others."""
        model = await self._reach()
        model.paces[task, run] = share

    async def close(self):
        """Do nothing: there is no connection."""
