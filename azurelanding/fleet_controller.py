"""Carry out waves of maintenance and moves of hosts, one holder at a time.

The holder plans to empty a host, the controller of its pool records that it keeps the
host's worker empty, and only then the holder gives the order that ends all on it.
"""

import time

import anyio
import attrs
import structlog

from azurelanding import fleet_records, host_choice, pool_sizes
from azurelanding.appender import Appender
from azurelanding.fleet_records import WaveProgress
from azurelanding.fleet_workers import HostPhase
from azurelanding.host_calls import HostBusyError, HostCallError, HostFencedError
from azurelanding.store import Producer, StoredRecord, StoreError
from azurelanding.utils import boot_time

logger = structlog.get_logger()

TOPIC = "fleet"
LOOK_SECONDS = 0.25
"""Time between two looks; a sixth of the time of a move."""
HOLDER_PAUSE_MARGIN_SECONDS = 0.3
"""Added to the pause between two holders, for the way of the last one's orders."""
EMPTY_PATIENCE_SECONDS = 4.0
"""How long a host may take to get empty before its tasks are ended; they then start
again elsewhere. Tasks whose absence is bounded are waited for in any case."""
MOVE_PATIENCE_SECONDS = 3.0
"""How long a host that is to move may take to get empty before it stays."""
LAST_WAVE_SHARE = 0.75
"""Share of a wave's time after which its hosts are no longer waited for so long."""
STORE_PATIENCE_SECONDS = 5.0
"""How long an append may take before the holder looks anew."""
BUSY_PAUSE_SECONDS = 1.0
"""Rest of a host that refused an order as busy; about the time of a move."""
GONE_SECONDS = 3.0
"""How long a host is missing from the list before it counts as gone for good."""


class FleetController:
    """The duty for the fleet's hosts, carried out while this daemon holds it."""

    def __init__(self, daemon, client):
        self.daemon = daemon
        self.client = client
        self.member = daemon.fleet_member
        self.fold = daemon.fleet
        self.hosts = {}
        self.vacant_since = {}
        self.missing_since = {}
        self.ordered = {}
        self.busy_until = {}
        self.orderable_at = {}
        self.told = {}
        self.sizes = pool_sizes.PoolScaler()

    @classmethod
    def from_config(cls, daemon):
        """Return the duty of ``daemon``."""
        return cls(daemon, daemon.service_clients.make_hosts(daemon.name))

    async def run(self):
        """Hold the duty whenever the store gives it, until cancelled."""
        while True:
            epoch = self.member.epoch_of(TOPIC, 0)
            if epoch is None:
                with anyio.move_on_after(1.0):
                    await self.member.changes.wait()
                continue
            try:
                await self._hold(epoch)
            except Exception:
                # A fault in this duty must not end the service of callers and pools.
                logger.exception("fleet duty failed", epoch=epoch)
                self.member.drop_holding(TOPIC, 0)

    def _holds(self, epoch):
        return self.member.epoch_of(TOPIC, 0) == epoch

    async def _hold(self, epoch):
        """Carry out the duty under ``epoch`` until it is lost."""
        make_appender = self._make_appender
        async with anyio.create_task_group() as task_group:
            self.appender = make_appender(TOPIC, Producer("fleet", epoch))
            self.status = make_appender(
                self.daemon.service_clients.status_topic, Producer("wave-status", epoch)
            )
            task_group.start_soon(self.appender.run)
            task_group.start_soon(self.status.run)
            if await self._take_over(epoch):
                await self._look_until_lost(epoch)
            task_group.cancel_scope.cancel()
        await self.appender.close()
        await self.status.close()
        self.member.drop_holding(TOPIC, 0)
        logger.info("fleet duty lost", epoch=epoch)

    def _make_appender(self, topic, producer):
        return Appender(topic, 0, self.daemon.service_clients.make_store(), producer)

    async def _take_over(self, epoch):
        """Refuse earlier holders at the store, and learn what they may have ordered."""
        while self._holds(epoch):
            try:
                await self.appender.client.append(
                    TOPIC, 0, (), self.appender.producer, 0
                )
                await self.daemon.fleet_follower.refresh()
            except StoreError as error:
                logger.info("fleet duty waits", reason=str(error))
                await anyio.sleep(LOOK_SECONDS)
            else:
                self._set_orderable_times()
                logger.info("fleet duty held", epoch=epoch)
                return True
        return False

    def _set_orderable_times(self):
        """Note from when on each host may be ordered.

        Earlier holders gave orders only to hosts with a stored plan. One whose plan
        stands may still be ordered by them until now; one whose plan was dropped or
        carried out was ordered at its last record at the latest.
        """
        pause = self.daemon.site.timing.holder_pause + HOLDER_PAUSE_MARGIN_SECONDS
        self.orderable_at = {
            host: at + pause for host, at in self.fold.last_order_at.items()
        }
        now = boot_time()
        self.orderable_at.update((host, now + pause) for host in self.fold.pending())

    def _is_past_holder_pause(self, host):
        """Tell whether the orders of earlier holders for a host are long past."""
        return boot_time() >= self.orderable_at.get(host, 0.0)

    async def _look_until_lost(self, epoch):
        while self._holds(epoch) and self.appender.fenced is None:
            if self._is_due():
                try:
                    await self._look(epoch)
                except HostFencedError as error:
                    logger.warning("fleet duty overtaken", reason=str(error))
                    return
                except (HostCallError, StoreError) as error:
                    logger.info("fleet duty interrupted", reason=str(error))
            await anyio.sleep(LOOK_SECONDS)

    def _open_waves(self):
        return [
            wave
            for number, wave in sorted(self.daemon.operator.waves.items())
            if not self.fold.progress(number).is_complete
        ]

    def _is_due(self):
        if self.daemon.operator.configuration is None:
            return False
        if self._open_waves() or self.fold.pending():
            return True
        if not self.hosts:
            return True
        now = boot_time()
        self.sizes.record_gaps(self._gaps(), now)
        return self.sizes.is_due(self._gaps(), now)

    def _gaps(self):
        """Return by pool how many hosts it wants beyond those it has."""
        return self.sizes.gaps(
            self.daemon.states_of,
            self.daemon.lag_of,
            self.daemon.operator.configuration.pools_in_use(),
            self.hosts,
            self.fold.pending(),
            time.time(),
        )

    async def _look(self, epoch):
        """Look at the hosts once, plan what is to be emptied, order what is empty."""
        self.hosts = await self.client.list_hosts()
        placed = self.daemon.placed()
        await self._drop_stale_plans()
        # Demand takes its hosts before a wave does, which has time.
        await self._resize(placed)
        for wave in self._open_waves():
            await self._plan_wave(wave, placed)
        await self._carry_out_plans(placed, epoch)
        for wave in self._open_waves():
            await self._finish_wave(wave)

    async def _store(self, records):
        """Store records of the fleet and apply them here."""
        if not records:
            return
        offset = await self.appender.append(records, STORE_PATIENCE_SECONDS)
        for number, (key, value) in enumerate(records):
            self.fold.apply_stored(StoredRecord(key, value, offset + number))

    async def _tell(self, wave, is_complete):
        """Tell the operator of a wave, once for each state."""
        if self.told.get(wave) == is_complete:
            return
        record = self.daemon.service_clients.encode_wave(wave, is_complete)
        await self.status.append([record], STORE_PATIENCE_SECONDS)
        self.told[wave] = is_complete
        logger.info("wave status", wave=wave, complete=is_complete)

    async def _plan_wave(self, wave, placed):
        await self._tell(wave.number, False)
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
                "host to be emptied",
                host=plan.host,
                worker=plan.worker,
                wave=plan.wave,
                pool=plan.pool,
            )

    async def _drop_stale_plans(self):
        """Drop the plans whose worker has ended or whose host is gone."""
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
        """Tell whether a host was to move but did not get empty in time."""
        return plan.wave is None and time.time() > plan.made_at + MOVE_PATIENCE_SECONDS

    async def _resize(self, placed):
        """Plan moves that match the pools to their demand."""
        standby = self.daemon.standby_pools()
        if self.sizes.floor is None:
            pools = self.daemon.operator.configuration.pools_in_use()
            self.sizes.floor = pool_sizes.min_hosts_per_pool(self.hosts, pools, standby)
        now = boot_time()
        gaps = self._gaps()
        self.sizes.record_gaps(gaps, now)
        hosts = {
            name: h
            for name, h in self.hosts.items()
            if self._is_past_holder_pause(name)
        }
        plans = self.sizes.plan_moves(
            gaps, hosts, self.fold.pending(), placed, standby, now, time.time()
        )
        self._log_plans(plans)
        await self._store([fleet_records.encode_record(plan) for plan in plans])

    def _may_order(self, plan, placed):
        """Tell whether a host is empty, or was waited for long enough."""
        host = self.hosts[plan.host]
        if not plan.worker or host.pool in self.daemon.standby_pools():
            return True
        if plan.worker not in self.daemon.vacated(host.pool):
            return False
        runs = placed.get(plan.worker, ())
        if not runs:
            return True
        since = self.vacant_since.setdefault(plan.worker, boot_time())
        if plan.wave is None or boot_time() < since + self._patience(plan):
            return False
        return not any(
            self.daemon.has_unavailability_limit(task_id) for task_id, _ in runs
        )

    def _patience(self, plan):
        """Return how long the tasks of a host are waited for, in seconds."""
        wave = self.daemon.operator.waves.get(plan.wave)
        if wave is None:
            return EMPTY_PATIENCE_SECONDS
        begun = self.sizes.first_seen(("wave", wave.number), boot_time())
        is_late = boot_time() > begun + wave.duration * LAST_WAVE_SHARE
        return EMPTY_PATIENCE_SECONDS / 4 if is_late else EMPTY_PATIENCE_SECONDS

    def _has_turn(self, plan):
        """Tell whether a wave allows one more host to be away."""
        wave = self.daemon.operator.waves.get(plan.wave)
        return wave is None or len(self._hosts_away(wave)) < wave.at_once

    def _hosts_away(self, wave):
        """Return the hosts of a wave that are in maintenance, or may be."""
        recent = boot_time() - (self.daemon.site.timing.maintenance + LOOK_SECONDS)
        away = {
            name
            for name in wave.hosts
            if name in self.hosts and self.hosts[name].phase is HostPhase.MAINTENANCE
        }
        away |= {
            host
            for (host, number), at in self.ordered.items()
            if number == wave.number and at > recent
        }
        return away

    async def _carry_out_plans(self, placed, epoch):
        """Give the orders that are due, then record them together."""
        ordered = []
        try:
            for plan in self.fold.pending().values():
                if self._is_ready(plan, placed) and await self._order(plan, epoch):
                    ordered.append(plan)
        finally:
            await self._note_ordered(ordered)

    def _is_ready(self, plan, placed):
        return (
            plan.host in self.hosts
            and self._is_past_holder_pause(plan.host)
            and boot_time() >= self.busy_until.get(plan.host, 0.0)
            and self._may_order(plan, placed)
            and self._has_turn(plan)
        )

    async def _order(self, plan, epoch):
        """Give the order for one host; return whether it was carried out."""
        if not (self._holds(epoch) and self.member.is_valid):
            return False
        try:
            if plan.wave is not None:
                self.ordered[plan.host, plan.wave] = boot_time()
                await self.client.maintain(plan.host, plan.wave, epoch)
            else:
                await self.client.move(plan.host, plan.pool, epoch)
        except HostBusyError as error:
            self.busy_until[plan.host] = boot_time() + BUSY_PAUSE_SECONDS
            logger.info("host busy", host=plan.host, reason=str(error))
            return False
        self.daemon.metrics.count("host_orders")
        logger.info("host ordered", host=plan.host, wave=plan.wave, pool=plan.pool)
        return True

    async def _note_ordered(self, plans):
        """Record that the orders for hosts were carried out."""
        now = time.time()
        ordered = [attrs.evolve(p, is_ordered=True, closed_at=now) for p in plans]
        records = [fleet_records.encode_record(plan) for plan in ordered]
        for number in sorted({plan.wave for plan in plans if plan.wave is not None}):
            begun = {plan.host for plan in plans if plan.wave == number}
            begun.update(self.fold.progress(number).begun)
            progress = WaveProgress(number, tuple(sorted(begun)))
            records.append(fleet_records.encode_record(progress))
        await self._store(records)

    async def _finish_wave(self, wave):
        """Tell the operator once every host that stays has had its maintenance."""
        progress = self.fold.progress(wave.number)
        now = boot_time()
        for name in wave.hosts:
            if name in progress.begun:
                continue
            if name in self.hosts:
                self.missing_since.pop(name, None)
                return
            if now < self.missing_since.setdefault(name, now) + GONE_SECONDS:
                return
        if self._hosts_away(wave):
            return
        done = WaveProgress(wave.number, progress.begun, True)
        await self._store([fleet_records.encode_record(done)])
        await self._tell(wave.number, True)
