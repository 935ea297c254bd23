"""Run the maintenance decisions for one pool against hosts in simulated time.

The model folds the decided records and simulates how hosts drain, reboot, fail and
return after given times. It has no requests, daemons or network.
"""

import attrs

from azurelanding import fleet, maintenance, pool_views, records
from azurelanding.hosts import Host, HostKind, Phase, Presence
from azurelanding.pools.reboots import RebootState

AUTHOR = "control-1.model"
TICK_SECONDS = 1.0
START_TIME_SECONDS = 1_000_000.0
"""Simulated time at which a model starts."""


def make_hosts(prefix, executors, workers, zones, per_rack=4):
    """Return hosts by name, ``per_rack`` to a rack; racks alternate between zones."""
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
    """One pool, its hosts and the simulated time ``now``, in seconds.

    ``drain_time`` is in seconds; ``reboot_time`` maps a host name to seconds. Hosts in
    ``broken`` never return from a reboot, those in ``lost`` are missing from the host
    list, and those in ``set_aside`` are set aside as failing. ``decide`` takes a
    ``PoolView`` and the time and returns record bodies.

    ``host_versions_since`` and ``wave_progress_since`` hold the last value that was
    observed and the time of its first observation, ``unhealthy_since`` the time since
    which a host is lost or set aside.
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
    now: float = START_TIME_SECONDS
    state: fleet.FleetState = attrs.field(factory=fleet.FleetState)
    host_versions_since: dict = attrs.field(factory=dict)
    unhealthy_since: dict = attrs.field(factory=dict)
    wave_progress_since: dict = attrs.field(factory=dict)
    last_view: maintenance.PoolView | None = None

    def __attrs_post_init__(self):
        """Publish the rules and assign every host to the pool."""
        self.append(records.RulesPublished(self.rules_text, 0))
        for name in self.hosts:
            self.append(records.HostAssigned(name, self.pool, 0))

    def append(self, body):
        """Fold a record with ``body`` and return its ``Verdict``."""
        record = records.new_record(body, AUTHOR, "model", self.now)
        return fleet.fold(self.state, self.state.next_offset, record)

    def _seconds_since_change(self, name):
        version = self.state.hosts[name].version
        if self.host_versions_since.get(name, (None,))[0] != version:
            self.host_versions_since[name] = (version, self.now)
        return self.now - self.host_versions_since[name][1]

    def _seconds_since_progress(self):
        wave = self.state.waves.get(self.pool)
        value = wave and (wave.started, len(wave.done) + len(wave.failed))
        if self.wave_progress_since.get(self.pool, (None,))[0] != value:
            self.wave_progress_since[self.pool] = (value, self.now)
        return self.now - self.wave_progress_since.get(self.pool, (None, 0.0))[1]

    def _unhealthy_for(self):
        for name in self.hosts:
            if name in self.lost | self.set_aside:
                self.unhealthy_since.setdefault(name, self.now)
            else:
                self.unhealthy_since.pop(name, None)
        return {name: self.now - since for name, since in self.unhealthy_since.items()}

    def _listed_hosts(self):
        def is_live(name):
            phase = self.state.hosts[name].phase
            is_up = phase is not Phase.REBOOTING or self._is_rebooted(name)
            return is_up and name not in self.lost

        leaving = Presence.LEAVING
        return {
            name: host if is_live(name) else attrs.evolve(host, presence=leaving)
            for name, host in self.hosts.items()
        }

    def _is_rebooted(self, name):
        return (
            name not in self.broken
            and name not in self.lost
            and self._seconds_since_change(name) >= self.reboot_time(name)
        )

    def view(self):
        """Return the current ``PoolView``."""
        seconds_in_phase = {
            name: self._seconds_since_change(name) for name in self.hosts
        }
        reboots = {
            name: RebootState.DONE if self._is_rebooted(name) else RebootState.REBOOTING
            for name, host in self.state.hosts.items()
            if host.phase is Phase.REBOOTING
        }
        observations = pool_views.Observations(
            seconds_in_phase=seconds_in_phase,
            unhealthy_seconds=self._unhealthy_for(),
            seconds_since_progress={self.pool: self._seconds_since_progress()},
            reboots=reboots,
        )
        view = pool_views.make_pool_views(
            self.state,
            self._listed_hosts(),
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
        """Fold the records that are decided now, advance by ``TICK_SECONDS``.

        Returns the record bodies. ``last_view`` is the view they were decided on.
        """
        self.last_view = self.view()
        bodies = self.decide(self.last_view, self.now)
        for body in bodies:
            self.append(body)
        self.now += TICK_SECONDS
        return bodies

    def start_wave(self, names=None):
        """Start a wave over ``names``, by default all hosts; return the ``Verdict``."""
        names = tuple(names or self.hosts)
        stops = self.state.stops.get(self.pool, 0)
        return self.append(records.WaveStarted(self.pool, names, stops))

    @property
    def wave(self):
        """Return the open wave or ``None``."""
        return self.state.waves.get(self.pool)
