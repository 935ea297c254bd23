"""Maintain hosts in waves and move hosts between pools.

One daemon at a time holds the role of fleet controller. It plans to drain a host, the
controller of the host's pool records that it keeps the worker drained, and only then
the fleet controller sends the order, which ends every task still on the host.
"""

import time

import anyio
import attrs
import structlog

from azurelanding import fleet_records, host_choice, pool_sizes, wave_orders
from azurelanding.appender import Appender
from azurelanding.fleet_records import WaveProgress
from azurelanding.fleet_workers import HostPhase
from azurelanding.host_calls import HostBusyError, HostCallError, HostFencedError
from azurelanding.store import Producer, StoreError, stored_records
from azurelanding.utils import boot_time

logger = structlog.get_logger()

TOPIC = "fleet"
POLL_INTERVAL_SECONDS = 0.25
"""A sixth of the time that a move takes."""
HOLDER_PAUSE_MARGIN_SECONDS = 0.3
"""Added to the pause between two holders: transit time of the last orders."""
DRAIN_TIMEOUT_SECONDS = 4.0
"""Longest wait for a host to drain for maintenance. Its tasks are then ended and start
again elsewhere. Tasks with a limit on their unavailability are always waited for."""
MOVE_DRAIN_TIMEOUT_SECONDS = 3.0
"""Longest wait for a host to drain for a move, after which the move is dropped."""
LATE_WAVE_SHARE = 0.75
"""Share of a wave's duration after which the drain timeout is a quarter as long."""
APPEND_TIMEOUT_SECONDS = 5.0
"""Longest wait for an append before the hosts are polled again."""
BUSY_BACKOFF_SECONDS = 1.0
"""Delay before the next order to a host that refused one as busy; about the time of
a move."""
REMOVED_AFTER_SECONDS = 3.0
"""Time that a host is missing from the list before it counts as removed."""


class FleetController:
    """Manages the hosts of the fleet while this daemon is the fleet controller.

    ``fold`` holds the state of the fleet's stream; ``client`` calls the platform.
    ``hosts`` are the ``HostEntry``s of the last poll by name. Times are in
    ``boot_time``: ``draining_since`` by worker, ``missing_since``, ``busy_until`` and
    ``orderable_at`` (when the pause after an earlier holder's orders ends) by host, and
    ``maintenance_ordered_at`` by host and wave. ``accepted_plans`` are the plans whose
    order for maintenance was accepted since the last poll, by host.
    ``reported_complete`` holds by wave whether the status last reported to the operator
    was complete.
    """

    def __init__(self, daemon, client):
        self.daemon = daemon
        self.client = client
        self.member = daemon.fleet_member
        self.fold = daemon.fleet
        self.hosts = {}
        self.draining_since = {}
        self.missing_since = {}
        self.maintenance_ordered_at = {}
        self.accepted_plans = {}
        self.busy_until = {}
        self.orderable_at = {}
        self.reported_complete = {}
        self.scaler = pool_sizes.PoolScaler()

    @classmethod
    def from_config(cls, daemon):
        """Return the fleet controller of ``daemon``."""
        return cls(daemon, daemon.service_clients.make_hosts(daemon.name))

    async def run(self):
        """Control the fleet whenever the store assigns that role, until cancelled."""
        while True:
            epoch = self.member.epoch_of(TOPIC, 0)
            if epoch is None:
                with anyio.move_on_after(1.0):
                    await self.member.changes.wait()
                continue
            await self._control(epoch)

    def _is_holder(self, epoch):
        return self.member.epoch_of(TOPIC, 0) == epoch

    async def _control(self, epoch):
        """Control the fleet under ``epoch`` until the role is lost or a fault shows.

        The role is given up then, so that the next holder, maybe this daemon, has a
        higher epoch.
        """
        make_appender = self._make_appender
        self.appender = make_appender(TOPIC, Producer("fleet", epoch))
        self.status_appender = make_appender(
            self.daemon.service_clients.status_topic, Producer("wave-status", epoch)
        )
        try:
            async with anyio.create_task_group() as task_group:
                task_group.start_soon(self.appender.run)
                task_group.start_soon(self.status_appender.run)
                if await self._take_over(epoch):
                    await self._poll_until_lost(epoch)
                task_group.cancel_scope.cancel()
            await self.appender.close()
            await self.status_appender.close()
        finally:
            self.member.drop_holding(TOPIC, 0)
            self.daemon.metrics.gauge("hosts_held_back", 0)
            logger.info("fleet control lost", epoch=epoch)

    def _make_appender(self, topic, producer):
        return Appender(topic, 0, self.daemon.service_clients.make_store(), producer)

    async def _take_over(self, epoch):
        """Fence earlier holders at the store, and read the plans that they recorded.

        Return whether the role is still held.
        """
        while self._is_holder(epoch):
            try:
                await self.appender.client.append(
                    TOPIC, 0, (), self.appender.producer, 0
                )
                await self.daemon.fleet_follower.refresh()
            except StoreError as error:
                logger.info("fleet takeover delayed", reason=str(error))
                await anyio.sleep(POLL_INTERVAL_SECONDS)
            else:
                for stream in list(self.daemon.streams.values()):
                    stream.follower.hurry()
                    await stream.fold_all()
                self._set_orderable_times()
                self._log_acquired(epoch)
                return True
        return False

    def _set_orderable_times(self):
        """Set the time from which each host may be ordered.

        Earlier holders sent orders only to hosts with a stored plan. A host with a
        pending plan may have been ordered as late as now. A host whose plan was dropped
        or executed was ordered no later than its last record.
        """
        pause = self.daemon.site.timing.holder_pause + HOLDER_PAUSE_MARGIN_SECONDS
        self.orderable_at = {
            host: at + pause for host, at in self.fold.last_order_at.items()
        }
        now = boot_time()
        self.orderable_at.update((host, now + pause) for host in self.fold.pending())

    def _held_back(self):
        """Return the hosts that may not be ordered yet, and from when they may."""
        now = boot_time()
        return {host: at for host, at in self.orderable_at.items() if at > now}

    def _log_acquired(self, epoch):
        now = boot_time()
        self.orderable_at = self._held_back()
        logger.info(
            "fleet control acquired",
            epoch=epoch,
            hosts_held_back=len(self.orderable_at),
            held_back_for=round(max(self.orderable_at.values(), default=now) - now, 1),
        )

    def _is_past_holder_pause(self, host):
        """Return whether no order of an earlier holder can still reach a host."""
        return boot_time() >= self.orderable_at.get(host, 0.0)

    async def _poll_until_lost(self, epoch):
        while self._is_holder(epoch) and self.appender.fenced is None:
            self.orderable_at = self._held_back()
            self.daemon.metrics.gauge("hosts_held_back", len(self.orderable_at))
            if self._needs_poll():
                try:
                    await self._poll(epoch)
                except HostFencedError as error:
                    logger.warning("fleet controller fenced", reason=str(error))
                    return
                except (HostCallError, StoreError) as error:
                    logger.info("fleet poll failed", reason=str(error))
            await anyio.sleep(POLL_INTERVAL_SECONDS)

    def _open_waves(self):
        return [
            wave
            for number, wave in sorted(self.daemon.operator.waves.items())
            if not self.fold.progress(number).is_complete
        ]

    def _needs_poll(self):
        if self.daemon.operator.configuration is None:
            return False
        if self._open_waves() or self.fold.pending():
            return True
        if not self.hosts:
            return True
        now = boot_time()
        gaps = self._gaps()
        self.scaler.record_gaps(gaps, now)
        return self.scaler.is_due(gaps, now)

    def _gaps(self):
        """Return by pool how many more hosts it wants; negative is a surplus."""
        return self.scaler.gaps(
            self.daemon.states_of,
            self.daemon.lag_of,
            self.daemon.operator.configuration.pools_in_use(),
            self.hosts,
            self.fold.pending(),
            time.time(),
        )

    async def _poll(self, epoch):
        """List the hosts, plan which ones to drain, and order the drained ones."""
        self.hosts = await self.client.list_hosts()
        placed = self.daemon.placed()
        await self._close_accepted_plans()
        await self._drop_stale_plans()
        # Demand is planned before the waves, which are less urgent.
        await self._plan_moves(placed)
        for wave in self._open_waves():
            await self._plan_wave(wave, placed)
        await self._execute_plans(placed, epoch)
        for wave in self._open_waves():
            await self._finish_wave(wave)

    async def _store(self, records):
        """Append records to the fleet's stream and apply them to the fold."""
        if not records:
            return
        offset = await self.appender.append(records, APPEND_TIMEOUT_SECONDS)
        self.daemon.fleet_follower.apply(stored_records(records, offset))

    async def _report_wave(self, wave, is_complete):
        """Append the status of a wave for the operator, once for each status."""
        if self.reported_complete.get(wave) == is_complete:
            return
        record = self.daemon.service_clients.encode_wave(wave, is_complete)
        await self.status_appender.append([record], APPEND_TIMEOUT_SECONDS)
        self.reported_complete[wave] = is_complete
        logger.info("wave status", wave=wave, complete=is_complete)

    async def _plan_wave(self, wave, placed):
        await self._report_wave(wave.number, False)
        plans = host_choice.plan_wave(
            wave,
            self.fold.progress(wave.number),
            self.hosts,
            self.fold.pending(),
            placed,
            self.daemon.standby_pools(),
            time.time(),
        )
        self._log_plans(plans)
        await self._store([fleet_records.encode_record(plan) for plan in plans])

    def _log_plans(self, plans):
        for plan in plans:
            logger.info(
                "host drain planned",
                host=plan.host,
                worker=plan.worker,
                wave=plan.wave,
                pool=plan.pool,
            )

    async def _close_accepted_plans(self):
        """Record which of the accepted orders for maintenance have ended a worker."""
        closed = wave_orders.close_accepted(
            self.accepted_plans, self.fold.pending(), self.hosts, time.time()
        )
        await self._store([fleet_records.encode_record(plan) for plan in closed])
        self.accepted_plans = {}

    async def _drop_stale_plans(self):
        """Drop the plans that are overdue, or whose host or worker is no longer up."""
        stale = [
            plan
            for plan in self.fold.pending().values()
            if plan.host not in self.hosts
            or self.hosts[plan.host].worker != plan.worker
            or self.hosts[plan.host].phase is not HostPhase.UP
            or self._is_overdue(plan)
        ]
        now = time.time()
        dropped = [attrs.evolve(plan, is_dropped=True, closed_at=now) for plan in stale]
        await self._store([fleet_records.encode_record(plan) for plan in dropped])

    def _is_overdue(self, plan):
        """Return whether a host did not drain in time for its move."""
        return (
            plan.wave is None
            and time.time() > plan.made_at + MOVE_DRAIN_TIMEOUT_SECONDS
        )

    async def _plan_moves(self, placed):
        """Plan the moves that match the size of each pool to its demand."""
        standby = self.daemon.standby_pools()
        if self.scaler.floor is None:
            pools = self.daemon.operator.configuration.pools_in_use()
            self.scaler.floor = pool_sizes.min_hosts_per_pool(
                self.hosts, pools, standby
            )
        now = boot_time()
        gaps = self._gaps()
        self.scaler.record_gaps(gaps, now)
        hosts = {
            name: h
            for name, h in self.hosts.items()
            if self._is_past_holder_pause(name)
        }
        plans = self.scaler.plan_moves(
            gaps, hosts, self.fold.pending(), placed, standby, now, time.time()
        )
        self._log_plans(plans)
        await self._store([fleet_records.encode_record(plan) for plan in plans])

    def _is_drain_over(self, plan, placed):
        """Return whether a host is drained, or its drain timeout has passed."""
        host = self.hosts[plan.host]
        if not plan.worker or host.pool in self.daemon.standby_pools():
            return True
        if plan.worker not in self.daemon.vacated(host.pool):
            return False
        runs = placed.get(plan.worker, ())
        if not runs:
            return True
        since = self.draining_since.setdefault(plan.worker, boot_time())
        if plan.wave is None or boot_time() < since + self._drain_timeout(plan):
            return False
        return not any(
            self.daemon.has_unavailability_limit(task_id) for task_id, _ in runs
        )

    def _drain_timeout(self, plan):
        """Return the longest wait for a host to drain, in seconds."""
        wave = self.daemon.operator.waves.get(plan.wave)
        if wave is None:
            return DRAIN_TIMEOUT_SECONDS
        begun = self.scaler.first_seen(("wave", wave.number), boot_time())
        is_late = boot_time() > begun + wave.duration * LATE_WAVE_SHARE
        return DRAIN_TIMEOUT_SECONDS / 4 if is_late else DRAIN_TIMEOUT_SECONDS

    def _wave_allows_order(self, plan, in_maintenance):
        """Return whether a wave allows one more host in maintenance.

        ``in_maintenance`` holds those that are, by the waves asked about so far.
        """
        wave = self.daemon.operator.waves.get(plan.wave)
        if wave is None:
            return True
        if plan.wave not in in_maintenance:
            in_maintenance[plan.wave] = self._hosts_in_maintenance(wave)
        return len(in_maintenance[plan.wave]) < wave.at_once

    def _hosts_in_maintenance(self, wave):
        """Return the hosts of a wave that are, or may be, in maintenance."""
        shown_after = self.daemon.site.timing.maintenance + POLL_INTERVAL_SECONDS
        return wave_orders.hosts_in_maintenance(
            wave, self.hosts, self.maintenance_ordered_at, boot_time() - shown_after
        )

    async def _execute_plans(self, placed, epoch):
        """Send the orders that are due, then record them in one append."""
        ordered, in_maintenance = [], {}
        try:
            for plan in self.fold.pending().values():
                if not self._is_order_due(plan, placed, in_maintenance):
                    continue
                if plan.wave is not None:
                    # The order may be carried out even if it is not answered.
                    in_maintenance.setdefault(plan.wave, set()).add(plan.host)
                if await self._order(plan, epoch):
                    ordered.append(plan)
        finally:
            await self._record_orders(ordered)

    def _is_order_due(self, plan, placed, in_maintenance):
        return (
            plan.host in self.hosts
            and self._is_past_holder_pause(plan.host)
            and boot_time() >= self.busy_until.get(plan.host, 0.0)
            and self._is_drain_over(plan, placed)
            and self._wave_allows_order(plan, in_maintenance)
        )

    async def _order(self, plan, epoch):
        """Send the order for one host; return whether it was accepted."""
        if not (self._is_holder(epoch) and self.member.is_valid):
            return False
        try:
            if plan.wave is not None:
                self.maintenance_ordered_at[plan.host, plan.wave] = boot_time()
                await self.client.maintain(plan.host, plan.wave, epoch)
            else:
                await self.client.move(plan.host, plan.pool, epoch)
        except HostBusyError as error:
            self.busy_until[plan.host] = boot_time() + BUSY_BACKOFF_SECONDS
            logger.info("host busy", host=plan.host, reason=str(error))
            return False
        self.daemon.metrics.count("host_orders")
        logger.info("host ordered", host=plan.host, wave=plan.wave, pool=plan.pool)
        return True

    async def _record_orders(self, plans):
        """Record in the fleet's stream that hosts were ordered.

        Plans for maintenance stay pending until the list shows what the order did.
        """
        now = time.time()
        moves = [plan for plan in plans if plan.wave is None]
        ordered = [attrs.evolve(p, is_ordered=True, closed_at=now) for p in moves]
        progress = wave_orders.progress_after(plans, self.fold.progress)
        records = [fleet_records.encode_record(r) for r in (*ordered, *progress)]
        await self._store(records)
        self.accepted_plans.update((p.host, p) for p in plans if p.wave is not None)

    async def _finish_wave(self, wave):
        """Complete a wave once each host that still exists has had its maintenance."""
        progress = self.fold.progress(wave.number)
        now = boot_time()
        for name in wave.hosts:
            if name in progress.begun:
                continue
            if name in self.hosts:
                self.missing_since.pop(name, None)
                return
            if now < self.missing_since.setdefault(name, now) + REMOVED_AFTER_SECONDS:
                return
        if self._hosts_in_maintenance(wave):
            return
        done = WaveProgress(wave.number, progress.begun, True)
        await self._store([fleet_records.encode_record(done)])
        await self._report_wave(wave.number, True)
