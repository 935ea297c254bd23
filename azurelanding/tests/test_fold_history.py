"""Compare the fold with a reference implementation over random histories."""

import copy

import attrs
import testtools
from hypothesis import Phase, given, settings
from hypothesis import strategies as st

from azurelanding import fleet, records
from azurelanding.log_service import snapshots

POOLS = ("cuts", "spare")
HOSTS = ("h1", "h2")
WRITERS = ("c1", "c2", "c3")
RULES = "pool cuts  # Ana\npool spare spare=yes  # Ana\n"
EXAMPLES = 200


@attrs.frozen
class Step:
    """An action of one writer whose view of the log is ``lag`` records old.

    With ``as_holder`` the record carries the author and epoch of the pool's lease.
    """

    action: str
    writer: str
    host: str
    pool: str
    lag: int
    as_holder: bool


STEPS = st.builds(
    Step,
    st.sampled_from(
        ("publish", "assign", "drain", "back", "take", "renew", "repeat", "withdraw")
    ),
    st.sampled_from(WRITERS),
    st.sampled_from(HOSTS),
    st.sampled_from(POOLS),
    st.integers(0, 4),
    st.booleans(),
)


FIRST_STEP = Step("publish", "c1", "h1", "cuts", 0, False)


class ReferenceFleet:
    """A reference implementation of the fold that never discards a verdict.

    ``hosts`` holds pool, version and phase of each host, ``leases`` the holder, the
    epoch and the offset of the last record of each lease. ``seen`` holds by record
    id whether the record was accepted.
    """

    def __init__(self):
        self.rules_version = 0
        self.hosts = {}
        self.leases = {}
        self.seen = {}

    def apply(self, offset, record):
        """Apply ``record`` if it is acceptable and return whether it was accepted."""
        if record.id not in self.seen:
            self.seen[record.id] = self.decide(offset, record)
        return self.seen[record.id]

    def decide(self, offset, record):
        body = record.body
        if isinstance(body, records.RulesPublished):
            if body.base != self.rules_version:
                return False
            self.rules_version = offset
            return True
        if isinstance(body, records.LeasesTaken):
            return self.take_leases(offset, record)
        if isinstance(body, records.LeasesRenewed):
            held = [p for p in self.leases if self.leases[p][0] == record.author]
            for pool in held:
                self.leases[pool] = (*self.leases[pool][:2], offset)
            return bool(held)
        if isinstance(body, records.Withdrawn):
            if body.record_id in self.seen:
                return False
            self.seen[body.record_id] = False
            return True
        return self.change_host(offset, record)

    def take_leases(self, offset, record):
        won = False
        for pool, base in record.body.bases.items():
            if self.leases.get(pool, ("", 0, 0))[2] == base and self.rules_version:
                self.leases[pool] = (record.author, offset, offset)
                won = True
        return won

    def change_host(self, offset, record):
        body = record.body
        pool, version, phase = self.hosts.get(body.host, (None, 0, "serving"))
        assigns = isinstance(body, records.HostAssigned)
        if body.base != version or (pool is None and not assigns):
            return False
        if body.epoch:
            pools = (pool, body.pool if assigns else None, "spare")
            current = [self.leases.get(p, ("", 0, 0))[:2] for p in pools]
            if (record.author, body.epoch) not in current:
                return False
        if assigns and not self.rules_version:
            return False
        if assigns:
            pool = body.pool
        elif isinstance(body, records.HostDraining):
            phase = "draining"
        else:
            phase = "serving"
        self.hosts[body.host] = (pool, offset, phase)
        return True


def make_body(step, view, written):
    """Return the record body that ``step`` writes, based on the stale ``view``."""
    version = view.hosts.get(step.host, (None, 0, ""))[1]
    holder, epoch, renewed_at = view.leases.get(step.pool, ("", 0, 0))
    epoch = epoch if step.as_holder else 0
    match step.action:
        case "publish":
            return records.RulesPublished(RULES, view.rules_version)
        case "assign":
            return records.HostAssigned(step.host, step.pool, version, epoch)
        case "drain":
            return records.HostDraining(step.host, "", version, epoch)
        case "back":
            return records.HostReturned(step.host, version, False, epoch)
        case "take":
            return records.LeasesTaken(5.0, {step.pool: renewed_at})
        case "renew":
            return records.LeasesRenewed(5.0)
        case "withdraw":
            return records.Withdrawn(written[-1].id if written else "none")


def write_history(steps):
    """Return the records of ``steps``, the reference verdicts and the final state.

    A repeat simulates an append whose reply was lost. A withdrawn record may be
    appended again after its withdrawal.
    """
    reference, views, written, verdicts = ReferenceFleet(), [ReferenceFleet()], [], []
    for step in steps:
        view = views[max(0, len(views) - 1 - step.lag)]
        if step.action == "repeat" and written:
            record = written[-1 - step.lag % len(written)]
        elif step.action == "repeat":
            continue
        else:
            body = make_body(step, view, written)
            holder = view.leases.get(step.pool, (step.writer,))[0]
            author = holder if step.as_holder else step.writer
            record = records.new_record(body, author, "ana", 1.0)
        written.append(record)
        verdicts.append(reference.apply(len(written), record))
        views.append(copy.deepcopy(reference))
    return written, verdicts, reference


def flatten(state):
    """Return the rules version, hosts and leases in the form of ``ReferenceFleet``."""
    hosts = {
        name: (host.pool, host.version, host.phase.value)
        for name, host in state.hosts.items()
    }
    leases = {
        pool: (lease.holder, lease.epoch, lease.renewed_at)
        for pool, lease in state.leases.items()
    }
    return state.rules_version, hosts, leases


class FoldHistoryTest(testtools.TestCase):
    """Verdicts of the fold over random histories with restarts from snapshots."""

    @settings(
        derandomize=True,
        max_examples=EXAMPLES,
        deadline=None,
        database=None,
        phases=[Phase.generate],
    )
    @given(st.lists(STEPS, min_size=10, max_size=40), st.sets(st.integers(1, 40)))
    def test_decides_as_the_naive_version(self, steps, restarts):
        history, expected, naive = write_history([FIRST_STEP, *steps])
        state, told, versions = fleet.FleetState(), [], []
        for offset, record in enumerate(history, start=1):
            if offset in restarts:
                state = snapshots.decode_state(snapshots.encode_state(state))
            told.append(fleet.fold(state, offset, record).accepted)
            versions.append(state.rules_version)
        self.assertEqual(expected, told)
        self.assertEqual(
            (naive.rules_version, naive.hosts, naive.leases), flatten(state)
        )
        self.assertEqual(sorted(versions), versions)
