"""Write snapshots of the fleet's state when they are due."""

import time

import anyio
import structlog

from azurelanding import records, retention
from azurelanding.log_service import snapshots
from azurelanding.log_service.client import LogServiceError
from azurelanding.log_service.follower import ChangeRefusedError

logger = structlog.get_logger()

CHECK_INTERVAL_SECONDS = 1.0
RETRY_DELAY_SECONDS = 10.0


class SnapshotKeeper:
    """Writes snapshots when they are due at this daemon.

    ``seen_offset`` is the next offset of the newest snapshot in the log, and
    ``seen_at`` the monotonic time at which this daemon first saw it.
    """

    def __init__(self, daemon):
        self.daemon = daemon
        self.seen_offset = None
        self.seen_at = 0.0

    def is_due(self, now):
        """Return whether this daemon must write a snapshot at the monotonic ``now``."""
        daemon, follower = self.daemon, self.daemon.follower
        if not (follower.in_force and follower.up) or follower.outdated:
            return False
        state = follower.head
        if state.snapshot_offset != self.seen_offset:
            self.seen_offset, self.seen_at = state.snapshot_offset, now
        rank = retention.writer_rank(
            state, daemon.incarnation, daemon.settings.name, daemon.members.live()
        )
        behind = state.next_offset - max(state.snapshot_offset, 1)
        retained = retention.retained_records(follower.first, follower.end)
        return retention.is_due(behind, now - self.seen_at, retained, rank)

    async def write(self):
        """Write a snapshot of the current state and record it in the log."""
        follower = self.daemon.follower
        next_offset = follower.head.next_offset
        pause = follower.settings.retry_pause
        try:
            await snapshots.write_snapshot(follower.client, follower.head, pause)
            taken = records.SnapshotTaken(next_offset)
            author = self.daemon.incarnation
            await follower.change(taken, author, "snapshot", time.time())
        except (LogServiceError, ChangeRefusedError) as error:
            logger.warning("snapshot not written", reason=str(error))
            await anyio.sleep(RETRY_DELAY_SECONDS)
            return
        self.daemon.metrics.count("snapshots.written")

    async def run(self):
        """Write snapshots until cancelled."""
        while True:
            await anyio.sleep(CHECK_INTERVAL_SECONDS)
            if self.is_due(anyio.current_time()):
                await self.write()
