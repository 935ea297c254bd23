"""Write snapshots of the fleet's state when they are due."""

import time

import anyio
import structlog

from azurelanding import records, retention
from azurelanding.log_service import snapshots
from azurelanding.log_service.client import LogServiceError
from azurelanding.log_service.follower import ChangeRefusedError

logger = structlog.get_logger()

TICK_SECONDS = 1.0
FAILURE_PAUSE_SECONDS = 10.0


class SnapshotKeeper:
    """The last snapshot as this daemon saw it, and when that was."""

    def __init__(self, daemon):
        self.daemon = daemon
        self.seen_offset = None
        self.seen_at = 0.0

    def is_due(self, now):
        """Tell whether this daemon must write a snapshot at the monotonic ``now``."""
        daemon, follower = self.daemon, self.daemon.follower
        if not (follower.in_force and follower.up) or follower.outdated:
            return False
        state = follower.head
        if state.snapshot_offset != self.seen_offset:
            self.seen_offset, self.seen_at = state.snapshot_offset, now
        place = retention.writer_rank(
            state, daemon.incarnation, daemon.settings.name, daemon.members.live()
        )
        behind = state.next_offset - max(state.snapshot_offset, 1)
        kept = retention.kept_records(follower.first, follower.end)
        return retention.is_due(behind, now - self.seen_at, kept, place)

    async def write(self):
        """Write a snapshot of the state of now and tell the others."""
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
            await anyio.sleep(FAILURE_PAUSE_SECONDS)
            return
        self.daemon.metrics.count("snapshots.written")

    async def run(self):
        """Write snapshots until cancelled."""
        while True:
            await anyio.sleep(TICK_SECONDS)
            if self.is_due(anyio.current_time()):
                await self.write()
