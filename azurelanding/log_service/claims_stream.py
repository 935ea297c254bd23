"""Append claims to the log in groups and follow those of every process."""

import contextlib
import time
import uuid

import anyio
import attrs
import structlog

from azurelanding import claims
from azurelanding.log_service import wire
from azurelanding.log_service.client import (
    LogClient,
    LogServiceError,
    PayloadRefusedError,
)
from azurelanding.utils import Notifier

logger = structlog.get_logger()

MAX_CLAIMS = 1000
FORGET_SECONDS = 10.0
REPLY_GRACE_SECONDS = 0.1


@attrs.define(eq=False)
class _Waiter:
    """One claim that waits to be read back; ``winner`` then holds its key."""

    claim: claims.Claim
    winner: claims.Claim | None = None
    decided: anyio.Event = attrs.field(factory=anyio.Event)


class ClaimsStream:
    """The claims stream as far as this process has read it.

    One append is in flight at a time and carries all that waits. ``author`` is
    the incarnation of this process and ``address`` where its fellows reach it.
    """

    def __init__(self, client, settings, log_settings, author, address):
        self.client = client
        self.settings = settings
        self.log_settings = log_settings
        self.author = author
        self.address = address
        self.state = claims.ClaimsState(settings.window)
        self.waiters = {}
        self.unsent = {}
        self.unreleased = {}
        self.work = anyio.Event()
        self.changes = Notifier()
        self.in_flight = None
        self.in_flight_id = None

    @classmethod
    def from_config(cls, settings, log_settings, author, address):
        """Return a stream on connections of its own to the log service."""
        client = LogClient.from_config(log_settings)
        return cls(client, settings, log_settings, author, address)

    def update_clock(self):
        """Bring the clock of the state up to date and return it."""
        claims.advance_clock(self.state, time.time())
        return self.state.clock

    def make_claim(self, request, issued_at):
        """Return a claim of this process for ``request``."""
        return claims.Claim(
            claims.scoped_key(request),
            request.id,
            claims.request_digest(request),
            issued_at,
            self.author,
            self.address,
        )

    async def claim(self, claim):
        """Return the claim that holds the key, once that is read from the log.

        A task that is cancelled meanwhile gives the claim up: it is not sent, or
        is released when it turns out to hold the key.
        """
        waiter = _Waiter(claim)
        self.waiters[claim.id] = self.unsent[claim.id] = waiter
        self.work.set()
        try:
            await waiter.decided.wait()
        except anyio.get_cancelled_exc_class():
            if waiter.winner is not None and waiter.winner.id == claim.id:
                self.release(claim)
            raise
        finally:
            self.waiters.pop(claim.id, None)
            self.unsent.pop(claim.id, None)
        return waiter.winner

    async def wait_until_freed(self, claim):
        """Return once ``claim`` no longer holds its key."""
        await self.changes.wait_until(lambda: self.state.holder(claim.key) is not claim)

    def release(self, claim):
        """Free the key of ``claim``, which was not and will not be dispatched."""
        self.unreleased[claim.id] = claims.Release(claim.key, claim.id)
        self.work.set()

    def _settle(self, claim):
        """Tell the task that waits for ``claim`` who holds its key."""
        waiter = self.waiters.pop(claim.id, None)
        winner = self.state.holder(claim.key)
        if waiter is not None:
            self.unsent.pop(claim.id, None)
            waiter.winner = winner
            waiter.decided.set()

    def _install(self, entry):
        try:
            batch = wire.decode_claims(entry.data)
        except wire.RecordFormatError as error:
            logger.error("claims quarantined", offset=entry.offset, reason=str(error))
            self.state.next_offset = entry.offset + 1
            return
        won = claims.fold(self.state, entry.offset, batch)
        if batch.releases:
            self.changes.notify()
        if batch.author != self.author:
            return
        for claim in won:
            if claim.id not in self.waiters:
                self.release(claim)
        for claim in batch.claims:
            self._settle(claim)
        for release in batch.releases:
            self.unreleased.pop(release.id, None)
        if batch.id == self.in_flight_id and self.in_flight is not None:
            self.in_flight.deadline = anyio.current_time() + REPLY_GRACE_SECONDS

    def _note_gap(self, batch):
        """Raise the horizon when the log trimmed records that were not read."""
        if batch.first <= self.state.next_offset:
            return
        made_at = self.update_clock()
        if batch.entries:
            with contextlib.suppress(wire.RecordFormatError):
                made_at = wire.decode_claims(batch.entries[0].data).made_at
        claims.raise_horizon(self.state, made_at)
        self.state.next_offset = batch.first
        logger.warning("claims trimmed before they were read", first=batch.first)

    async def _read_once(self):
        batch = await self.client.read(
            claims.CLAIMS_STREAM, self.state.next_offset, self.log_settings.poll
        )
        self._note_gap(batch)
        for entry in batch.entries:
            self._install(entry)

    async def _follow(self):
        while True:
            try:
                await self._read_once()
            except LogServiceError as error:
                logger.debug("claims unreadable", reason=str(error))
                await anyio.sleep(self.log_settings.retry_pause)

    def _next_batch(self):
        """Return a batch of all that waits, up to the limit."""
        waiters = list(self.unsent.values())[:MAX_CLAIMS]
        releases = list(self.unreleased.values())[:MAX_CLAIMS]
        return claims.ClaimBatch(
            uuid.uuid4().hex,
            self.author,
            self.address,
            self.update_clock(),
            tuple(waiter.claim for waiter in waiters),
            tuple(releases),
        )

    async def _append(self, batch):
        """Append ``batch``; stop waiting for the reply once it is read back."""
        self.in_flight_id = batch.id
        with anyio.CancelScope() as self.in_flight:
            await self.client.append(claims.CLAIMS_STREAM, wire.encode_claims(batch))
        self.in_flight = None

    async def _append_next(self):
        """Append what waits; what is not read back then is sent again.

        A repeat is harmless, since a claim's id is folded once.
        """
        batch = self._next_batch()
        try:
            await self._append(batch)
        except PayloadRefusedError as error:
            logger.error("claims refused", reason=str(error))
        except LogServiceError as error:
            logger.debug("claims not appended", reason=str(error))
            await anyio.sleep(self.log_settings.retry_pause)
            return
        for claim in batch.claims:
            self.unsent.pop(claim.id, None)
        for release in batch.releases:
            self.unreleased.pop(release.id, None)

    async def _commit(self):
        while True:
            await self.work.wait()
            if not self.unsent and not self.unreleased:
                self.work = anyio.Event()
                continue
            await self._append_next()
            await anyio.sleep(self.settings.commit_interval)

    async def _forget(self):
        while True:
            await anyio.sleep(FORGET_SECONDS)
            self.update_clock()
            claims.forget_expired(self.state)

    def start(self, task_group):
        """Follow the stream and append to it in tasks of ``task_group``."""
        task_group.start_soon(self._follow)
        task_group.start_soon(self._commit)
        task_group.start_soon(self._forget)

    async def close(self):
        """Close the connections; may be called twice."""
        await self.client.close()
