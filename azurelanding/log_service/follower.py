"""Follow the fleet's stream and append to it."""

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

SETTLE_SECONDS = 5.0
NOTHING_APPENDED = "the log service can't be reached; nothing was appended"


class ChangeRefusedError(Exception):
    """A change was not accepted; the message says why."""


class ChangeUndecidedError(ChangeRefusedError):
    """Whether the record ``record_id`` counts shows only once the log answers."""

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
    """Records were trimmed that no snapshot covers."""


@attrs.define
class Attempts:
    """What is known of the attempts to append one record.

    ``open`` says that the last one has no answer yet, ``landed`` that one of them
    took effect or may have.
    """

    open: bool = False
    landed: bool = False


class FleetFollower:
    """The fleet's state as far as this daemon has read the log.

    ``head`` is the state after the last record folded. It is in force, as
    ``state``, once it is known to be no older than what was in force before;
    until then ``state`` is blank. ``changes`` wakes those who follow the state.
    ``up`` tells whether the last exchange with the log succeeded, and ``fault``
    why not; ``changing`` counts the changes that wait to be read back. The log keeps
    the offsets from ``first`` up to but not ``end``.
    """

    def __init__(self, client, settings):
        self.client = client
        self.settings = settings
        self.head = fleet.FleetState()
        self.blank = fleet.FleetState()
        self.in_force = False
        self.awaited = 0
        self.recent = RecentEntries()
        self.changes = Notifier()
        self.withdrawn = []
        self.up = False
        self.up_since = 0.0
        self.fault = "not read yet"
        self.failed_reads = 0
        self.changing = 0
        self.first = self.end = 1

    @classmethod
    def from_config(cls, client, settings):
        """Return a follower that reads through ``client``."""
        return cls(client, settings)

    @property
    def state(self):
        """Return the fleet's state in force at this daemon."""
        return self.head if self.in_force else self.blank

    @property
    def outdated(self):
        """Return why this daemon may not write to the log, or an empty text."""
        if self.head.format <= wire.FORMAT:
            return ""
        return f"format {self.head.format} was adopted; it reads {wire.FORMAT}"

    def await_offset(self, next_offset):
        """Put nothing in force before ``next_offset`` is reached.

        A fellow has heard of it, so that a state before it would revert.
        """
        self.awaited = max(self.awaited, next_offset)

    def put_in_force(self):
        """Put the head in force unless it is empty or lower than awaited."""
        reached = self.head.next_offset >= self.awaited
        if self.in_force or not reached:
            return
        self.in_force = True
        logger.info("state in force", next_offset=self.head.next_offset)
        self.changes.notify()

    def fold_entry(self, offset, text):
        """Fold the payload at ``offset``; return its ``Verdict`` or ``None``."""
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
        """Fold ``entries`` that a fellow daemon has read from the log."""
        for entry in entries:
            if entry.offset == self.head.next_offset:
                self.fold_entry(entry.offset, entry.data)
        self.changes.notify()

    def replace_state(self, state):
        """Take ``state`` in place of the head if it is higher; tell whether."""
        if state.next_offset <= self.head.next_offset:
            return False
        logger.info("state installed", next_offset=state.next_offset)
        self.head = state
        self.recent.clear()
        self.changes.notify()
        return True

    def entries_from(self, first, limit):
        """Return up to ``limit`` recent entries from offset ``first`` on."""
        return self.recent.since(first, limit)

    def _note_up(self, fault=""):
        self.failed_reads += bool(fault)
        if fault != self.fault:
            self.fault = fault
            self.changes.notify()
        if self.up == (not fault):
            return
        self.up = not fault
        self.up_since = anyio.current_time()
        report = logger.info if self.up else logger.warning
        report("log service reachable" if self.up else "log service lost", reason=fault)

    async def _load_snapshot(self):
        state = await snapshots.read_newest(self.client)
        if state is not None:
            self.replace_state(state)

    async def _close_gap(self, first):
        """Go on from a snapshot where the log was trimmed up to ``first``."""
        missing = self.head.next_offset
        await self._load_snapshot()
        if self.head.next_offset < first:
            message = f"records {missing} to {first - 1} are trimmed"
            raise LogGapError(f"{message} and no snapshot covers them")

    async def read_once(self):
        """Fold what the log has beyond the head, or wait for it.

        Raises ``LogServiceError`` when the log can't be followed.
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

    def _may_rest(self, start):
        """Tell whether a read from ``start`` brought all that the log has."""
        brought = self.head.next_offset > start
        return brought and self.head.next_offset >= self.end and not self.changing

    async def _follow(self):
        loaded = False
        while True:
            try:
                if not loaded:
                    await self._load_snapshot()
                    loaded = True
                start = self.head.next_offset
                await self.read_once()
                self._note_up()
                if self._may_rest(start):
                    await anyio.sleep(self.settings.batch)
            except LogServiceError as error:
                self._note_up(str(error))
                await anyio.sleep(self.settings.retry_pause)

    async def _withdraw(self):
        """Withdraw the records whose fate was left open, until cancelled."""
        while True:
            await self.changes.wait_until(lambda: self.up and self.withdrawn)
            record = self.withdrawn[0]
            try:
                if self.head.verdict_on(record.body.record_id) is None:
                    await self._append(record, Attempts())
            except ChangeRefusedError as error:
                logger.warning("not yet withdrawn", reason=str(error))
                continue
            self.withdrawn.pop(0)

    async def run(self):
        """Follow the log until cancelled."""
        async with anyio.create_task_group() as task_group:
            task_group.start_soon(self._follow)
            task_group.start_soon(self._withdraw)

    async def _append_once(self, record, text, attempts):
        """Append ``record`` and wait until it is read back."""
        attempts.open = True
        try:
            await self.client.append(records.FLEET_STREAM, text)
            attempts.landed = True
            await self._wait_for(record.id)
        except PayloadRefusedError as error:
            attempts.open = False
            raise ChangeRefusedError(str(error)) from error
        except LogUnavailableError as error:
            attempts.open = False
            if not (self.up or attempts.landed):
                raise ChangeRefusedError(f"{NOTHING_APPENDED} ({error})") from error
            await anyio.sleep(self.settings.retry_pause)
        except LogServiceError:
            attempts.landed = True
            with anyio.move_on_after(self.settings.timeout):
                await self._wait_for(record.id)

    async def _append(self, record, attempts):
        """Append ``record`` until it has been read back; return the ``Verdict``.

        A repeat of the same id is folded once, so it may be appended again
        whenever its reply was lost or its fate is not known.
        """
        text = wire.encode_record(record)
        while True:
            await self._append_once(record, text, attempts)
            verdict = self.head.verdict_on(record.id)
            if verdict is not None:
                return verdict

    async def _wait_for(self, record_id):
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

    async def change(self, body, author, asked_by, now, timeout=SETTLE_SECONDS):
        """Append a change and return its ``Verdict`` once it is read back.

        ``now`` is in seconds since the epoch. Raises ``ChangeRefusedError``
        when the log surely took nothing within ``timeout`` seconds, and
        ``ChangeUndecidedError`` when that is not known; the record is then
        withdrawn as soon as the log answers, so that it counts only if it was
        appended before that.
        """
        self._check_writable(body)
        until = self.head.next_offset + fleet.RECORD_LIFETIME_OFFSETS
        record = records.new_record(body, author, asked_by, now, until)
        attempts = Attempts()
        self.changing += 1
        try:
            with anyio.move_on_after(timeout):
                return await self._append(record, attempts)
        finally:
            self.changing -= 1
        verdict = self.head.verdict_on(record.id)
        if verdict is not None:
            return verdict
        if not (attempts.open or attempts.landed):
            raise ChangeRefusedError(NOTHING_APPENDED)
        withdrawal = records.Withdrawn(record.id)
        until = self.head.next_offset + fleet.RECORD_LIFETIME_OFFSETS
        self.withdrawn.append(
            records.new_record(withdrawal, author, asked_by, now, until)
        )
        self.changes.notify()
        raise ChangeUndecidedError(record.id)
