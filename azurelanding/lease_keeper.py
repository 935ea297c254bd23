"""Hold the leases of pools on behalf of a control daemon."""

import math

import anyio
import structlog

from azurelanding import leases, records
from azurelanding.fleet import NO_VERSION
from azurelanding.log_service.follower import ChangeRefusedError

logger = structlog.get_logger()

TICK_SECONDS = 0.5
LEASE_SECONDS = 6.0
RELEASED = 0.0


class LeaseKeeper:
    """The leases of pools as this control sees them, and those it holds.

    A lease counts as held from a moment before its record was appended, so that
    this daemon stops relying on it before any other can take it.
    """

    def __init__(self, daemon):
        self.daemon = daemon
        self.seen = {}
        self.sure_until = {}

    def views(self, now):
        """Return the ``LeaseView`` of each pool that has a lease."""
        views = {}
        for pool, lease in self.daemon.state.leases.items():
            mark = (lease.renewed_at, lease.epoch)
            if pool not in self.seen or self.seen[pool][0] != mark:
                self.seen[pool] = (mark, now)
            views[pool] = leases.LeaseView(
                lease.holder,
                lease.epoch,
                lease.renewed_at,
                lease.duration,
                self.seen[pool][1],
            )
        return views

    def held(self):
        """Return the epoch of each pool that this daemon controls now."""
        now, me = anyio.current_time(), self.daemon.incarnation
        return {
            pool: lease.epoch
            for pool, lease in self.daemon.state.leases.items()
            if lease.holder == me and self.sure_until.get(pool, 0.0) > now
        }

    def _due(self, views, now):
        """Return, by pool, the version of each lease to take now."""
        daemon, due = self.daemon, {}
        controls = {*daemon.members.live("control"), daemon.settings.name}
        for pool in daemon.state.rules.pools:
            place = leases.rank(pool, daemon.settings.name, controls)
            view = views.get(pool)
            peer_ended_at = (
                daemon.members.peer_ended_at(view.holder) if view else math.inf
            )
            if leases.may_take(view, daemon.incarnation, place, now, peer_ended_at):
                due[pool] = view.version if view else NO_VERSION
        return due

    async def write(self, body):
        """Append ``body`` and rely on what it took from the moment before."""
        started = anyio.current_time()
        try:
            verdict = await self.daemon.change(body, asked_by="lease")
        except ChangeRefusedError as error:
            logger.warning("leases not written", reason=str(error))
            return
        for pool, lease in self.daemon.state.leases.items():
            if verdict.accepted and lease.renewed_at == verdict.offset:
                self.sure_until[pool] = started + body.duration

    async def tick(self):
        """Take and renew what is due now."""
        now = anyio.current_time()
        views = self.views(now)
        due = self._due(views, now)
        if due:
            await self.write(records.LeasesTaken(LEASE_SECONDS, due))
        if leases.must_renew(views.values(), self.daemon.incarnation, now):
            await self.write(records.LeasesRenewed(LEASE_SECONDS))

    async def run(self):
        """Take and renew leases until cancelled."""
        while True:
            await self.tick()
            await anyio.sleep(TICK_SECONDS)

    async def close(self):
        """Release the leases, so that others need not wait; may be called twice."""
        held, self.sure_until = self.held(), {}
        if held:
            await self.write(records.LeasesRenewed(RELEASED))
