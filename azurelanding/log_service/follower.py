"""Follow the fleet's stream of the log, and append changes to it."""

import anyio
import attrs
import structlog

from azurelanding import fleet, records
from azurelanding.log_service import snapshots, wire
from azurelanding.log_service.client import (
    LogServiceError,
    LogUnavailableError,
    PayloadRefusedError,
)
from azurelanding.log_service.recent import RecentEntries
from azurelanding.utils import Notifier

logger = structlog.get_logger()

CHANGE_TIMEOUT_SECONDS = 5.0
NOTHING_APPENDED = "the log service can't be reached; nothing was appended"


class ChangeRefusedError(Exception):
    """A change was not made; the message says why."""


class ChangeUndecidedError(ChangeRefusedError):
    """Whether record ``record_id`` counts is unknown until the log answers."""

    def __init__(self, record_id):
        message = (
            "the log service did not answer; whether the change counts is undecided. "
            f"It is withdrawn as record {record_id} as soon as the log answers"
        )
        super().__init__(message)
        self.record_id = record_id


class LogRewoundError(LogServiceError):
    """The log ends before an offset that was read from it."""


class LogGapError(LogServiceError):
    """Records were trimmed before they were read, and no snapshot covers them."""


@attrs.define
class AppendAttempts:
    """What is known of the attempts to append one record.

    ``unanswered`` says whether the last attempt has no answer yet, ``maybe_appended``
    whether one of the attempts took effect or may have taken effect.
    """

    unanswered: bool = False
    maybe_appended: bool = False


class FleetFollower:
    """The fleet's state as this daemon has read it from the log, and its changes.

    ``head`` is the state after the last folded record. It is in force, as ``state``,
    once it is known to be no older than what was in force before; until then
    ``state`` is empty. ``changes`` wakes the tasks that follow the state. ``up`` says
    whether the last read of the log succeeded, ``fault`` why it failed.
    ``pending_changes`` counts the changes that wait to be read back. ``withdrawals``
    are the records still to be appended that withdraw undecided changes. The log
    keeps the offsets from ``first`` up to but not including ``end``.
    """

    def __init__(self, client, settings):
        self.client = client
        self.settings = settings
        self.head = fleet.FleetState()
        self.empty_state = fleet.FleetState()
        self.in_force = False
        self.required_offset = 0
        self.recent = RecentEntries()
        self.changes = Notifier()
        self.withdrawals = []
        self.up = False
        self.up_since = 0.0
        self.fault = "not read yet"
        self.failed_reads = 0
        self.pending_changes = 0
        self.first = self.end = 1

    @classmethod
    def from_config(cls, client, settings):
        """Return a follower that reads through ``client``."""
        return cls(client, settings)

    @property
    def state(self):
        """Return the fleet's state in force at this daemon, or an empty state."""
        return self.head if self.in_force else self.empty_state

    @property
    def outdated(self):
        """Return why this daemon may not write to the log, or an empty string."""
        if self.head.format <= wire.FORMAT:
            return ""
        return f"format {self.head.format} was adopted; it reads {wire.FORMAT}"

    def require_offset(self, next_offset):
        """Put no state in force until the head has reached ``next_offset``.

        A peer has reported this offset, so an older state would revert the fleet.
        """
        self.required_offset = max(self.required_offset, next_offset)

    def put_in_force(self):
        """Put the head in force if it has reached the required offset."""
        reached = self.head.next_offset >= self.required_offset
        if self.in_force or not reached:
            return
        self.in_force = True
        logger.info("state in force", next_offset=self.head.next_offset)
        self.changes.notify()

    def fold_entry(self, offset, text):
        """Fold the payload at ``offset`` and return the ``Verdict`` on its record.

        ``None`` is returned if it was folded before, or is unreadable and quarantined.
        """
        if offset < self.head.next_offset:
            return None
        try:
            record = wire.decode_record(text, self.head.format)
        except wire.RecordFormatError as error:
            logger.error("record quarantined", offset=offset, reason=str(error))
            fleet.quarantine(self.head, offset, str(error))
            self.recent.append(wire.Entry(offset, text))
            return None
        verdict = fleet.fold(self.head, offset, record)
        self.recent.append(wire.Entry(offset, text))
        logger.info(
            "record folded",
            offset=offset,
            kind=record.kind,
            record=record.id,
            asked_by=record.asked_by,
            accepted=verdict.accepted,
            reason=verdict.reason,
        )
        return verdict

    def fold_relayed(self, entries):
        """Fold those of ``entries`` that continue the head.

        A peer daemon has read them from the log.
        """
        for entry in entries:
            if entry.offset == self.head.next_offset:
                self.fold_entry(entry.offset, entry.data)
        self.changes.notify()

    def replace_state(self, state):
        """Replace the head by ``state`` if that is newer; return whether it was."""
        if state.next_offset <= self.head.next_offset:
            return False
        logger.info("state replaced", next_offset=state.next_offset)
        self.head = state
        self.recent.clear()
        self.changes.notify()
        return True

    def entries_from(self, first, limit):
        """Return up to ``limit`` recent entries from offset ``first`` on.

        The list is empty when the entry at ``first`` is no longer kept.
        """
        return self.recent.since(first, limit)

    def _record_read(self, fault=""):
        """Update ``up`` and ``fault`` after a read of the log."""
        self.failed_reads += bool(fault)
        if fault != self.fault:
            self.fault = fault
            self.changes.notify()
        if self.up == (not fault):
            return
        self.up = not fault
        self.up_since = anyio.current_time()
        log = logger.info if self.up else logger.warning
        log(
            "log service reachable" if self.up else "log service lost",
            reason=fault,
        )

    async def _load_snapshot(self):
        state = await snapshots.read_newest(self.client)
        if state is not None:
            self.replace_state(state)

    async def _close_gap(self, first):
        """Continue from a snapshot, since the log was trimmed up to ``first``.

        Raises ``LogGapError`` when the newest snapshot doesn't reach ``first``.
        """
        missing = self.head.next_offset
        await self._load_snapshot()
        if self.head.next_offset < first:
            message = f"records {missing} to {first - 1} are trimmed"
            raise LogGapError(f"{message} and no snapshot covers them")

    async def read_once(self):
        """Fold the records after the head; if there are none, wait for some.

        A known backlog is read without waiting. The head is put in force at the end
        of the log. Raises ``LogServiceError`` when the log can't be followed.
        """
        start = self.head.next_offset
        behind = not self.up or start < self.end
        wait = 0.0 if behind else self.settings.poll
        batch = await self.client.read(records.FLEET_STREAM, start, wait)
        if batch.end < start:
            message = f"the log ends before {batch.end}, but {start - 1} was read"
            raise LogRewoundError(message)
        self.first, self.end = batch.first, batch.end
        if batch.first > self.head.next_offset:
            await self._close_gap(batch.first)
            return
        for entry in batch.entries:
            self.fold_entry(entry.offset, entry.data)
        if self.head.next_offset >= batch.end:
            self.put_in_force()
        if batch.entries:
            self.changes.notify()

    def _may_pause(self, start):
        """Return whether to pause after a read from ``start``, to batch the next.

        The read must have brought records, up to the end of the log, and no change
        of this daemon may wait to be read back.
        """
        advanced = self.head.next_offset > start
        return (
            advanced and self.head.next_offset >= self.end and not self.pending_changes
        )

    async def _follow(self):
        loaded = False
        while True:
            try:
                if not loaded:
                    await self._load_snapshot()
                    loaded = True
                start = self.head.next_offset
                await self.read_once()
                self._record_read()
                if self._may_pause(start):
                    await anyio.sleep(self.settings.batch)
            except LogServiceError as error:
                self._record_read(str(error))
                await anyio.sleep(self.settings.retry_pause)

    async def _withdraw(self):
        """Append the pending withdrawals of undecided records, until cancelled."""
        while True:
            await self.changes.wait_until(lambda: self.up and self.withdrawals)
            record = self.withdrawals[0]
            try:
                if self.head.verdict_on(record.body.record_id) is None:
                    await self._append(record, AppendAttempts())
            except ChangeRefusedError as error:
                logger.warning("withdrawal not appended, retrying", reason=str(error))
                continue
            self.withdrawals.pop(0)

    async def run(self):
        """Follow the log and append withdrawals until cancelled."""
        async with anyio.create_task_group() as task_group:
            task_group.start_soon(self._follow)
            task_group.start_soon(self._withdraw)

    async def _append_once(self, record, text, attempts):
        """Append ``record`` once and wait until it is read back.

        After a lost reply the wait ends with the log service's timeout. Raises
        ``ChangeRefusedError`` when the log refuses the payload, or when the log is
        unreachable and no attempt can have appended the record.
        """
        attempts.unanswered = True
        try:
            await self.client.append(records.FLEET_STREAM, text)
            attempts.maybe_appended = True
            await self._wait_for_verdict(record.id)
        except PayloadRefusedError as error:
            attempts.unanswered = False
            raise ChangeRefusedError(str(error)) from error
        except LogUnavailableError as error:
            attempts.unanswered = False
            if not (self.up or attempts.maybe_appended):
                raise ChangeRefusedError(f"{NOTHING_APPENDED} ({error})") from error
            await anyio.sleep(self.settings.retry_pause)
        except LogServiceError:
            attempts.maybe_appended = True
            with anyio.move_on_after(self.settings.timeout):
                await self._wait_for_verdict(record.id)

    async def _append(self, record, attempts):
        """Append ``record`` until it is read back; return the ``Verdict`` on it.

        A repeat of the same id is folded once, so the record may be appended again
        whenever it is unknown whether the last attempt took effect.
        """
        text = wire.encode_record(record)
        while True:
            await self._append_once(record, text, attempts)
            verdict = self.head.verdict_on(record.id)
            if verdict is not None:
                return verdict

    async def _wait_for_verdict(self, record_id):
        await self.changes.wait_until(
            lambda: self.head.verdict_on(record_id) is not None
        )

    def _check_writable(self, body):
        if self.outdated:
            raise ChangeRefusedError(f"this daemon is outdated: {self.outdated}")
        adopts = isinstance(body, records.FormatAdopted)
        if adopts and body.format > wire.FORMAT:
            raise ChangeRefusedError(f"this daemon reads formats up to {wire.FORMAT}")
        if not (self.up and self.in_force):
            fault = self.fault or "still reading"
            raise ChangeRefusedError(f"{NOTHING_APPENDED} ({fault})")

    async def change(self, body, author, asked_by, now, timeout=CHANGE_TIMEOUT_SECONDS):
        """Append a change and return its ``Verdict`` once it is read back.

        ``now`` is in seconds since the epoch. Raises ``ChangeRefusedError`` when
        certainly nothing was appended within ``timeout`` seconds, and
        ``ChangeUndecidedError`` when that is unknown. In that case the record is
        withdrawn as soon as the log answers, so it counts only if it was appended
        before its withdrawal.
        """
        self._check_writable(body)
        until = self.head.next_offset + fleet.RECORD_LIFETIME_OFFSETS
        record = records.new_record(body, author, asked_by, now, until)
        attempts = AppendAttempts()
        self.pending_changes += 1
        try:
            with anyio.move_on_after(timeout):
                return await self._append(record, attempts)
        finally:
            self.pending_changes -= 1
        verdict = self.head.verdict_on(record.id)
        if verdict is not None:
            return verdict
        if not (attempts.unanswered or attempts.maybe_appended):
            raise ChangeRefusedError(NOTHING_APPENDED)
        withdrawal = records.Withdrawn(record.id)
        until = self.head.next_offset + fleet.RECORD_LIFETIME_OFFSETS
        self.withdrawals.append(
            records.new_record(withdrawal, author, asked_by, now, until)
        )
        self.changes.notify()
        raise ChangeUndecidedError(record.id)
