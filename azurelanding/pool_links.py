"""Keep a link to each worker of a pool, for the pool's controller."""

import anyio

from azurelanding.worker_link import WorkerLink

CLOSE_SECONDS = 1.0
"""How long closing a worker's connections may take."""


class PoolLinks:
    """The links of one controller, by worker.

    ``registered`` holds the workers that are registered for the pool. ``wake`` is
    called when a worker has something to tell.
    """

    def __init__(self, pool, epoch, ledger, daemon, wake):
        self.pool = pool
        self.epoch = epoch
        self.ledger = ledger
        self.daemon = daemon
        self.wake = wake
        self.links = {}
        self.scopes = {}
        self.registered = {}

    def is_fenced(self):
        """Tell whether a worker has seen a higher epoch."""
        return any(link.is_fenced for link in self.links.values())

    def match(self, task_group):
        """Follow each registered worker, and drop those that are over."""
        self.registered = self.daemon.registry.in_pool(self.pool)
        missing = self.ledger.missing.get(self.pool, ())
        for worker_id, entry in self.registered.items():
            if worker_id in missing:
                # Its lease counts as extended by nobody until the record is gone.
                continue
            link = self.links.get(worker_id)
            if link is not None and _is_reborn(link, entry):
                self._drop(worker_id)
                link = None
            if link is None:
                self._add(entry, task_group)
            elif link.entry != entry:
                link.entry = entry
        for worker_id in list(self.links):
            is_known = worker_id in self.registered or worker_id in self.ledger.placed
            if not is_known:
                self._drop(worker_id)

    def _add(self, entry, task_group):
        link = WorkerLink(
            entry,
            lambda worker: self.daemon.make_worker_client(worker, self.epoch),
            self.daemon.site.timing.longest_lease,
            self.wake,
            self._is_startable,
        )
        for key in self.ledger.placed.get(entry.id, ()):
            link.expect(key)
        scope = anyio.CancelScope()
        self.links[entry.id], self.scopes[entry.id] = link, scope
        task_group.start_soon(self._serve, link, scope)

    def _is_startable(self, task_id):
        """Tell whether a task that was placed is still to be started."""
        state = self.ledger.active.get(task_id.job)
        return state is not None and not state.is_over

    async def _serve(self, link, scope):
        with scope:
            async with anyio.create_task_group() as task_group:
                task_group.start_soon(link.follow)
                for orderer in link.orderers:
                    task_group.start_soon(link.send_orders, orderer)
        with anyio.CancelScope(shield=True), anyio.move_on_after(CLOSE_SECONDS):
            await link.close()

    def _drop(self, worker_id):
        self.links.pop(worker_id)
        self.scopes.pop(worker_id).cancel()

    def close(self):
        """End the links; each closes its connections. May be called twice."""
        for scope in self.scopes.values():
            scope.cancel()


def _is_reborn(link, entry):
    """Tell whether an entry is that of a later life, which a link can't follow."""
    if link.entry.address != entry.address:
        return True
    return link.is_gone and entry.born > link.born
