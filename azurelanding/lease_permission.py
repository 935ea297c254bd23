"""Decide whether a pool's controller may extend the leases of its workers.

Another daemon takes over a pool once the membership of its controller has expired. The
earlier controller learns that from the store, or from a worker that its successor has
called. While it learns nothing, two rules that depend on each other keep one run of a
task from going on beside the next, over the same set of workers, the voters, that the
controller has stored (``ledger.LeaseVoters``):

- The earlier controller extends leases only while more than half of the voters answer
  it, and for no longer than ``MAX_UNCONFIRMED_SECONDS`` (``LeasePermission``).
- The successor relies on the end of a lease that it has not extended itself only once
  half of the voters have answered it, or after that time (``LeaseSuccession``).

A worker that has answered the successor refuses the earlier controller. So once half
of them have, the other can't be heard by more than half again. When the store is down
for all daemons, nobody takes over and the workers go on answering, so that their runs
are kept.
"""

import collections

import structlog

from azurelanding.utils import boot_time

logger = structlog.get_logger()

MAX_REPORT_AGE_SECONDS = 2.0
"""Age from which a report does not count; twice the longest wait of a ``hold`` call."""
MAX_UNCONFIRMED_SECONDS = 10.0
"""How long leases are extended without a membership. Longer than any outage of the
store that the platform announces; a successor that reaches too few voters waits as
long before it restarts their tasks."""


class LeaseSuccession:
    """When the controllers before this one extend no leases any more.

    ``voters`` are the workers that the last of them has stored, ``began_at`` is the
    ``boot_time`` at which this controller took over, and ``member_timeout`` the time in
    seconds for which an earlier one may still count itself a member then. ``answered``
    are the voters that have answered this controller, and ``quorum_at`` is the
    ``boot_time`` since when they are half of all.

    >>> succession = LeaseSuccession(("v", "w"), boot_time(), 1.2)
    >>> succession.record_answer("v")
    >>> succession.has_quorum
    True
    """

    def __init__(self, voters, began_at, member_timeout):
        self.voters = frozenset(voters)
        self.began_at = began_at
        self.member_timeout = member_timeout
        self.answered = set()
        self.quorum_at = None if self.voters else began_at

    @property
    def has_quorum(self):
        """Return whether no earlier controller can hear from more than half again."""
        return self.quorum_at is not None

    def record_answer(self, worker_id):
        """Record that a worker has answered, so it refuses earlier controllers."""
        if self.has_quorum or worker_id not in self.voters:
            return
        self.answered.add(worker_id)
        if 2 * len(self.answered) >= len(self.voters):
            self.quorum_at = boot_time()

    def extensions_end_at(self):
        """Return the ``boot_time`` from which no earlier controller extends a lease.

        Reports from before the quorum may count for their longest age.
        """
        latest = self.began_at + self.member_timeout + MAX_UNCONFIRMED_SECONDS
        if not self.has_quorum:
            return latest
        return min(latest, self.quorum_at + MAX_REPORT_AGE_SECONDS)

    def is_sole(self, now):
        """Return whether earlier controllers extend leases at most for old reports.

        A later controller then has to count on this one only: it takes over after
        those reports have become too old.
        """
        return self.has_quorum or now >= self.extensions_end_at()


class LeasePermission:
    """The permission of the controller of ``pool`` to extend leases.

    ``member`` is the daemon's ``GroupMember``. ``voters`` are the workers of which more
    than half must answer, ``proposed`` those that are being stored in their place, or
    ``None``: until the outcome is known, both count. ``reported_at`` maps the workers
    with a recent report to the ``boot_time`` at which the last one was requested, the
    oldest first. ``incarnations`` holds ``born`` of those that answered while the
    membership was valid: a worker that starts again forgets which controller it has
    answered last.

    >>> permission = LeasePermission("cuts", member, ("worker-1",))
    >>> permission.record_report("worker-1", 1, boot_time())
    >>> permission.is_given()
    True
    """

    def __init__(self, pool, member, voters=()):
        self.pool = pool
        self.member = member
        self.voters = frozenset(voters)
        self.proposed = None
        self.reported_at = collections.OrderedDict()
        self.incarnations = {}
        self.was_given = True

    def record_report(self, worker_id, born, requested_at):
        """Record that a worker has answered a call of ``requested_at``."""
        if self.member.is_valid:
            self.incarnations[worker_id] = born
        if self.incarnations.get(worker_id) != born:
            return
        known = self.reported_at.get(worker_id, requested_at)
        self.reported_at[worker_id] = max(known, requested_at)
        self.reported_at.move_to_end(worker_id)

    def record_ended(self, worker_id):
        """Record that the incarnation of a worker has ended; it can't answer again.

        It stays among the voters, as it may have answered a successor before.
        """
        self.reported_at.pop(worker_id, None)

    def forget(self, worker_id):
        """Forget a worker whose link is dropped."""
        self.reported_at.pop(worker_id, None)
        if self.member.is_valid:
            self.incarnations.pop(worker_id, None)

    def propose(self, voters):
        """Count other voters too, which are being stored."""
        self.proposed = frozenset(voters)

    def adopt_proposed(self):
        """Count only the voters that were proposed, which are stored now."""
        self.voters, self.proposed = self.proposed, None

    def is_given(self):
        """Return whether leases may be extended now."""
        is_given = self.member.is_valid or self._hears_from_most()
        if is_given != self.was_given:
            self.was_given = is_given
            logger.warning(
                "leases are extended again" if is_given else "leases not extended",
                pool=self.pool,
                answering=len(self.reported_at),
                voters=len(self.voters),
                unconfirmed=round(boot_time() - self.member.valid_until, 3),
            )
        return is_given

    def _hears_from_most(self):
        now = boot_time()
        if now >= self.member.valid_until + MAX_UNCONFIRMED_SECONDS:
            return False
        recent = {
            worker_id
            for worker_id, requested_at in self.reported_at.items()
            if now < requested_at + MAX_REPORT_AGE_SECONDS
        }
        return all(
            2 * len(recent & voters) > len(voters)
            for voters in (self.voters, self.proposed)
            if voters is not None
        )
