"""Take, renew and release the leases of pools for a control daemon."""

import math

import anyio
import structlog

from azurelanding import leases, records
from azurelanding.fleet import NO_VERSION
from azurelanding.log_service.follower import ChangeRefusedError

logger = structlog.get_logger()

CHECK_INTERVAL_SECONDS = 0.5
LEASE_SECONDS = 6.0
RELEASED_LEASE_SECONDS = 0.0


class LeaseKeeper:
    """Takes and renews the leases of pools for one control daemon.

    ``first_seen`` holds, by pool, the renewal offset and epoch of the lease and the
    monotonic time at which they were first seen. ``held_until`` is the monotonic
    time until which this daemon relies on the lease of a pool. That time is
    counted from before the record was appended, so this daemon stops relying on
    a lease before any other daemon can take it.
    """

    def __init__(self, daemon):
        self.daemon = daemon
        self.first_seen = {}
        self.held_until = {}

    def views(self, now):
        """Return the ``LeaseView`` of each pool that has a lease."""
        views = {}
        for pool, lease in self.daemon.state.leases.items():
            revision = (lease.renewed_at, lease.epoch)
            if pool not in self.first_seen or self.first_seen[pool][0] != revision:
                self.first_seen[pool] = (revision, now)
            views[pool] = leases.LeaseView(
                lease.holder,
                lease.epoch,
                lease.renewed_at,
                lease.duration,
                self.first_seen[pool][1],
            )
        return views

    def held(self):
        """Return, by pool, the epoch of each lease that this daemon holds now."""
        now, incarnation = anyio.current_time(), self.daemon.incarnation
        return {
            pool: lease.epoch
            for pool, lease in self.daemon.state.leases.items()
            if lease.holder == incarnation and self.held_until.get(pool, 0.0) > now
        }

    def _leases_to_take(self, views, now):
        """Return, by pool, the current version of each lease to take now."""
        daemon, to_take = self.daemon, {}
        control_names = {*daemon.members.live("control"), daemon.settings.name}
        for pool in daemon.state.rules.pools:
            rank = leases.takeover_rank(pool, daemon.settings.name, control_names)
            view = views.get(pool)
            ended_at = daemon.members.peer_ended_at(view.holder) if view else math.inf
            if leases.may_take(view, daemon.incarnation, rank, now, ended_at):
                to_take[pool] = view.version if view else NO_VERSION
        return to_take

    async def append(self, body):
        """Append ``body`` and set ``held_until`` of the leases that it took or renewed.

        Their duration counts from the time before the append.
        """
        started = anyio.current_time()
        try:
            verdict = await self.daemon.change(body, asked_by="lease")
        except ChangeRefusedError as error:
            logger.warning("leases not written", reason=str(error))
            return
        for pool, lease in self.daemon.state.leases.items():
            if verdict.accepted and lease.renewed_at == verdict.offset:
                self.held_until[pool] = started + body.duration

    async def tick(self):
        """Take the leases that are free to take, and renew the held ones if due."""
        now = anyio.current_time()
        views = self.views(now)
        to_take = self._leases_to_take(views, now)
        if to_take:
            await self.append(records.LeasesTaken(LEASE_SECONDS, to_take))
        if leases.must_renew(views.values(), self.daemon.incarnation, now):
            await self.append(records.LeasesRenewed(LEASE_SECONDS))

    async def run(self):
        """Take and renew leases until cancelled."""
        while True:
            await self.tick()
            await anyio.sleep(CHECK_INTERVAL_SECONDS)

    async def close(self):
        """Release the leases, so that other control daemons can take them immediately.

        May be called twice.
        """
        held, self.held_until = self.held(), {}
        if held:
            await self.append(records.LeasesRenewed(RELEASED_LEASE_SECONDS))
