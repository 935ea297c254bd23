"""Keep the jobs of client accounts in one pool to their limits and shares."""

import math

import attrs
import structlog

from azurelanding import account_limits
from azurelanding.account_shares import PoolShares
from azurelanding.ledger import GrantAdopted
from azurelanding.tasks import Resources
from azurelanding.utils import boot_time

logger = structlog.get_logger()

LOG_INTERVAL_SECONDS = 5.0
"""Shortest time between two lines on the limit of one account in one pool."""


class PoolAccounts:
    """What the controller of a pool knows of the client accounts.

    ``daemon`` provides the configuration and the divisions of the accounts' maxima.
    ``seen`` is the version of each account's division that was looked at last,
    ``unknown_since`` the ``boot_time`` at which an account was first not configured,
    ``logged_at`` that of the last line on its limit.
    """

    def __init__(self, pool, daemon):
        self.pool = pool
        self.operator = daemon.operator
        self.configuration_follower = daemon.configuration_follower
        self.divisions = daemon.fleet.divisions
        self.seen = {}
        self.unknown_since = {}
        self.logged_at = {}
        self.metrics = daemon.metrics

    @property
    def configured(self):
        """Return the configured accounts by name, none on a site without accounts."""
        configuration = self.operator.configuration
        return (configuration and configuration.accounts) or {}

    def are_limited(self):
        """Return whether the site has accounts, or had some."""
        return bool(self.configured or self.divisions)

    def adopt(self, draft):
        """Record which divisions this controller keeps to from now on.

        What was granted to this pool before may be granted to others once the record is
        stored, so it is stored together with the starts that are decided next.
        """
        for account, division in self.divisions.items():
            if self.seen.get(account) == division.version:
                continue
            self.seen[account] = division.version
            grant = division.pools.get(self.pool)
            adopted = draft.ledger.adopted.get((self.pool, account), 0)
            if grant is not None and grant.changed > adopted:
                draft.add(GrantAdopted(self.pool, account, grant.changed))

    def _maximum(self, account):
        """Return the configured maximum of an account, ``None`` if it is not known.

        An account that a later look at the configuration doesn't find was dropped. If
        it was never divided either, it had no limit.
        """
        configured = self.configured.get(account)
        if configured is not None:
            self.unknown_since.pop(account, None)
            return configured.maximum
        since = self.unknown_since.setdefault(account, boot_time())
        is_dropped = self.configuration_follower.confirmed_at > since
        is_divided = account in self.divisions
        return Resources() if is_dropped and not is_divided else None

    def task_limit(self, draft, ready):
        """Return how many tasks of a ready step the limit of its account allows."""
        account = ready.state.job.account
        if not account:
            return math.inf
        division, used = self.divisions.get(account), draft.account_usage(account)
        room, names = account_limits.room_in_pool(
            self._maximum(account),
            division,
            self.pool,
            draft.ledger.adopted.get((self.pool, account), 0),
            used,
        )
        limit = account_limits.tasks_within(room, ready.step.need, names)
        if ready.step.gang and limit < len(ready.tasks):
            limit = 0
        if not limit:
            self._log_limit(ready.state.job, division, used)
        return limit

    def _log_limit(self, job, division, used):
        """Log that a job waits for its account's limit, at times for each account."""
        now = boot_time()
        self.metrics.count("tasks_held_by_limit")
        if now < self.logged_at.get(job.account, -math.inf) + LOG_INTERVAL_SECONDS:
            return
        self.logged_at[job.account] = now
        grant = division.pools.get(self.pool) if division else None
        logger.info(
            "job waits for the limit of its account",
            job=job.id,
            account=job.account,
            pool=self.pool,
            version=division.version if division else None,
            granted=attrs.astuple(grant.amount) if grant else None,
            used=attrs.astuple(used),
        )

    def shares(self, draft, capacities):
        """Return the ``PoolShares`` for one pass over the usable workers' capacity."""
        totals = [capacity.total for capacity in capacities] if self.configured else []
        return PoolShares(
            account_limits.add(*totals, Resources()),
            {account.name: account.weight for account in self.configured.values()},
            draft.account_usage,
        )
