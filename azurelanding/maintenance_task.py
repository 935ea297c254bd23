"""Run the waves and moves of the pools that a control daemon controls."""

import time

import anyio
import attrs
import structlog

from azurelanding import maintenance, pacing, pool_views
from azurelanding.hosts import HostKind, Phase, Presence
from azurelanding.log_service.follower import ChangeRefusedError
from azurelanding.pools.client import PoolsClient, PoolsError

logger = structlog.get_logger()

CHECK_INTERVAL_SECONDS = 1.0
DUE_CHECK_INTERVAL_SECONDS = 30.0


class MaintenanceTask:
    """Runs the maintenance of the pools that one control daemon controls.

    All state that must survive a restart of the daemon is in the log. This object
    stores only the reported reboot states and since when observed values are unchanged:
    ``host_versions_since``, ``unhealthy_since`` and ``wave_progress_since`` map a
    name to a value and the monotonic time when it was first observed.
    """

    def __init__(self, daemon, pools_client):
        self.daemon = daemon
        self.pools_client = pools_client
        self.started_at = None
        self.due_checked_at = None
        self.host_versions_since = {}
        self.unhealthy_since = {}
        self.wave_progress_since = {}
        self.reboots = {}

    @classmethod
    def from_config(cls, daemon, settings):
        """Return a task of ``daemon`` that reboots hosts through the pools' service."""
        return cls(daemon, PoolsClient.from_config(settings.pools))

    def _track_durations(self, tracked, current, now):
        """Return for how many seconds each value in ``current`` has been unchanged.

        ``tracked`` stores the values and times between calls and is updated.
        """
        for name in list(tracked):
            if name not in current:
                del tracked[name]
        for name, value in current.items():
            if name not in tracked or tracked[name][0] != value:
                tracked[name] = (value, now)
        return {name: now - since for name, (_, since) in tracked.items()}

    def _find_unhealthy(self, set_aside):
        """Return the maintained hosts of open waves that can't serve, with ``True``."""
        hosts = self.daemon.host_list.hosts
        done = [name for wave in self.daemon.state.waves.values() for name in wave.done]
        return {
            name: True
            for name in done
            if name in set_aside
            or name not in hosts
            or hosts[name].presence is not Presence.LIVE
        }

    def _stopped_hosts(self):
        """Return the states of the hosts that are not serving, by name."""
        serving, hosts = Phase.SERVING, self.daemon.state.hosts
        return {n: host for n, host in hosts.items() if host.phase is not serving}

    def observations(self, now, set_aside, stopped):
        """Return this daemon's ``Observations`` at monotonic time ``now``."""
        state = self.daemon.state
        versions = {name: host.version for name, host in stopped.items()}
        wave_progress = {
            pool: (wave.started, len(wave.done) + len(wave.failed))
            for pool, wave in state.waves.items()
        }
        return pool_views.Observations(
            watched_seconds=now - self.started_at,
            seconds_in_phase=self._track_durations(
                self.host_versions_since, versions, now
            ),
            unhealthy_seconds=self._track_durations(
                self.unhealthy_since, self._find_unhealthy(set_aside), now
            ),
            seconds_since_progress=self._track_durations(
                self.wave_progress_since, wave_progress, now
            ),
            reboots=dict(self.reboots),
        )

    def _running_tasks(self, stopped):
        """Return the number of tasks by draining worker, ``None`` if it is unknown."""
        hosts = self.daemon.host_list.hosts
        placements = self.daemon.placements
        return {
            name: placements.count_tasks_on(name)
            if placements.has_read_tasks(host.pool)
            else None
            for name, host in stopped.items()
            if host.phase is Phase.DRAINING
            and name in hosts
            and hosts[name].kind is HostKind.WORKER
        }

    def views(self, names):
        """Return the ``PoolView`` of each of the pools ``names``."""
        daemon, now, stopped = self.daemon, anyio.current_time(), self._stopped_hosts()
        entries = daemon.members.live("entry").values()
        set_aside = pool_views.majority_set_aside(entries)
        return pool_views.make_pool_views(
            daemon.state,
            daemon.host_list.hosts,
            pool_views.make_entry_views(daemon.members.peer_statuses, now),
            set_aside,
            pacing.silence(daemon.settings.entries),
            self.observations(now, set_aside, stopped),
            names,
            self._running_tasks(stopped),
        )

    async def _append(self, body, epoch, asked_by):
        if hasattr(body, "epoch"):
            body = attrs.evolve(body, epoch=epoch)
        try:
            verdict = await self.daemon.change(body, asked_by)
        except ChangeRefusedError as error:
            logger.warning("change not recorded", change=body, reason=str(error))
            return
        if not verdict.accepted:
            logger.info("change refused", change=body, reason=verdict.reason)

    async def _request_reboot(self, name, version):
        try:
            self.reboots[name] = await self.pools_client.reboot(name, str(version))
        except PoolsError as error:
            logger.warning("reboot request failed", host=name, reason=str(error))

    async def _request_reboots(self, held, stopped):
        """Request each recorded reboot; repeated until the host leaves that phase."""
        rebooting = {
            name: host.version
            for name, host in stopped.items()
            if host.phase is Phase.REBOOTING and host.pool in held
        }
        for name in list(self.reboots):
            if name not in rebooting:
                del self.reboots[name]
        async with anyio.create_task_group() as task_group:
            for name, version in rebooting.items():
                task_group.start_soon(self._request_reboot, name, version)

    def _pools_to_check(self, held, stopped, now):
        """Return the pools of ``held`` that have a wave or hosts that are not serving.

        Every ``DUE_CHECK_INTERVAL_SECONDS`` it returns all of ``held``, to find hosts
        whose maintenance has become due.
        """
        if (
            self.due_checked_at is None
            or now - self.due_checked_at >= DUE_CHECK_INTERVAL_SECONDS
        ):
            self.due_checked_at = now
            return set(held)
        pools = {host.pool for host in stopped.values()}
        return held.keys() & (pools | self.daemon.state.waves.keys())

    async def _advance(self):
        held, stopped = self.daemon.leases.held(), self._stopped_hosts()
        await self._request_reboots(held, stopped)
        names = self._pools_to_check(held, stopped, anyio.current_time())
        if not names:
            return
        async with anyio.create_task_group() as task_group:
            for pool, view in self.views(names).items():
                asked_by = view.maintenance.asked_by if view.maintenance else "rules"
                for body in maintenance.decide(view, time.time()):
                    task_group.start_soon(self._append, body, held[pool], asked_by)

    async def run(self):
        """Advance waves and moves until cancelled."""
        self.started_at = anyio.current_time()
        while True:
            await self._advance()
            await anyio.sleep(CHECK_INTERVAL_SECONDS)

    async def close(self):
        """Close the connection to the pools' service; may be called twice."""
        await self.pools_client.close()
