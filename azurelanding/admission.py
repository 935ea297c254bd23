"""Queue requests for slots, and refuse at once what can't be run in time."""

import collections
import functools
import math

import anyio
import attrs

from azurelanding.hosts import Host
from azurelanding.idle_slots import IdleSlots, Waiter
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

QUEUE_LIMIT = 4000
QUEUE_BYTES = 64 << 20
TICKET_BYTES = 2 << 10
RETRY_AFTER_SECONDS = 1.0
HOPELESS_FRACTION = 0.5
OTHER_TEAMS = TeamRule("")


@attrs.define(eq=False)
class Ticket:
    """One admitted request on its way to an answer.

    ``attempts`` counts the times that it was handed to a target, ``unresolved_attempts``
    those of which a byte was written and which the target did not refuse.
    ``exchange`` is cancelled to close the connection that runs it;
    ``started_at`` is when it was last given to a slot, ``team`` whose share it
    waits for, and ``tried_hosts`` are the hosts that had it.
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

    def start_writing(self):
        """Tell whether the first byte of an attempt may be written now.

        Asked in the same step as the write, so that a process which was paused
        never writes a request that is answered already or past its deadline.
        """
        late = anyio.current_time() >= self.request.deadline
        if late or self.answer is not None:
            return False
        self.unresolved_attempts += 1
        return True

    @functools.cached_property
    def size(self):
        """Return about how many bytes the ticket holds while it waits."""
        headers = self.request.headers
        return (
            TICKET_BYTES
            + len(self.request.body)
            + sum(len(name) + len(value) for name, value in headers)
        )

    def reply(self, answer):
        """Set the answer, once; a later one is dropped.

        A request that may have run is never answered as not run.
        """
        if self.answer is not None:
            return
        if answer.outcome is Outcome.NOT_RUN and self.unresolved_attempts:
            answer = unknown(answer.target)
        self.answer = answer
        self.done.set()

    def cancel_exchange(self):
        """Close the connection that runs the request, if one does."""
        if self.exchange is not None:
            self.exchange.cancel()


def expected_wait(service, team_name, share, now):
    """Return the seconds until a request queued now would start.

    The service is taken to keep the slots it holds, or its floor if that is
    more, and its team its share among the teams that wait.
    """
    home = service.pools[0]
    if home.free or any(
        pool.free and may_lend(pool, service, now) for pool in service.pools[1:]
    ):
        return 0.0
    slots = max(service.slots, service.rule.floor * home.slots)
    if not slots and not any(pool.held for pool in service.pools):
        return math.inf
    if not slots or service.run_time.mean is None:
        return 0.0
    waiting = service.waiting
    team_ahead = waiting.waiting_of(team_name) + 1
    ahead = min(team_ahead / waiting.share_of(team_name, share), len(waiting) + 1)
    return ahead * service.run_time.mean / slots


def is_hopeless(ticket, run_time, now):
    """Tell whether a ticket has waited too long to still be run in time.

    One that has used less than half of its time is given its chance, and so are
    all while no ``run_time`` has been observed.
    """
    if run_time.mean is None:
        return False
    request = ticket.request
    left = request.deadline - now
    allowed = request.deadline - request.received_at
    return left < min(run_time.high, HOPELESS_FRACTION * allowed)


class Queues:
    """The requests that wait at this entry and the free slots that pull them.

    There is a queue for each service and team; a service has one urgency.
    ``pick(pool, now)`` decides which service a free slot runs next.

    No ticket waits that a free slot would take: ``_serve`` restores this after
    each change.
    """

    def __init__(self, pick=pick_fair):
        self.pick = pick
        self.services = {}
        self.pools = {}
        self.idle = collections.defaultdict(IdleSlots)
        self.rules = RuleSet()
        self.waiting_bytes = 0

    def update(self, rules, held, now):
        """Follow ``rules`` and lend what has become free to lend.

        ``held`` counts, by pool, the slots that this entry may use, connected or
        not. A service that was removed keeps its queue until that is empty.
        """
        if rules is not self.rules:
            self.rules = rules
            for rule in rules.services.values():
                self._service(rule).rule = rule
            self._drop_unused()
            self._link()
        for pool in self.pools.values():
            pool.held = held.get(pool.name, 0)
            self._serve(pool, now)

    def _drop_unused(self):
        for name, service in list(self.services.items()):
            service.waiting.forget_idle()
            if name not in self.rules.services and not service.is_active:
                del self.services[name]

    def _service(self, rule):
        service = self.services.get(rule.name)
        if service is None:
            service = self.services[rule.name] = ServiceQueue(rule)
            self._link()
        return service

    def _pool(self, name):
        pool = self.pools.get(name)
        if pool is None:
            pool = self.pools[name] = PoolSlots(name)
        return pool

    def _link(self):
        """Tell services and pools of each other."""
        for service in self.services.values():
            rule = service.rule
            names = dict.fromkeys((rule.pool, *rule.borrows))
            service.pools = [self._pool(name) for name in names]
        for pool in self.pools.values():
            users = [s for s in self.services.values() if pool in s.pools]
            pool.owners = [s for s in users if s.pools[0] is pool]
            pool.borrowers = [s for s in users if s.pools[0] is not pool]

    def _team(self, ticket):
        """Return the rule of the ticket's team; undeclared teams share one."""
        return self.rules.teams.get(ticket.request.team, OTHER_TEAMS)

    def submit(self, ticket):
        """Queue ``ticket``, or return the refusal that says why it can't run."""
        now = anyio.current_time()
        service = self._service(ticket.rule)
        refusal = self._check_room(ticket, service)
        if refusal is None:
            refusal = self._check_deadline(ticket, service, now)
        if refusal is None:
            self._push(ticket, service, now)
        return refusal

    def _check_room(self, ticket, service):
        """Refuse a ticket of a queue that has more than is left for all others.

        One flood so fills half of the room, a second half of the rest; likewise
        one team half of its service's queue.
        """
        waiting = service.waiting
        team_waiting = waiting.waiting_of(self._team(ticket).name)
        room = QUEUE_BYTES - self.waiting_bytes
        if (
            team_waiting < QUEUE_LIMIT - len(waiting)
            and service.waiting_bytes + ticket.size <= room
        ):
            return None
        seconds = len(waiting) * (service.run_time.mean or 0.0)
        retry_after = seconds / max(1, service.slots)
        return refuse(RefusalReason.QUEUE_FULL, max(RETRY_AFTER_SECONDS, retry_after))

    def _check_deadline(self, ticket, service, now):
        team = self._team(ticket)
        wait = expected_wait(service, team.name, team.share, now)
        if wait == math.inf:
            return refuse(RefusalReason.NO_TARGET, RETRY_AFTER_SECONDS)
        if not wait:
            return None
        late = wait + service.run_time.high - (ticket.request.deadline - now)
        if late <= 0.0:
            return None
        return refuse(RefusalReason.DEADLINE, max(RETRY_AFTER_SECONDS, late))

    def retry_after(self, ticket):
        """Return the seconds until the queue would take a request like this one."""
        service = self._service(ticket.rule)
        team = self._team(ticket)
        now = anyio.current_time()
        allowed = ticket.request.deadline - ticket.request.received_at
        wait = expected_wait(service, team.name, team.share, now)
        late = wait + service.run_time.high - allowed
        return max(RETRY_AFTER_SECONDS, late if math.isfinite(late) else 0.0)

    def _push(self, ticket, service, now, front=False):
        team = self._team(ticket)
        ticket.team = team.name
        service.waiting.push(ticket, team.name, team.share, front)
        self._count_bytes(service, ticket.size)
        service.pools[0].note_need(now)
        for pool in service.pools:
            if service.waiting:
                self._serve(pool, now)

    def _count_bytes(self, service, amount):
        service.waiting_bytes += amount
        self.waiting_bytes += amount

    def charge_retry(self, ticket, limit):
        """Tell whether the ticket gets another attempt, and pay for it.

        It has at most ``limit`` attempts, and its service a budget for retries.
        An attempt that reached no target needs no payment.
        """
        if not ticket.attempts:
            return True
        budget = self._service(ticket.rule).retries
        return ticket.attempts < limit and budget.spend()

    def requeue(self, ticket):
        """Queue ``ticket`` again, ahead of the others, after a failed attempt."""
        service = self._service(ticket.rule)
        self._push(ticket, service, anyio.current_time(), front=True)

    def withdraw(self, ticket):
        """Take ``ticket`` out; return whether it was still waiting."""
        service = self._service(ticket.rule)
        removed = service.waiting.remove(ticket, ticket.team)
        if removed:
            self._count_bytes(service, -ticket.size)
        return removed

    def _serve(self, pool, now):
        """Hand waiting tickets to free slots of ``pool``."""
        while pool.free:
            ticket = self._next(pool, now)
            if ticket is None:
                return
            pool.free -= 1
            self.idle[pool.name].pop(ticket.tried_hosts).give(ticket)

    def _next(self, pool, now):
        """Return the next ticket for a free slot, counted as run; or ``None``."""
        while (service := self.pick(pool, now)) is not None:
            ticket = service.waiting.pop(service.run_time.mean or 0.0)
            self._count_bytes(service, -ticket.size)
            if is_hopeless(ticket, service.run_time, now):
                retry_after = self.retry_after(ticket)
                ticket.reply(refuse(RefusalReason.DEADLINE, retry_after))
                continue
            ticket.started_at = now
            if not ticket.attempts:
                service.retries.note_first_attempt()
            service.add_use(pool.name, 1)
            pool.busy += 1
            return ticket
        return None

    async def take(self, pool_name, same_zone=True, host=None):
        """Return the next ticket for a free slot of ``pool_name`` on ``host``.

        Slots that are ``same_zone``, in this entry's own zone, get work first. Each
        ticket taken must be given to ``finish`` after its run.
        """
        pool = self._pool(pool_name)
        pool.free += 1
        ticket = self._next(pool, anyio.current_time())
        if ticket is not None:
            pool.free -= 1
            return ticket
        waiter = Waiter(host)
        self.idle[pool_name].add(waiter, same_zone)
        try:
            await waiter.event.wait()
        except BaseException:
            self._leave(pool, waiter)
            raise
        return waiter.ticket

    def _leave(self, pool, waiter):
        """Take a cancelled slot out; a ticket already given to it waits again."""
        if waiter.ticket is None:
            self.idle[pool.name].discard(waiter)
            pool.free -= 1
        else:
            self.finish(pool.name, waiter.ticket)
            self.requeue(waiter.ticket)

    def finish(self, pool_name, ticket):
        """Count the slot that had ``ticket`` as free again."""
        now = anyio.current_time()
        service = self._service(ticket.rule)
        pool = self._pool(pool_name)
        pool.note_need(now)
        pool.busy -= 1
        service.add_use(pool_name, -1)
        answer = ticket.answer
        if answer is not None and answer.outcome is Outcome.RAN:
            service.run_time.observe(now - ticket.started_at)
            service.waiting.note_run_time(ticket.team, now - ticket.started_at)

    def depth(self):
        """Return how many requests wait, by the pool of their service."""
        depths = collections.Counter()
        for service in self.services.values():
            depths[service.rule.pool] += len(service.waiting)
        return {name: depth for name, depth in depths.items() if depth}

    def wants(self):
        """Return, by pool, how many slots its own services want, busy ones too."""
        wants = collections.Counter()
        for service in self.services.values():
            wants[service.rule.pool] += len(service.waiting) + service.slots
        return {name: float(slots) for name, slots in wants.items() if slots}

    def demands(self):
        """Return, by pool, how many slots the present work could fill."""
        demands = {}
        for name, pool in self.pools.items():
            users = pool.owners + pool.borrowers
            wanted = pool.busy + sum(len(service.waiting) for service in users)
            if wanted:
                demands[name] = float(wanted)
        return demands
