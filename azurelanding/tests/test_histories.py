"""Check histories of daemons that read, relay, restart and lose the log."""

import anyio
import attrs
import testtools
from hypothesis import Phase, given, settings
from hypothesis import strategies as st

from azurelanding import fleet, records
from azurelanding.log_service import follower as follower_module
from azurelanding.log_service import snapshots, wire
from azurelanding.log_service.client import LogServiceError
from azurelanding.settings import LogServiceSettings
from azurelanding.tests.fake_log import FakeLog

NAMES = ("entry-1", "entry-2", "entry-3")
RULES = "pool cuts  # Ana\npool spare spare=yes  # Ana\n"
WRITTEN = ("rules", "rules", "h1", "h2")


@attrs.define
class Daemon:
    """A follower, what it has heard of its fellows, and what it had in force."""

    name: str
    follower: object
    heard: dict = attrs.field(factory=dict)
    highest_here: int = 0


STEPS = st.one_of(
    st.tuples(
        st.just("write"), st.sampled_from(WRITTEN), st.sampled_from((0, 0, 0, 1))
    ),
    st.tuples(st.just("read"), st.sampled_from(NAMES), st.integers(1, 5)),
    st.tuples(st.just("restart"), st.sampled_from(NAMES), st.just(0)),
    st.tuples(st.just("exchange"), st.sampled_from(NAMES), st.sampled_from(NAMES)),
    st.tuples(st.just("relay"), st.sampled_from(NAMES), st.sampled_from(NAMES)),
    st.tuples(st.just("copy"), st.sampled_from(NAMES), st.sampled_from(NAMES)),
    st.tuples(st.just("settle"), st.sampled_from(NAMES), st.just(0)),
    st.tuples(st.just("snapshot"), st.sampled_from(NAMES), st.integers(1, 6)),
    st.tuples(st.just("trim"), st.integers(1, 3), st.just(0)),
)


class World:
    """Three daemons, one log and the state at each of its offsets."""

    def __init__(self, case):
        self.case = case
        self.log = FakeLog()
        self.log.max_batch = 2
        self.reference = fleet.FleetState()
        self.states = {1: self.reference_view()}
        self.ever = dict.fromkeys(NAMES, 0)
        self.daemons = {name: self.new_daemon(name) for name in NAMES}

    def new_daemon(self, name):
        """Return a daemon that has just started."""
        settings_of_log = LogServiceSettings(poll=0.001)
        return Daemon(name, follower_module.FleetFollower(self.log, settings_of_log))

    def reference_view(self):
        """Return what must be the same everywhere at one offset."""
        state = self.reference
        hosts = {name: host.pool for name, host in state.hosts.items()}
        return state.rules_version, hosts

    async def write(self, what, lag):
        """Append a change, on an old version if there is a lag."""
        version = self.reference.rules_version
        if what == "rules":
            body = records.RulesPublished(RULES, max(0, version - lag))
        else:
            host = self.reference.hosts.get(what)
            base = max(0, (host.version if host else 0) - lag)
            body = records.HostAssigned(what, ("cuts", "spare")[lag % 2], base)
        record = records.new_record(body, "author", "ana", 1.0)
        fleet.fold(self.reference, self.log.put(record), record)
        self.states[self.reference.next_offset] = self.reference_view()

    async def read(self, name, times):
        """Let a daemon read the log some times, each time a few records."""
        for _ in range(times):
            await self.read_once(name)

    async def read_once(self, name):
        """Let a daemon read; what it then puts in force must be the newest."""
        daemon = self.daemons[name]
        was_in_force = daemon.follower.in_force
        try:
            await daemon.follower.read_once()
        except LogServiceError:
            return
        if daemon.follower.in_force and not was_in_force:
            version = daemon.follower.state.rules_version
            self.case.assertTrue(version >= max(self.ever.values()))

    async def restart(self, name, _):
        """Replace a daemon by one that knows nothing."""
        self.daemons[name] = self.new_daemon(name)

    async def exchange(self, name, other):
        """Let ``name`` tell its offset to ``other`` and learn what that knows."""
        if name == other:
            return
        one, two = self.daemons[name], self.daemons[other]
        heard = two.heard.get(name, 0)
        offset = two.follower.state.next_offset
        one.follower.await_offset(max(heard, offset))
        two.heard[name] = max(heard, one.follower.state.next_offset)
        one.heard[other] = max(one.heard.get(other, 0), offset)

    async def relay(self, name, other):
        """Let ``name`` fetch records of ``other``."""
        one, two = self.daemons[name].follower, self.daemons[other].follower
        one.fold_relayed(two.entries_from(one.head.next_offset, 2))

    async def copy(self, name, other):
        """Let ``name`` fetch the whole state of ``other``."""
        one, two = self.daemons[name].follower, self.daemons[other].follower
        one.replace_state(snapshots.decode_state(snapshots.encode_state(two.head)))

    async def settle(self, name, _):
        """Start in an outage, after an exchange with each fellow."""
        daemon = self.daemons[name]
        if daemon.follower.in_force or daemon.follower.head.next_offset == 1:
            return
        for other in NAMES:
            await self.exchange(name, other)
        fellows = [self.daemons[other] for other in NAMES if other != name]
        known = [fellow.heard.get(name, 0) for fellow in fellows]
        known += [fellow.follower.state.next_offset for fellow in fellows]
        daemon.follower.put_in_force()
        if daemon.follower.in_force:
            self.case.assertTrue(daemon.follower.head.next_offset >= max(known))

    async def snapshot(self, name, kept):
        """Let a daemon write a snapshot and the log trim up to it."""
        state = self.daemons[name].follower.state
        await snapshots.write_snapshot(self.log, state, 0.0)
        trimmed = state.next_offset - kept
        stream = self.log.stream("fleet")
        stream.trim(min(len(stream.records), max(kept, stream.end - trimmed)))

    async def trim(self, kept, _):
        """Let the log drop records that no snapshot may cover."""
        self.log.stream("fleet").trim(kept)

    def check(self):
        """Check that each daemon has a prefix of the log and reverts nothing."""
        for name, daemon in self.daemons.items():
            head, state = daemon.follower.head, daemon.follower.state
            hosts = {host: entry.pool for host, entry in head.hosts.items()}
            view = (head.rules_version, hosts)
            self.case.assertEqual(self.states[head.next_offset], view)
            self.case.assertTrue(state.rules_version >= daemon.highest_here)
            in_force = daemon.follower.in_force
            self.case.assertTrue(in_force or state.rules_version == 0)
            daemon.highest_here = state.rules_version
            self.ever[name] = max(self.ever[name], state.rules_version)
            for entry in daemon.follower.entries_from(1, 1000):
                wire.decode_record(entry.data)


class HistoriesTest(testtools.TestCase):
    """Never two pools for one host, never a lower configuration after a higher."""

    @settings(
        derandomize=True,
        max_examples=100,
        deadline=None,
        database=None,
        phases=[Phase.generate],
    )
    @given(st.lists(STEPS, min_size=20, max_size=60))
    def test_every_daemon_has_a_prefix_of_the_log_and_never_goes_back(self, steps):
        async def run():
            world = World(self)
            await world.write("rules", 0)
            for action, first, second in steps:
                await getattr(world, action)(first, second)
                world.check()

        anyio.run(run)
