"""Run the decisions on one pool against hosts in simulated time.

The model folds what is decided and lets hosts drain, reboot, fail and come back
after given times. Requests, daemons and the network are no part of it.
"""

import attrs

from azurelanding import fleet, maintenance, pool_views, records
from azurelanding.hosts import Host, HostKind, Phase, Presence
from azurelanding.pools.reboots import RebootState

AUTHOR = "control-1.model"
TICK_SECONDS = 1.0
FIRST_SECOND = 1_000_000.0


def make_hosts(prefix, executors, workers, zones, per_rack=4):
    """Return hosts by name, ``per_rack`` to a rack, racks dealt to the zones."""
    kinds = [HostKind.EXECUTOR] * executors + [HostKind.WORKER] * workers
    hosts = {}
    for index, kind in enumerate(kinds):
        rack = index // per_rack
        host = Host(
            f"{prefix}-{index + 1:02}",
            kind,
            "127.0.0.1:1",
            zone=zones[rack % len(zones)],
            rack=f"rack-{rack + 1}",
        )
        hosts[host.name] = host
    return hosts


@attrs.define
class PoolModel:
    """One pool, its hosts and the time.

    ``drain_time`` and ``reboot_time`` are in seconds, the latter by host name.
    Hosts in ``broken`` never come back from their reboot, those in ``lost`` are
    not on the host list, those in ``set_aside`` fail what they run. ``decide``
    takes a ``PoolView`` and the time and returns record bodies.
    """

    rules_text: str
    pool: str
    hosts: dict
    decide: object = maintenance.decide
    drain_time: float = 2.0
    reboot_time: object = lambda _name: 60.0
    broken: set = attrs.field(factory=set)
    lost: set = attrs.field(factory=set)
    set_aside: set = attrs.field(factory=set)
    now: float = FIRST_SECOND
    state: fleet.FleetState = attrs.field(factory=fleet.FleetState)
    seen: dict = attrs.field(factory=dict)
    unhealthy_seen: dict = attrs.field(factory=dict)
    waves_seen: dict = attrs.field(factory=dict)
    last_view: maintenance.PoolView | None = None

    def __attrs_post_init__(self):
        """Publish the rules and give every host to the pool."""
        self.append(records.RulesPublished(self.rules_text, 0))
        for name in self.hosts:
            self.append(records.HostAssigned(name, self.pool, 0))

    def append(self, body):
        """Fold ``body`` and return the ``Verdict``."""
        record = records.new_record(body, AUTHOR, "model", self.now)
        return fleet.fold(self.state, self.state.next_offset, record)

    def _age(self, name):
        version = self.state.hosts[name].version
        if self.seen.get(name, (None,))[0] != version:
            self.seen[name] = (version, self.now)
        return self.now - self.seen[name][1]

    def _settled_for(self):
        wave = self.state.waves.get(self.pool)
        mark = wave and (wave.started, len(wave.done) + len(wave.failed))
        if self.waves_seen.get(self.pool, (None,))[0] != mark:
            self.waves_seen[self.pool] = (mark, self.now)
        return self.now - self.waves_seen.get(self.pool, (None, 0.0))[1]

    def _unhealthy_for(self):
        for name in self.hosts:
            if name in self.lost | self.set_aside:
                self.unhealthy_seen.setdefault(name, self.now)
            else:
                self.unhealthy_seen.pop(name, None)
        return {name: self.now - since for name, since in self.unhealthy_seen.items()}

    def _listed(self):
        def is_live(name):
            phase = self.state.hosts[name].phase
            back = phase is not Phase.REBOOTING or self._is_back(name)
            return back and name not in self.lost

        leaving = Presence.LEAVING
        return {
            name: host if is_live(name) else attrs.evolve(host, presence=leaving)
            for name, host in self.hosts.items()
        }

    def _is_back(self, name):
        return (
            name not in self.broken
            and name not in self.lost
            and self._age(name) >= self.reboot_time(name)
        )

    def view(self):
        """Return the ``PoolView`` of this moment."""
        seconds_in_phase = {name: self._age(name) for name in self.hosts}
        reboots = {
            name: RebootState.DONE if self._is_back(name) else RebootState.REBOOTING
            for name, host in self.state.hosts.items()
            if host.phase is Phase.REBOOTING
        }
        observations = pool_views.Observations(
            seconds_in_phase=seconds_in_phase,
            unhealthy_for=self._unhealthy_for(),
            settled_for={self.pool: self._settled_for()},
            reboots=reboots,
        )
        view = pool_views.make_pool_views(
            self.state,
            self._listed(),
            [],
            self.set_aside,
            3.0,
            observations,
            [self.pool],
        )[self.pool]
        blockers = {
            name: ["a request runs"] if seconds_in_phase[name] < self.drain_time else []
            for name, host in self.state.hosts.items()
            if host.phase is Phase.DRAINING
        }
        return attrs.evolve(view, blockers=blockers)

    def tick(self):
        """Fold what is decided now and let a second pass; return the bodies.

        ``last_view`` is then what they were decided on.
        """
        self.last_view = self.view()
        bodies = self.decide(self.last_view, self.now)
        for body in bodies:
            self.append(body)
        self.now += TICK_SECONDS
        return bodies

    def start_wave(self, names=None):
        """Start a wave over ``names`` or all hosts and return the ``Verdict``."""
        names = tuple(names or self.hosts)
        stops = self.state.stops.get(self.pool, 0)
        return self.append(records.WaveStarted(self.pool, names, stops))

    @property
    def wave(self):
        """Return the open wave or ``None``."""
        return self.state.waves.get(self.pool)
