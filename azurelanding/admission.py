"""Queue requests for slots and refuse those that can't run before their deadline."""

import collections
import functools
import math

import anyio
import attrs

from azurelanding.hosts import Host
from azurelanding.idle_slots import IdleSlots, WaitingSlot
from azurelanding.lending import PoolSlots, ServiceQueue, may_lend, pick_fair
from azurelanding.requests import (
    Answer,
    Outcome,
    RefusalReason,
    Request,
    refuse,
    unknown,
)
from azurelanding.rules import RuleSet, ServiceRule, TeamRule

MAX_QUEUED_REQUESTS = 4000
MAX_QUEUED_BYTES = 64 << 20
TICKET_OVERHEAD_BYTES = 2 << 10
MIN_RETRY_AFTER_SECONDS = 1.0
LIKELY_LATE_FRACTION = 0.5
UNDECLARED_TEAM = TeamRule("")


@attrs.define(eq=False)
class Ticket:
    """An admitted request and the state of its execution.

    ``attempts`` counts how often it was assigned to a target. ``unresolved_attempts``
    counts the attempts that may have run: a byte was written and the target did
    not refuse the request. Cancelling ``exchange`` closes the connection that runs
    the request. ``started_at`` is when it was last assigned to a slot, in seconds of
    the monotonic clock. ``team`` is the team that it is queued for, and ``tried_hosts``
    lists the hosts of earlier attempts.
    """

    request: Request
    rule: ServiceRule
    attempts: int = 0
    unresolved_attempts: int = 0
    answer: Answer | None = None
    started_at: float | None = None
    team: str = ""
    tried_hosts: list[Host] = attrs.field(factory=list)
    done: anyio.Event = attrs.field(factory=anyio.Event)
    exchange: anyio.CancelScope | None = None

    def try_start_writing(self):
        """Return whether the first byte of an attempt may be written now.

        Call it without a suspension point before the write, so that a process
        resumed after a pause never writes a request that is already answered or
        past its deadline. On success the attempt counts as one that may have run.
        """
        late = anyio.current_time() >= self.request.deadline
        if late or self.answer is not None:
            return False
        self.unresolved_attempts += 1
        return True

    @functools.cached_property
    def size(self):
        """Return the approximate memory in bytes of the ticket while it is queued."""
        headers = self.request.headers
        return (
            TICKET_OVERHEAD_BYTES
            + len(self.request.body)
            + sum(len(name) + len(value) for name, value in headers)
        )

    def reply(self, answer):
        """Set the answer; only the first one counts.

        A request that may have run is never answered as not run: its outcome
        becomes unknown.
        """
        if self.answer is not None:
            return
        if answer.outcome is Outcome.NOT_RUN and self.unresolved_attempts:
            answer = unknown(answer.target)
        self.answer = answer
        self.done.set()

    def cancel_exchange(self):
        """Close the connection that currently runs the request, if any."""
        if self.exchange is not None:
            self.exchange.cancel()


def expected_wait(service, team_name, share, now):
    """Estimate the seconds until a request queued now would start.

    Assumes that the service keeps the slots it holds, or its floor if that is
    more, and that its team gets its share among the waiting teams. The result is
    infinite when the service has no slots and no pool that it may use holds any.
    """
    own_pool = service.pools[0]
    if own_pool.free or any(
        pool.free and may_lend(pool, service, now) for pool in service.pools[1:]
    ):
        return 0.0
    slots = max(service.slots, service.rule.floor * own_pool.slots)
    if not slots and not any(pool.held for pool in service.pools):
        return math.inf
    if not slots or service.run_time.mean is None:
        return 0.0
    waiting = service.waiting
    team_ahead = waiting.waiting_count(team_name) + 1
    ahead = min(team_ahead / waiting.slot_fraction(team_name, share), len(waiting) + 1)
    return ahead * service.run_time.mean / slots


def is_likely_late(ticket, run_time, now):
    """Return whether a ticket has too little time left to finish by its deadline.

    A ticket that has used less than half of its time is always tried, and so is
    every ticket while no ``run_time`` has been observed.
    """
    if run_time.mean is None:
        return False
    request = ticket.request
    time_left = request.deadline - now
    time_allowed = request.deadline - request.received_at
    return time_left < min(run_time.high, LIKELY_LATE_FRACTION * time_allowed)


class Queues:
    """The requests queued at this entry and the free slots that can run them.

    Each service has a queue for each of its teams. ``pick(pool, now)`` selects the
    service whose request a free slot runs next, or ``None``.

    Invariant: no ticket is queued while a free slot could run it.
    ``_assign_free_slots`` restores this after each change.
    """

    def __init__(self, pick=pick_fair):
        self.pick = pick
        self.services = {}
        self.pools = {}
        self.idle = collections.defaultdict(IdleSlots)
        self.rules = RuleSet()
        self.waiting_bytes = 0

    def update(self, rules, held, now):
        """Apply ``rules`` and assign slots that have become available.

        ``held`` maps each pool to the number of slots that this entry may use,
        connected or not. A service that was removed from the rules is kept until
        its queue is empty and it holds no slots.
        """
        if rules is not self.rules:
            self.rules = rules
            for rule in rules.services.values():
                self._service(rule).rule = rule
            self._drop_removed_services()
            self._link_services_and_pools()
        for pool in self.pools.values():
            pool.held = held.get(pool.name, 0)
            self._assign_free_slots(pool, now)

    def _drop_removed_services(self):
        for name, service in list(self.services.items()):
            service.waiting.drop_idle_teams()
            if name not in self.rules.services and not service.is_active:
                del self.services[name]

    def _service(self, rule):
        service = self.services.get(rule.name)
        if service is None:
            service = self.services[rule.name] = ServiceQueue(rule)
            self._link_services_and_pools()
        return service

    def _pool(self, name):
        pool = self.pools.get(name)
        if pool is None:
            pool = self.pools[name] = PoolSlots(name)
        return pool

    def _link_services_and_pools(self):
        """Set the pools of each service and the services of each pool."""
        for service in self.services.values():
            rule = service.rule
            names = dict.fromkeys((rule.pool, *rule.borrows))
            service.pools = [self._pool(name) for name in names]
        for pool in self.pools.values():
            users = [s for s in self.services.values() if pool in s.pools]
            pool.owners = [s for s in users if s.pools[0] is pool]
            pool.borrowers = [s for s in users if s.pools[0] is not pool]

    def _team(self, ticket):
        """Return the rule of the ticket's team; undeclared teams share one rule."""
        return self.rules.teams.get(ticket.request.team, UNDECLARED_TEAM)

    def submit(self, ticket):
        """Queue ``ticket``; return ``None``, or the refusal if it was not queued."""
        now = anyio.current_time()
        service = self._service(ticket.rule)
        refusal = self._check_queue_limits(ticket, service)
        if refusal is None:
            refusal = self._check_deadline(ticket, service, now)
        if refusal is None:
            self._enqueue(ticket, service, now)
        return refusal

    def _check_queue_limits(self, ticket, service):
        """Return a refusal if the ticket's queue already uses too much, else ``None``.

        A service may use at most as many bytes as are left for all services, and a
        team at most as many queue places as are left in its service's queue. A
        flood of one service therefore fills half of the memory, a second flood
        half of the remainder; a flood of one team fills half of its service's queue.
        """
        waiting = service.waiting
        team_waiting = waiting.waiting_count(self._team(ticket).name)
        bytes_left = MAX_QUEUED_BYTES - self.waiting_bytes
        if (
            team_waiting < MAX_QUEUED_REQUESTS - len(waiting)
            and service.waiting_bytes + ticket.size <= bytes_left
        ):
            return None
        seconds = len(waiting) * (service.run_time.mean or 0.0)
        retry_after = seconds / max(1, service.slots)
        return refuse(
            RefusalReason.QUEUE_FULL, max(MIN_RETRY_AFTER_SECONDS, retry_after)
        )

    def _check_deadline(self, ticket, service, now):
        team = self._team(ticket)
        wait = expected_wait(service, team.name, team.share, now)
        if wait == math.inf:
            return refuse(RefusalReason.NO_TARGET, MIN_RETRY_AFTER_SECONDS)
        if not wait:
            return None
        late = wait + service.run_time.high - (ticket.request.deadline - now)
        if late <= 0.0:
            return None
        return refuse(RefusalReason.DEADLINE, max(MIN_RETRY_AFTER_SECONDS, late))

    def retry_after(self, ticket):
        """Return the seconds after which a request like this one would be admitted."""
        service = self._service(ticket.rule)
        team = self._team(ticket)
        now = anyio.current_time()
        time_allowed = ticket.request.deadline - ticket.request.received_at
        wait = expected_wait(service, team.name, team.share, now)
        late = wait + service.run_time.high - time_allowed
        return max(MIN_RETRY_AFTER_SECONDS, late if math.isfinite(late) else 0.0)

    def _enqueue(self, ticket, service, now, front=False):
        team = self._team(ticket)
        ticket.team = team.name
        service.waiting.push(ticket, team.name, team.share, front)
        self._add_waiting_bytes(service, ticket.size)
        service.pools[0].record_owner_need(now)
        for pool in service.pools:
            if service.waiting:
                self._assign_free_slots(pool, now)

    def _add_waiting_bytes(self, service, amount):
        service.waiting_bytes += amount
        self.waiting_bytes += amount

    def charge_retry(self, ticket, limit):
        """Charge the retry budget; return whether the ticket gets another attempt.

        A ticket has at most ``limit`` attempts, and its service a budget for
        retries. A ticket that was not yet assigned to a target is not charged.
        """
        if not ticket.attempts:
            return True
        budget = self._service(ticket.rule).retries
        return ticket.attempts < limit and budget.spend()

    def requeue(self, ticket):
        """Queue ``ticket`` again at the front of its team's queue."""
        service = self._service(ticket.rule)
        self._enqueue(ticket, service, anyio.current_time(), front=True)

    def withdraw(self, ticket):
        """Remove ``ticket`` from its queue; return whether it was still queued."""
        service = self._service(ticket.rule)
        removed = service.waiting.remove(ticket, ticket.team)
        if removed:
            self._add_waiting_bytes(service, -ticket.size)
        return removed

    def _assign_free_slots(self, pool, now):
        """Assign queued tickets to the free slots of ``pool``."""
        while pool.free:
            ticket = self._pop_runnable(pool, now)
            if ticket is None:
                return
            pool.free -= 1
            self.idle[pool.name].pop(ticket.tried_hosts).assign(ticket)

    def _pop_runnable(self, pool, now):
        """Remove and return the next ticket for a free slot, or return ``None``.

        The ticket is counted as running. Tickets that can no longer finish by
        their deadline are refused on the way.
        """
        while (service := self.pick(pool, now)) is not None:
            ticket = service.waiting.pop(service.run_time.mean or 0.0)
            self._add_waiting_bytes(service, -ticket.size)
            if is_likely_late(ticket, service.run_time, now):
                retry_after = self.retry_after(ticket)
                ticket.reply(refuse(RefusalReason.DEADLINE, retry_after))
                continue
            ticket.started_at = now
            if not ticket.attempts:
                service.retries.credit_first_attempt()
            service.add_slots_in_use(pool.name, 1)
            pool.busy += 1
            return ticket
        return None

    async def take(self, pool_name, same_zone=True, host=None):
        """Wait for and return the next ticket for a free slot of ``pool_name``.

        ``host`` is the slot's executor. Slots that are ``same_zone``, in this entry's
        own zone, get work first. The caller must pass each ticket to ``finish``
        after its run.
        """
        pool = self._pool(pool_name)
        pool.free += 1
        ticket = self._pop_runnable(pool, anyio.current_time())
        if ticket is not None:
            pool.free -= 1
            return ticket
        slot = WaitingSlot(host)
        self.idle[pool_name].add(slot, same_zone)
        try:
            await slot.event.wait()
        except BaseException:
            self._cancel_take(pool, slot)
            raise
        return slot.ticket

    def _cancel_take(self, pool, slot):
        """Remove a cancelled slot; a ticket already assigned to it is queued again."""
        if slot.ticket is None:
            self.idle[pool.name].discard(slot)
            pool.free -= 1
        else:
            self.finish(pool.name, slot.ticket)
            self.requeue(slot.ticket)

    def finish(self, pool_name, ticket):
        """Release the slot that ran ``ticket`` and record the run time."""
        now = anyio.current_time()
        service = self._service(ticket.rule)
        pool = self._pool(pool_name)
        pool.record_owner_need(now)
        pool.busy -= 1
        service.add_slots_in_use(pool_name, -1)
        answer = ticket.answer
        if answer is not None and answer.outcome is Outcome.RAN:
            service.run_time.observe(now - ticket.started_at)
            service.waiting.record_run_time(ticket.team, now - ticket.started_at)

    def depth(self):
        """Return the number of queued requests by their service's own pool."""
        depths = collections.Counter()
        for service in self.services.values():
            depths[service.rule.pool] += len(service.waiting)
        return {name: depth for name, depth in depths.items() if depth}

    def wants(self):
        """Return how many slots each pool's own services want, busy ones included."""
        wants = collections.Counter()
        for service in self.services.values():
            wants[service.rule.pool] += len(service.waiting) + service.slots
        return {name: float(slots) for name, slots in wants.items() if slots}

    def demands(self):
        """Return how many slots of each pool the running and queued work could fill."""
        demands = {}
        for name, pool in self.pools.items():
            users = pool.owners + pool.borrowers
            wanted = pool.busy + sum(len(service.waiting) for service in users)
            if wanted:
                demands[name] = float(wanted)
        return demands
