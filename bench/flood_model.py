"""Run one flood against a policy, with stand-in executors, in one process.

The entries' queues, admission, slot shares and registries are those of the
daemon; HTTP and connections are left out. Requests hold their slot for their run
time and the delay between availability zones, in real time. ``bench.flood`` runs
several of these side by side and judges them.
"""

import collections
import pathlib
import random
import sys

import anyio
import attrs
import msgspec

from azurelanding import dispatch, lending
from azurelanding.admission import Queues
from azurelanding.entries.members import PeerStatus
from azurelanding.entries.wire import Status
from azurelanding.hosts import Host, HostKind
from azurelanding.requests import Answer, Outcome, Request
from azurelanding.rules import RuleSet
from azurelanding.rules_parser import read_rules
from azurelanding.settings import Settings, TargetsSettings
from azurelanding.shares import SlotShares
from azurelanding.targets.registry import TargetRegistry
from bench.flood_scenarios import (
    AFTER_FLOOD_FACTOR,
    FLOOD_FACTOR,
    FLOOD_SECONDS,
    OFFERED_LOAD,
    POLICIES,
    RUN_TIME_SIGMA,
    SITES,
    SLOTS,
    TAIL_SECONDS,
    WARM_UP_SECONDS,
    Result,
    Scenario,
    ServiceResult,
)

ENTRIES = 6
UPDATE_SECONDS = 0.25
EXCHANGE_SECONDS = 0.5
SAMPLE_SECONDS = 0.01
SETTLE_SECONDS = 3.0
BUILD_UP_SECONDS = 0.5


class StandIn:
    """An executor that only counts what it is offered at once."""

    def __init__(self):
        self.offered = 0

    async def run(self, seconds):
        """Run one request for ``seconds``."""
        self.offered += 1
        try:
            await anyio.sleep(seconds)
        finally:
            self.offered -= 1


def make_serve(executors, zone, zone_delay):
    """Return the function that runs requests on one slot of a stand-in."""

    async def take(slot, queues):
        ticket = None
        with anyio.CancelScope() as slot.waiting:
            ticket = await queues.take(slot.pool, slot.same_zone)
        slot.waiting = None
        return ticket

    async def serve(slot, queues, _settings):
        delay = 0.0 if slot.host.zone == zone else zone_delay
        while not slot.leaving:
            ticket = await take(slot, queues)
            if ticket is None:
                return
            slot.busy = True
            await anyio.sleep(delay)
            await executors[slot.host.name].run(float(ticket.request.path))
            await anyio.sleep(delay)
            ticket.reply(Answer(Outcome.RAN, 200, target=slot.host.name))
            slot.busy = False
            queues.finish(slot.pool, ticket)

    return serve


class ModelEntry:
    """The deciding parts of one entry."""

    def __init__(self, name, zone, policy, executors, zone_delay):
        settings = Settings(name, zone)
        entries = attrs.evolve(settings.entries, fellows=("127.0.0.1:1",))
        settings = attrs.evolve(settings, entries=entries)
        self.name = name
        self.policy = policy
        self.queues = Queues(policy.pick)
        self.shares = SlotShares.from_config(settings)
        self.peer_statuses = {}
        self.registry = TargetRegistry(
            self.queues,
            TargetsSettings(),
            zone if policy.own_zone_first else None,
            make_serve(executors, zone, zone_delay),
        )

    def status(self):
        """Return what the entry tells its fellows."""
        reported_demands = (
            {} if self.policy.equal_shares else self.shares.reported_demands
        )
        releasing = self.registry.releasing()
        return Status(
            *(self.name, "", "entry", "", "", 0, 0),
            demands=dict(reported_demands),
            releasing=releasing,
        )

    def update(self, rules, pools, hosts):
        """Follow demand as the daemon does."""
        now = anyio.current_time()
        demands = {} if self.policy.equal_shares else self.queues.demands()
        self.shares.report(demands, now)
        mine = self.shares.update(pools, self.peer_statuses, now)
        held = collections.Counter()
        for target, pool in pools.items():
            held[pool] += mine[target]
        self.queues.update(rules, held, now)
        self.registry.update(pools, hosts, mine.__getitem__)

    async def run(self, rules, pools, hosts):
        """Update until cancelled."""
        while True:
            self.update(rules, pools, hosts)
            await anyio.sleep(UPDATE_SECONDS)


async def exchange(mine, fellow, phase, delay):
    """Tell ``fellow`` of ``mine`` once a period, as daemons do."""
    await anyio.sleep(phase)
    while True:
        status = mine.status()
        await anyio.sleep(delay)
        fellow.peer_statuses[mine.name] = PeerStatus(status, anyio.current_time())
        await anyio.sleep(EXCHANGE_SECONDS)


class Model:
    """One site under one policy and one flood."""

    def __init__(self, scenario):
        self.scenario = scenario
        self.size = SITES[scenario.site]
        self.policy = POLICIES[scenario.policy]
        if self.policy.lend_all:
            lending.may_lend = lambda _pool, _borrower, _now: True
        text = pathlib.Path(self.size.rules_path).read_text()
        self.rules: RuleSet = self.policy.change_rules(read_rules(text))
        self._lay_out_hosts()
        self._lay_out_entries()
        self.result = Result({name: ServiceResult() for name in self.size.run_times})

    def _lay_out_hosts(self):
        self.hosts, self.pools = {}, {}
        for pool in self.rules.pools.values():
            for number in range(self.size.executors):
                name = f"{pool.hosts.rstrip('*')}{number + 1}"
                zone = f"zone-{number % self.size.zones}"
                self.pools[name] = pool.name
                self.hosts[name] = Host(name, HostKind.EXECUTOR, "", zone, "")
        self.executors = {name: StandIn() for name in self.hosts}

    def _lay_out_entries(self):
        self.entries = [
            ModelEntry(
                f"entry-{number + 1}",
                f"zone-{number % self.size.zones}",
                self.policy,
                self.executors,
                self.size.zone_delay,
            )
            for number in range(ENTRIES)
        ]

    def _run_time(self, service, chooser):
        mean = self.size.run_times[service]
        if service == self.scenario.flood:
            mean *= self.scenario.stretch
        drawn = chooser.lognormvariate(-(RUN_TIME_SIGMA**2) / 2, RUN_TIME_SIGMA)
        return mean * min(drawn, 5.0)

    def _rate(self, service, elapsed):
        """Return the requests a second of ``service`` at ``elapsed``."""
        slots = self.size.executors * SLOTS
        mean = OFFERED_LOAD * slots / self.size.run_times[service]
        if service != self.scenario.flood:
            return mean
        mean /= self.scenario.stretch
        if elapsed < WARM_UP_SECONDS:
            return mean
        flooding = elapsed < WARM_UP_SECONDS + FLOOD_SECONDS
        return mean * (FLOOD_FACTOR if flooding else AFTER_FLOOD_FACTOR)

    def _draw_call(self, service, chooser):
        """Return the run time, the team, whether it is the small one, and the entry.

        The small team sends as much in a flood of its service as otherwise.
        """
        teams = list(self.rules.teams) or ["one", "two"]
        flooding = service == self.scenario.flood
        small = chooser.random() < (0.5 / FLOOD_FACTOR if flooding else 0.5)
        skewed = chooser.random() < self.scenario.skew
        entry = self.entries[0] if skewed else chooser.choice(self.entries)
        run_time = self._run_time(service, chooser)
        return run_time, teams[-1] if small else teams[0], small, entry

    async def _call(self, rule, drawn, measured):
        run_time, team, small, entry = drawn
        now = anyio.current_time()
        deadline = now + rule.deadline
        request = Request(
            *("", rule.name, team, "POST"),
            path=f"{run_time:.6f}",
            headers=(),
            body=b"",
            received_at=now,
            deadline=deadline,
        )
        if measured:
            self.result.services[rule.name].sent += 1
            self.result.services[rule.name].small_team_sent += small
        answer = await dispatch.run_request(request, rule, entry.queues)
        if measured:
            self._note(request, small, answer)

    def _note(self, request, small, answer):
        result = self.result.services[request.service]
        result.not_run += answer.outcome is Outcome.NOT_RUN
        result.unknown += answer.outcome is Outcome.UNKNOWN
        if answer.outcome is Outcome.RAN:
            result.in_time += 1
            result.small_team_in_time += small
            result.latencies.append(anyio.current_time() - request.received_at)

    async def _send(self, service, task_group):
        """Send the requests of one service, at moments fixed by the seed."""
        chooser = random.Random(f"{self.scenario.seed} {service}")
        rule = self.rules.services[service]
        started, elapsed = anyio.current_time(), 0.0
        total = WARM_UP_SECONDS + FLOOD_SECONDS + TAIL_SECONDS
        while elapsed < total:
            elapsed += chooser.expovariate(self._rate(service, elapsed))
            await anyio.sleep(max(0.0, started + elapsed - anyio.current_time()))
            measured = WARM_UP_SECONDS <= elapsed < WARM_UP_SECONDS + FLOOD_SECONDS
            drawn = self._draw_call(service, chooser)
            task_group.start_soon(self._call, rule, drawn, measured)

    async def _sample(self):
        """Sample the executors while the flood lasts, once it has built up."""
        await anyio.sleep(WARM_UP_SECONDS + BUILD_UP_SECONDS)
        rule = self.rules.services.get(self.scenario.flood)
        usable = {rule.pool, *rule.borrows} if rule else set(self.rules.pools)
        open_hosts = [name for name, pool in self.pools.items() if pool in usable]
        samples, busy, busy_open, over, late = 0, 0, 0, 0, 0.0
        end = anyio.current_time() + FLOOD_SECONDS - BUILD_UP_SECONDS
        while (now := anyio.current_time()) < end:
            offered = {name: one.offered for name, one in self.executors.items()}
            samples += 1
            busy += sum(min(SLOTS, count) for count in offered.values())
            busy_open += sum(min(SLOTS, offered[name]) for name in open_hosts)
            over += sum(count > SLOTS for count in offered.values())
            await anyio.sleep(SAMPLE_SECONDS)
            late = max(late, anyio.current_time() - now - SAMPLE_SECONDS)
        self.result.busy = busy / (samples * SLOTS * len(offered))
        self.result.busy_open = busy_open / (samples * SLOTS * len(open_hosts))
        self.result.over_offered = over / (samples * len(offered))
        self.result.late_wakes = late

    async def run(self):
        """Run the scenario and return its ``Result``."""
        async with anyio.create_task_group() as background:
            for entry in self.entries:
                entry.registry.start(background)
                background.start_soon(entry.run, self.rules, self.pools, self.hosts)
            phases = random.Random(self.scenario.seed)
            for mine in self.entries:
                for fellow in self.entries:
                    if mine is not fellow:
                        phase = phases.uniform(0.0, EXCHANGE_SECONDS)
                        background.start_soon(
                            exchange, mine, fellow, phase, self.size.zone_delay
                        )
            await anyio.sleep(SETTLE_SECONDS)
            background.start_soon(self._sample)
            total = WARM_UP_SECONDS + FLOOD_SECONDS + TAIL_SECONDS
            with anyio.move_on_after(total):
                async with anyio.create_task_group() as callers:
                    for service in self.size.run_times:
                        callers.start_soon(self._send, service, callers)
            background.cancel_scope.cancel()
        return self.result


def main():
    """Run the scenario given as JSON in the first argument; print its result."""
    scenario = msgspec.json.decode(sys.argv[1], type=Scenario)
    result = anyio.run(Model(scenario).run)
    print(msgspec.json.encode(result).decode())


if __name__ == "__main__":
    main()
