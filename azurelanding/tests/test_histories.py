"""Check generated histories of daemons that read, relay, restart and lose the log."""

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
CHANGED_OBJECTS = ("rules", "rules", "h1", "h2")


@attrs.define
class Daemon:
    """A follower with the offsets that its peers reported.

    ``highest_version`` is the highest rules version that it had in force.
    """

    name: str
    follower: object
    reported_offsets: dict = attrs.field(factory=dict)
    highest_version: int = 0


STEPS = st.one_of(
    st.tuples(
        st.just("write"),
        st.sampled_from(CHANGED_OBJECTS),
        st.sampled_from((0, 0, 0, 1)),
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
    """Three daemons, one log and the expected state at each of its offsets.

    ``highest_versions`` has, by daemon, the highest rules version that any of its
    processes had in force.
    """

    def __init__(self, case):
        self.case = case
        self.log = FakeLog()
        self.log.max_batch = 2
        self.reference = fleet.FleetState()
        self.states = {1: self.reference_view()}
        self.highest_versions = dict.fromkeys(NAMES, 0)
        self.daemons = {name: self.new_daemon(name) for name in NAMES}

    def new_daemon(self, name):
        """Return a daemon that has just started."""
        log_settings = LogServiceSettings(poll=0.001)
        return Daemon(name, follower_module.FleetFollower(self.log, log_settings))

    def reference_view(self):
        """Return what must be the same at all daemons at one offset."""
        state = self.reference
        hosts = {name: host.pool for name, host in state.hosts.items()}
        return state.rules_version, hosts

    async def write(self, changed, lag):
        """Append a change of the rules or of a host, on an old version if ``lag``."""
        version = self.reference.rules_version
        if changed == "rules":
            body = records.RulesPublished(RULES, max(0, version - lag))
        else:
            host = self.reference.hosts.get(changed)
            base = max(0, (host.version if host else 0) - lag)
            body = records.HostAssigned(changed, ("cuts", "spare")[lag % 2], base)
        record = records.new_record(body, "author", "ana", 1.0)
        fleet.fold(self.reference, self.log.put(record), record)
        self.states[self.reference.next_offset] = self.reference_view()

    async def read(self, name, times):
        """Let a daemon read the log ``times`` times, a few records each."""
        for _ in range(times):
            await self.read_once(name)

    async def read_once(self, name):
        """Let a daemon read once.

        When that puts its state in force, the rules version must be no lower than
        any that a daemon had in force.
        """
        daemon = self.daemons[name]
        was_in_force = daemon.follower.in_force
        try:
            await daemon.follower.read_once()
        except LogServiceError:
            return
        if daemon.follower.in_force and not was_in_force:
            version = daemon.follower.state.rules_version
            self.case.assertTrue(version >= max(self.highest_versions.values()))

    async def restart(self, name, _):
        """Replace a daemon by one with an empty state."""
        self.daemons[name] = self.new_daemon(name)

    async def exchange(self, name, other):
        """Let ``name`` and ``other`` exchange the offsets of their states."""
        if name == other:
            return
        daemon, peer = self.daemons[name], self.daemons[other]
        reported = peer.reported_offsets.get(name, 0)
        offset = peer.follower.state.next_offset
        daemon.follower.require_offset(max(reported, offset))
        peer.reported_offsets[name] = max(reported, daemon.follower.state.next_offset)
        daemon.reported_offsets[other] = max(
            daemon.reported_offsets.get(other, 0), offset
        )

    async def relay(self, name, other):
        """Let ``name`` fetch records from ``other``."""
        daemon, peer = self.daemons[name].follower, self.daemons[other].follower
        daemon.fold_relayed(peer.entries_from(daemon.head.next_offset, 2))

    async def copy(self, name, other):
        """Let ``name`` fetch the whole state from ``other``."""
        daemon, peer = self.daemons[name].follower, self.daemons[other].follower
        daemon.replace_state(snapshots.decode_state(snapshots.encode_state(peer.head)))

    async def settle(self, name, _):
        """Put a state in force without the log, after an exchange with each peer.

        It must be no older than any state that the peers have or know of.
        """
        daemon = self.daemons[name]
        if daemon.follower.in_force or daemon.follower.head.next_offset == 1:
            return
        for other in NAMES:
            await self.exchange(name, other)
        peers = [self.daemons[other] for other in NAMES if other != name]
        known = [peer.reported_offsets.get(name, 0) for peer in peers]
        known += [peer.follower.state.next_offset for peer in peers]
        daemon.follower.put_in_force()
        if daemon.follower.in_force:
            self.case.assertTrue(daemon.follower.head.next_offset >= max(known))

    async def snapshot(self, name, kept):
        """Let a daemon write a snapshot, and trim the log up to it or less."""
        state = self.daemons[name].follower.state
        await snapshots.write_snapshot(self.log, state, 0.0)
        trimmed = state.next_offset - kept
        stream = self.log.stream("fleet")
        stream.trim(min(len(stream.records), max(kept, stream.end - trimmed)))

    async def trim(self, kept, _):
        """Trim the log to ``kept`` records; a snapshot may not cover the others."""
        self.log.stream("fleet").trim(kept)

    def check(self):
        """Check that each daemon has a prefix of the log and never reverts."""
        for name, daemon in self.daemons.items():
            head, state = daemon.follower.head, daemon.follower.state
            hosts = {host: entry.pool for host, entry in head.hosts.items()}
            view = (head.rules_version, hosts)
            self.case.assertEqual(self.states[head.next_offset], view)
            self.case.assertTrue(state.rules_version >= daemon.highest_version)
            in_force = daemon.follower.in_force
            self.case.assertTrue(in_force or state.rules_version == 0)
            daemon.highest_version = state.rules_version
            self.highest_versions[name] = max(
                self.highest_versions[name], state.rules_version
            )
            for entry in daemon.follower.entries_from(1, 1000):
                wire.decode_record(entry.data)


class HistoriesTest(testtools.TestCase):
    """No host is in two pools, and no daemon goes back to an older configuration."""

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
