"""Append claims to the log in batches and follow the claims of every process."""

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

MAX_CLAIMS_PER_BATCH = 1000
EXPIRY_INTERVAL_SECONDS = 10.0
REPLY_GRACE_SECONDS = 0.1


@attrs.define(eq=False)
class _PendingClaim:
    """A claim that is not read back yet.

    ``decided`` is set once it is read back; ``winner`` is then the claim that holds
    the key.
    """

    claim: claims.Claim
    winner: claims.Claim | None = None
    decided: anyio.Event = attrs.field(factory=anyio.Event)


class ClaimsStream:
    """The state of the claims stream as this process has read it, and its appends.

    One append is in flight at a time and carries all that is pending, up to
    ``MAX_CLAIMS_PER_BATCH`` claims and as many releases. ``author`` is the
    incarnation of this process, ``address`` the one at which its peers reach it.
    """

    def __init__(self, client, settings, log_settings, author, address):
        self.client = client
        self.settings = settings
        self.log_settings = log_settings
        self.author = author
        self.address = address
        self.state = claims.ClaimsState(settings.window)
        self.pending_claims = {}
        self.unsent_claims = {}
        self.pending_releases = {}
        self.has_unsent = anyio.Event()
        self.changes = Notifier()
        self.append_scope = None
        self.append_id = None

    @classmethod
    def from_config(cls, settings, log_settings, author, address):
        """Return a stream with its own connections to the log service."""
        client = LogClient.from_config(log_settings)
        return cls(client, settings, log_settings, author, address)

    def update_clock(self):
        """Advance the clock of the state to the current time and return it."""
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
        """Append ``claim``; once it is read back, return the claim that holds the key.

        If the task is cancelled before that, the claim is abandoned: it is not
        sent, or it is released when it turns out to hold the key.
        """
        pending = _PendingClaim(claim)
        self.pending_claims[claim.id] = self.unsent_claims[claim.id] = pending
        self.has_unsent.set()
        try:
            await pending.decided.wait()
        except anyio.get_cancelled_exc_class():
            if pending.winner is not None and pending.winner.id == claim.id:
                self.release(claim)
            raise
        finally:
            self.pending_claims.pop(claim.id, None)
            self.unsent_claims.pop(claim.id, None)
        return pending.winner

    async def wait_until_freed(self, claim):
        """Return once ``claim`` no longer holds its key."""
        await self.changes.wait_until(lambda: self.state.holder(claim.key) is not claim)

    def release(self, claim):
        """Free the key of ``claim``, which was not and will not be dispatched."""
        self.pending_releases[claim.id] = claims.Release(claim.key, claim.id)
        self.has_unsent.set()

    def _resolve(self, claim):
        """Wake the task that waits for ``claim`` with the holder of its key."""
        pending = self.pending_claims.pop(claim.id, None)
        winner = self.state.holder(claim.key)
        if pending is not None:
            self.unsent_claims.pop(claim.id, None)
            pending.winner = winner
            pending.decided.set()

    def _fold_entry(self, entry):
        """Fold one entry of the stream; resolve the claims of this process in it.

        A claim of this process that holds its key although its task was cancelled
        is released. Once the append in flight is read back, its reply is waited for
        only ``REPLY_GRACE_SECONDS`` longer.
        """
        try:
            batch = wire.decode_claims(entry.data)
        except wire.RecordFormatError as error:
            logger.error(
                "unreadable claims skipped", offset=entry.offset, reason=str(error)
            )
            self.state.next_offset = entry.offset + 1
            return
        won = claims.fold(self.state, entry.offset, batch)
        if batch.releases:
            self.changes.notify()
        if batch.author != self.author:
            return
        for claim in won:
            if claim.id not in self.pending_claims:
                self.release(claim)
        for claim in batch.claims:
            self._resolve(claim)
        for release in batch.releases:
            self.pending_releases.pop(release.id, None)
        if batch.id == self.append_id and self.append_scope is not None:
            self.append_scope.deadline = anyio.current_time() + REPLY_GRACE_SECONDS

    def _skip_trimmed(self, batch):
        """Raise the horizon and skip ahead if the log trimmed entries not read yet.

        The horizon is that of the first remaining entry, or of the current time if
        there is none or it is unreadable.
        """
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
        self._skip_trimmed(batch)
        for entry in batch.entries:
            self._fold_entry(entry)

    async def _follow(self):
        while True:
            try:
                await self._read_once()
            except LogServiceError as error:
                logger.debug("claims stream not read", reason=str(error))
                await anyio.sleep(self.log_settings.retry_pause)

    def _next_batch(self):
        """Return a batch of the unsent claims and pending releases, up to the limit."""
        unsent = list(self.unsent_claims.values())[:MAX_CLAIMS_PER_BATCH]
        releases = list(self.pending_releases.values())[:MAX_CLAIMS_PER_BATCH]
        return claims.ClaimBatch(
            uuid.uuid4().hex,
            self.author,
            self.address,
            self.update_clock(),
            tuple(pending.claim for pending in unsent),
            tuple(releases),
        )

    async def _append(self, batch):
        """Append ``batch``; stop waiting for the reply soon after it is read back."""
        self.append_id = batch.id
        with anyio.CancelScope() as self.append_scope:
            await self.client.append(claims.CLAIMS_STREAM, wire.encode_claims(batch))
        self.append_scope = None

    async def _append_next(self):
        """Append what is pending; after a failure, send again what was not read back.

        A repeat is harmless, since a claim's id is folded once. A payload that the
        log refuses is dropped.
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
            self.unsent_claims.pop(claim.id, None)
        for release in batch.releases:
            self.pending_releases.pop(release.id, None)

    async def _append_pending(self):
        while True:
            await self.has_unsent.wait()
            if not self.unsent_claims and not self.pending_releases:
                self.has_unsent = anyio.Event()
                continue
            await self._append_next()
            await anyio.sleep(self.settings.commit_interval)

    async def _expire_keys(self):
        while True:
            await anyio.sleep(EXPIRY_INTERVAL_SECONDS)
            self.update_clock()
            claims.forget_expired(self.state)

    def start(self, task_group):
        """Read the stream, append to it and expire keys in tasks of ``task_group``."""
        task_group.start_soon(self._follow)
        task_group.start_soon(self._append_pending)
        task_group.start_soon(self._expire_keys)

    async def close(self):
        """Close the connections; may be called twice."""
        await self.client.close()
