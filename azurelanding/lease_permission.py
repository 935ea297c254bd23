"""Decide whether a pool's controller may extend the leases of its workers.

Another daemon takes over a pool once the membership of its controller has expired. The
earlier controller learns that from the store, or from a worker that its successor has
called. While it learns nothing from the store, it extends leases only if it still hears
from half of its workers that have not ended: its successor calls them too, and the
first one that both reach refuses the earlier epoch. Otherwise it is the controller that
is cut off, or it was suspended. When the store is down for all daemons, nobody takes
over and the workers go on answering, so that their runs are kept.
"""

import collections

import structlog

from azurelanding.utils import boot_time

logger = structlog.get_logger()

MAX_REPORT_AGE_SECONDS = 2.0
"""Age from which a report does not count; twice the longest wait of a ``hold`` call,
and no longer than a takeover allows the earlier controller to extend leases."""


class LeasePermission:
    """The permission of the controller of ``pool`` to extend leases.

    ``member`` is the daemon's ``GroupMember`` and ``links`` are the controller's
    ``WorkerLink``s by worker. ``reported_at`` maps the workers with a recent report to
    the ``boot_time`` of the last one, the oldest first. ``ended`` are the linked
    workers whose incarnation has ended: no controller hears from them.

    >>> permission = LeasePermission("cuts", member, links)
    >>> permission.record_report("worker-1")
    >>> permission.is_given()
    True
    """

    def __init__(self, pool, member, links):
        self.pool = pool
        self.member = member
        self.links = links
        self.reported_at = collections.OrderedDict()
        self.ended = set()
        self.was_given = True

    def record_report(self, worker_id):
        """Record that a worker has answered under the epoch of the controller."""
        self.reported_at[worker_id] = boot_time()
        self.reported_at.move_to_end(worker_id)

    def record_ended(self, worker_id):
        """Record that the incarnation of a linked worker has ended."""
        self.ended.add(worker_id)
        self.reported_at.pop(worker_id, None)

    def forget(self, worker_id):
        """Forget a worker whose link is dropped."""
        self.ended.discard(worker_id)
        self.reported_at.pop(worker_id, None)

    def is_given(self):
        """Return whether leases may be extended now."""
        is_given = self.member.is_valid or self._hears_from_half()
        if is_given != self.was_given:
            self.was_given = is_given
            logger.warning(
                "leases are extended again" if is_given else "leases not extended",
                pool=self.pool,
                answering=len(self.reported_at),
                links=len(self.links),
                ended=len(self.ended),
            )
        return is_given

    def _hears_from_half(self):
        oldest = boot_time() - MAX_REPORT_AGE_SECONDS
        while self.reported_at and next(iter(self.reported_at.values())) < oldest:
            self.reported_at.popitem(last=False)
        return 2 * len(self.reported_at) >= len(self.links) - len(self.ended)
