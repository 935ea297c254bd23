"""Divide the maxima of the client accounts among the pools, one daemon at a time.

The daemon that holds the role of the fleet controller divides. It reads what each
account runs, and what waits, from the streams of the pools, and stores the divisions in
the fleet's stream, from where the controllers of the pools adopt them.
"""

import time

import anyio
import anyio.lowlevel
import attrs
import structlog

from azurelanding import account_limits
from azurelanding.account_limits import PoolDemand
from azurelanding.appender import Appender, NotStoredError, OutcomeUnknownError
from azurelanding.fleet_controller import TOPIC
from azurelanding.fleet_records import encode_record
from azurelanding.store import Producer, StoreError, stored_records
from azurelanding.tasks import Resources

logger = structlog.get_logger()

PASS_INTERVAL_SECONDS = 0.1
"""Time between two looks at the demand; divisions follow it within a second."""
APPEND_TIMEOUT_SECONDS = 5.0
CLOSE_SECONDS = 1.0


def pool_demands(ledger, pool, now):
    """Return the ``PoolDemand`` of each account that runs or waits in a pool.

    ``now`` is in seconds since the epoch.
    """
    jobs = ledger.jobs_of(pool)
    waiting = {}
    for states in jobs.startable.values():
        for state in states.values():
            if state.job.account:
                waiting.setdefault(state.job.account, {})[state.job.id] = state
    demands = {}
    for account in waiting.keys() | jobs.accounts.keys():
        usage = jobs.accounts.get(account)
        used = Resources() if usage is None else usage.resources()
        needs, largest, since = [], Resources(), float("inf")
        for state in waiting.get(account, {}).values():
            progress, due_count = state.progress, state.job.count_due(now)
            for number in () if state.is_over else progress.open_numbers():
                step = state.job.steps[number]
                count = progress.count_open_waiting(number, 0, due_count)
                if not count:
                    continue
                unit = step.count if step.gang else 1
                needs.append(account_limits.scale(step.need, count))
                largest = account_limits.combine(
                    max, largest, account_limits.scale(step.need, unit)
                )
                since = min(since, state.job.submitted_at)
        total = account_limits.add(*needs, Resources())
        demands[account] = PoolDemand(used, total, largest, since)
    return demands


@attrs.frozen
class PoolView:
    """What the divider sees of one pool, all as of one state of its ledger.

    ``demands`` and ``adopted`` map accounts to the ``PoolDemand`` and to the version
    that the pool's controller keeps to. What ran before an adoption is seen with it.
    """

    read_until: int | None
    demands: dict[str, PoolDemand]
    adopted: dict[str, int]


class AccountDivider:
    """Divides the accounts' maxima while this daemon holds the fleet's role.

    ``daemon`` provides the streams, the fleet's state and the configuration.
    ``views`` holds the last ``PoolView`` of each pool.
    """

    def __init__(self, daemon):
        self.daemon = daemon
        self.member = daemon.fleet_member
        self.fold = daemon.fleet
        self.metrics = daemon.metrics
        self.views = {}
        self.appender = None

    def _limited_accounts(self):
        """Return the maxima to divide by account.

        An account that the configuration dropped keeps its last maximum.
        """
        configuration = self.daemon.operator.configuration
        if configuration is None or configuration.accounts is None:
            return {}
        maxima = {
            name: division.maximum for name, division in self.fold.divisions.items()
        }
        maxima.update((a.name, a.maximum) for a in configuration.accounts.values())
        return {
            name: maximum
            for name, maximum in maxima.items()
            if account_limits.limited_fields(maximum)
        }

    async def run(self):
        """Divide whenever the store assigns the fleet's role, until cancelled."""
        while True:
            epoch = self.member.epoch_of(TOPIC, 0)
            if epoch is None or not self._limited_accounts():
                await anyio.sleep(PASS_INTERVAL_SECONDS)
                continue
            await self._divide_under(epoch)
            await anyio.sleep(PASS_INTERVAL_SECONDS)

    async def _divide_under(self, epoch):
        """Divide under ``epoch`` until the role is lost, or another divider begins.

        The role is given up then: under the same epoch the store would take the next
        divisions for repeats of earlier ones.
        """
        store = self.daemon.service_clients.make_store()
        self.appender = Appender(TOPIC, 0, store, Producer("accounts", epoch))
        try:
            async with anyio.create_task_group() as task_group:
                if await self._take_over(epoch):
                    task_group.start_soon(self.appender.run)
                    await self._divide_until_lost(epoch)
                task_group.cancel_scope.cancel()
        finally:
            self.member.drop_holding(TOPIC, 0)
            with anyio.CancelScope(shield=True), anyio.move_on_after(CLOSE_SECONDS):
                await self.appender.close()

    def _is_divider(self, epoch):
        is_holder = self.member.epoch_of(TOPIC, 0) == epoch and self.member.is_valid
        return is_holder and self.appender.fenced is None

    async def _take_over(self, epoch):
        """Fence earlier dividers, then read all that they have stored and read."""
        while self._is_divider(epoch):
            try:
                await self.appender.client.append(
                    TOPIC, 0, (), self.appender.producer, 0
                )
                await self.daemon.fleet_follower.refresh()
                for stream in list(self.daemon.streams.values()):
                    await stream.follower.refresh()
                    await stream.fold_all()
            except StoreError as error:
                logger.info("division of limits delayed", reason=str(error))
                await anyio.sleep(PASS_INTERVAL_SECONDS)
            else:
                self.views = {}
                logger.info("division of limits taken over", epoch=epoch)
                return True
        return False

    async def _divide_until_lost(self, epoch):
        while self._is_divider(epoch):
            divisions = await self._next_divisions()
            if divisions and not await self._store(divisions):
                return
            await anyio.sleep(PASS_INTERVAL_SECONDS)
        logger.info("division of limits lost", epoch=epoch)

    def _pools(self):
        """Return the ledger of each pool that may run jobs of accounts, by name.

        These are the pools of keyed queues, and others with jobs that have not ended.
        """
        configuration = self.daemon.operator.configuration
        pools = {q.pool for q in configuration.queues if not q.is_public}
        ledgers = {pool: self.daemon.stream_of(pool).ledger for pool in pools}
        for stream in self.daemon.streams.values():
            for pool, jobs in stream.ledger.pools.items():
                if jobs.accounts:
                    ledgers[pool] = stream.ledger
        return ledgers

    def view_of(self, pool, ledger):
        """Return the ``PoolView`` of a pool, a new one once its stream has grown."""
        read_until = self.daemon.stream_of(pool).follower.next_offset
        view = self.views.get(pool)
        if view is None or view.read_until != read_until:
            view = self.views[pool] = PoolView(
                read_until,
                pool_demands(ledger, pool, time.time()),
                {a: version for (p, a), version in ledger.adopted.items() if p == pool},
            )
        return view

    async def _next_divisions(self):
        """Return the divisions that change now; other tasks run between accounts."""
        ledgers = self._pools()
        views = {pool: self.view_of(pool, ledgers[pool]) for pool in ledgers}
        divisions = []
        for account, maximum in self._limited_accounts().items():
            known = self.fold.divisions.get(account)
            demands = {
                pool: view.demands.get(account, account_limits.NO_DEMAND)
                for pool, view in views.items()
            }
            adopted = {p: view.adopted.get(account, 0) for p, view in views.items()}
            following = account_limits.divide(account, maximum, known, demands, adopted)
            if following is not None:
                divisions.append(following)
            self._measure(account, maximum, demands.values())
            await anyio.lowlevel.checkpoint()
        return divisions

    def _measure(self, account, maximum, demands):
        """Set the gauges of one account; ``demands`` are those of the pools."""
        for name, amounts in (
            ("maximum", [maximum]),
            ("running", [demand.used for demand in demands]),
            ("waiting", [demand.waiting for demand in demands]),
        ):
            cores = sum(amount.cores for amount in amounts)
            self.metrics.gauge(f"account_{name}_cores_{account}", cores)

    async def _store(self, divisions):
        """Store divisions and apply them; return whether to go on dividing.

        A later division must not be based on an earlier one whose outcome isn't known.
        """
        records = [encode_record(division) for division in divisions]
        try:
            offset = await self.appender.append(records, APPEND_TIMEOUT_SECONDS)
        except NotStoredError as error:
            logger.info("division not stored", reason=str(error))
            return True
        except OutcomeUnknownError as error:
            logger.warning("division may be stored", reason=str(error))
            return False
        self.daemon.fleet_follower.apply(stored_records(records, offset))
        for division in divisions:
            self._log(division)
        return True

    def _log(self, division):
        self.metrics.count("account_divisions")
        for pool, grant in division.pools.items():
            name = f"account_granted_cores_{division.account}_{pool}"
            self.metrics.gauge(name, grant.amount.cores)
        logger.info(
            "limit divided",
            account=division.account,
            version=division.version,
            maximum=division.maximum.cores,
            cores={
                pool: round(g.amount.cores, 1) for pool, g in division.pools.items()
            },
        )
