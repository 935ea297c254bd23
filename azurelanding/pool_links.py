"""Maintain a link from a pool's controller to each worker of the pool."""

import functools

import anyio

from azurelanding import worker_holds, worker_orders
from azurelanding.fleet_workers import WorkerPhase
from azurelanding.lease_permission import LeasePermission, LeaseSuccession
from azurelanding.link_watch import LinkWatch
from azurelanding.supervision import keep_running
from azurelanding.utils import boot_time
from azurelanding.worker_link import LinkController, WorkerLink

CLOSE_SECONDS = 1.0
"""Timeout for closing a worker's connections."""
WATCH_INTERVAL_SECONDS = 1.0
"""Interval between two checks for orders that wait too long."""
VOTERS_INTERVAL_SECONDS = 1.0
"""Shortest time between two changes of the stored voters, as workers join and leave a
few at a time."""


class PoolLinks:
    """The ``WorkerLink``s of one controller, by worker.

    ``registered`` maps the workers that are registered for the pool to their entries,
    and ``scopes`` maps the linked workers to the cancel scope of their link's tasks.
    ``late_starts`` maps the workers whose link was dropped while it had unanswered
    starts to these and to ``born`` of the incarnation that may still carry them out.
    ``begun`` maps jobs that were not known to have begun to a task and a run that has.
    ``controller`` holds what the links use of the controller, such as ``wake``,
    ``end_control`` and ``charge_repeat``. ``permission`` and ``succession`` decide
    about leases; all three are made by ``begin``.
    """

    def __init__(self, pool, epoch, ledger, daemon, wake, end_control, charge_repeat):
        self.pool = pool
        self.epoch = epoch
        self.ledger = ledger
        self.daemon = daemon
        self.watch = LinkWatch(pool, daemon.metrics)
        self.links = {}
        self.voters_stored_at = float("-inf")
        self.scopes = {}
        self.late_starts = {}
        self.registered = {}
        self.begun = {}
        self.wake = wake
        self.end_control = end_control
        self.charge_repeat = charge_repeat
        self.begin()

    def begin(self):
        """Prepare the links of a pool that was taken over just now.

        The ledger holds all that earlier controllers have stored. There are no links
        yet.
        """
        voters = self.ledger.voters.get(self.pool, ())
        member = self.daemon.member
        self.permission = LeasePermission(self.pool, member, voters)
        self.succession = LeaseSuccession(voters, boot_time(), member.member_timeout)
        self.controller = LinkController(
            make_client=self._make_client,
            lease=self.daemon.site.timing.longest_lease,
            notify=self.wake,
            end_control=self.end_control,
            is_startable=self._is_startable,
            record_begin=self._record_begin,
            charge_repeat=self.charge_repeat,
            is_leaving=self._is_leaving,
            watch=self.watch,
            permission=self.permission,
            succession=self.succession,
        )

    def reconcile(self, task_group):
        """Add links to newly registered workers, and drop the links not needed."""
        self.registered = self.daemon.registry.in_pool(self.pool)
        missing = self.ledger.missing.get(self.pool, ())
        for worker_id, entry in self.registered.items():
            if worker_id in missing:
                # The record states that no controller extends this worker's lease,
                # but a link would extend it.
                continue
            link = self.links.get(worker_id)
            if link is not None and _needs_new_link(link, entry):
                if link.ends:
                    # They are recorded first, as the worker may be gone.
                    continue
                self._drop(worker_id)
                link = None
            if link is None:
                self._add(entry, task_group)
            elif link.entry != entry:
                link.entry = entry
        self._drop_unneeded()

    def _drop_unneeded(self):
        for worker_id in list(self.links):
            is_needed = worker_id in self.registered or worker_id in self.ledger.placed
            if not is_needed:
                self._drop(worker_id)
        for worker_id in list(self.late_starts):
            if self.daemon.registry.has_later_incarnation(worker_id):
                del self.late_starts[worker_id]

    def _add(self, entry, task_group):
        link = WorkerLink(entry, self.controller)
        for key in self.ledger.placed.get(entry.id, ()):
            link.adopt_run(key)
        starts, born = self.late_starts.pop(entry.id, ((), entry.born))
        if entry.born <= born:
            link.expect_late_starts(starts)
        scope = anyio.CancelScope()
        self.links[entry.id], self.scopes[entry.id] = link, scope
        task_group.start_soon(self._serve, link, scope)

    def _make_client(self, worker):
        return self.daemon.make_worker_client(
            worker,
            self.epoch,
            self.daemon.site.timing.longest_lease,
            self.watch.count_connection,
        )

    def _is_leaving(self, worker_id):
        """Return whether a worker has ended or will soon, as far as is known here."""
        entry = self.registered.get(worker_id)
        return (
            entry is None
            or entry.phase is WorkerPhase.DRAINING
            or worker_id in self.daemon.cordoned()
        )

    def _record_begin(self, task_id, run):
        state = self.ledger.active.get(task_id.job)
        if state is not None and not state.begun:
            self.begun[task_id.job] = task_id, run

    def _is_startable(self, task_id):
        """Return whether the job of a placed task is still active."""
        state = self.ledger.active.get(task_id.job)
        return state is not None and not state.is_over

    def voters_to_store(self):
        """Return the voters to store in place of the present ones, or ``None``.

        Those of earlier controllers stay until these extend no leases any more.
        """
        now = boot_time()
        voters = {
            worker_id
            for worker_id, link in self.links.items()
            if link.has_answered and not link.has_ended
        }
        if voters == self.permission.voters or not self.succession.is_sole(now):
            return None
        if now < self.voters_stored_at + VOTERS_INTERVAL_SECONDS:
            return None
        self.voters_stored_at = now
        return voters

    async def run_watch(self):
        """Watch for orders that wait too long, until cancelled."""
        try:
            while True:
                await anyio.sleep(WATCH_INTERVAL_SECONDS)
                loop_late = self.daemon.loop_watch.worst()
                self.watch.check(self.links.values(), loop_late, boot_time())
        finally:
            self.watch.close()

    async def _serve(self, link, scope):
        tasks = {
            "hold": functools.partial(worker_holds.follow, link),
            "hold while overdue": functools.partial(
                worker_holds.follow_while_overdue, link
            ),
        }
        for number, client in enumerate(link.order_clients):
            send = functools.partial(worker_orders.send_orders, link, client)
            tasks[f"send orders {number}"] = send
        with scope:
            async with anyio.create_task_group() as task_group:
                for task, run in tasks.items():
                    name = f"{task} {link.entry.id}"
                    task_group.start_soon(keep_running, name, run, self.daemon.metrics)
        with anyio.CancelScope(shield=True), anyio.move_on_after(CLOSE_SECONDS):
            await link.close()

    def _drop(self, worker_id):
        link = self.links.pop(worker_id)
        self.permission.forget(worker_id)
        if link.unanswered_starts and not link.has_ended:
            self.late_starts[worker_id] = (link.unanswered_starts, link.born)
        self.scopes.pop(worker_id).cancel()

    def close(self):
        """Cancel the links, which then close their connections. May be called twice."""
        for scope in self.scopes.values():
            scope.cancel()


def _needs_new_link(link, entry):
    """Return whether an entry is of a later incarnation, which needs a new link."""
    if link.entry.address != entry.address:
        return True
    return link.has_ended and entry.born > link.born
