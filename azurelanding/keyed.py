"""Run each request with an idempotency key at most once across all entries.

A request is claimed in the log before it is sent, and only the holder of the claim
runs it. Every other request with the same key gets the holder's answer, from this
process or from a peer entry, or the outcome unknown when that answer is not
available.
"""

import collections
import http

import anyio
import attrs

from azurelanding import claims, dispatch
from azurelanding.admission import Ticket
from azurelanding.requests import Answer, Outcome, RefusalReason, refuse, unknown

RETRY_AFTER_SECONDS = 1.0
KEY_REFUSAL_STATUS = {
    RefusalReason.KEY_EXPIRED: http.HTTPStatus.GONE,
    RefusalReason.KEY_IN_FUTURE: http.HTTPStatus.BAD_REQUEST,
    RefusalReason.KEY_ISSUE_REQUIRED: http.HTTPStatus.BAD_REQUEST,
    RefusalReason.KEY_REUSED: http.HTTPStatus.UNPROCESSABLE_ENTITY,
}


@attrs.define(eq=False)
class KeyedRun:
    """A keyed request that this entry claims or runs.

    ``scope`` is cancelled when all ``waiting_callers`` have left before a byte was
    written. ``ticket`` is ``None`` until the claim is won. ``has_issue_time`` says
    whether the issue time comes from the key or the caller; otherwise it is the time
    of arrival.
    """

    claim: claims.Claim
    has_issue_time: bool
    waiting_callers: int = 0
    ticket: Ticket | None = None
    answer: Answer | None = None
    done: anyio.Event = attrs.field(factory=anyio.Event)
    scope: anyio.CancelScope = attrs.field(factory=anyio.CancelScope)

    def may_have_run(self):
        """Return whether a byte of the request may have reached a target."""
        return self.ticket is not None and self.ticket.unresolved_attempts > 0


class AnswerCache:
    """Recent answers by claim id, limited by age in seconds and by total bytes."""

    def __init__(self, max_age, max_bytes):
        self.max_age = max_age
        self.max_bytes = max_bytes
        self.bytes = 0
        self.answers = collections.OrderedDict()

    def add(self, claim_id, answer, now):
        """Store ``answer`` and drop the oldest ones while a limit is exceeded."""
        self.answers[claim_id] = (answer, now)
        self.bytes += len(answer.body)
        while self.answers:
            oldest, stored_at = next(iter(self.answers.values()))
            if self.bytes <= self.max_bytes and now - stored_at < self.max_age:
                return
            self.answers.popitem(last=False)
            self.bytes -= len(oldest.body)

    def find(self, claim_id):
        """Return the stored answer, or ``None``."""
        stored = self.answers.get(claim_id)
        return None if stored is None else stored[0]


def _key_refusal(reason):
    return Answer(Outcome.NOT_RUN, KEY_REFUSAL_STATUS[reason], reason=reason)


class KeyedRequests:
    """The keyed requests that this entry runs or ran.

    ``fetch(address, claim_id, wait)`` asks the peer entry at ``address`` for its
    answer, waits for it up to ``wait`` seconds, and returns it or ``None``.
    """

    def __init__(self, stream, queues, settings, fetch):
        self.stream = stream
        self.queues = queues
        self.settings = settings
        self.fetch = fetch
        self.runs = {}
        self.runs_by_id = {}
        self.recent_answers = AnswerCache(settings.answer_keep, settings.answer_bytes)

    @classmethod
    def from_config(cls, settings, stream, queues, fetch):
        """Create an instance that claims keys through ``stream``."""
        return cls(stream, queues, settings, fetch)

    def start(self, task_group):
        """Use ``task_group`` for the tasks of requests, which outlive their callers."""
        self.task_group = task_group

    def _check_key(self, request):
        """Return the key's issue time or ``None``, and its refusal or ``None``."""
        issued_at = claims.issue_time(request.key, request.key_issued_at)
        if issued_at is not None:
            return issued_at, self._check_age(issued_at)
        if self.settings.require_issued:
            return None, _key_refusal(RefusalReason.KEY_ISSUE_REQUIRED)
        return None, None

    def _check_age(self, issued_at):
        """Return the refusal of a key issued at ``issued_at``, or ``None``."""
        self.stream.update_clock()
        age_refusal = claims.check_age(self.stream.state, issued_at)
        return None if age_refusal is None else _key_refusal(age_refusal.value)

    async def _answer_from_holder(self, holder, request, digest):
        """Return the answer of the process that holds the key.

        The outcome is unknown when the holder can't be reached or has no answer
        before the request's deadline.
        """
        if holder.digest != digest:
            return _key_refusal(RefusalReason.KEY_REUSED)
        wait = max(0.0, request.deadline - anyio.current_time())
        answer = None
        if holder.owner == self.stream.author:
            answer = await self.find_answer(holder.id, wait)
        elif wait > 0.0:
            answer = await self.fetch(holder.address, holder.id, wait)
        return answer or unknown(None, RefusalReason.KEY_TAKEN)

    async def _dispatch(self, run, request, rule):
        """Run the claimed request; release the claim if no byte was written."""
        run.ticket = Ticket(request, rule)
        try:
            return await dispatch.run_ticket(run.ticket, self.queues)
        finally:
            if not run.may_have_run():
                self.stream.release(run.claim)

    async def _claim(self, run, deadline):
        """Claim the key if it is free; return the claim that then holds it.

        Returns ``None`` when the log does not confirm a holder before ``deadline``.
        """
        holder = self.stream.state.holder(run.claim.key)
        if holder is None:
            with anyio.move_on_at(deadline):
                holder = await self.stream.claim(run.claim)
        return holder

    async def _run_claimed(self, run, request, rule):
        """Run the request, unless its key is now too old for the claims stream.

        The age is checked again because the stream may have been read only since
        the first check: an older claim of the key may have been trimmed from it.
        """
        refusal = self._check_age(run.claim.issued_at) if run.has_issue_time else None
        if refusal is not None:
            self.stream.release(run.claim)
            return refusal
        return await self._dispatch(run, request, rule)

    async def _claim_and_run(self, run, request, rule):
        """Run the request if it wins the key, else return the holder's answer.

        If the holder did not run its request, it frees the key, and this request
        claims it again.
        """
        while True:
            holder = await self._claim(run, request.deadline)
            if holder is None:
                return refuse(RefusalReason.LOG_UNAVAILABLE, RETRY_AFTER_SECONDS)
            if holder.id == run.claim.id:
                return await self._run_claimed(run, request, rule)
            answer = await self._answer_from_holder(holder, request, run.claim.digest)
            reused = answer.reason is RefusalReason.KEY_REUSED
            if answer.outcome is not Outcome.NOT_RUN or reused:
                return answer
            with anyio.move_on_at(request.deadline):
                await self.stream.wait_until_freed(holder)
            if anyio.current_time() >= request.deadline:
                return answer

    def _finish(self, run, answer):
        run.answer = answer
        run.done.set()
        self.runs.pop(run.claim.key, None)
        self.runs_by_id.pop(run.claim.id, None)
        self.recent_answers.add(run.claim.id, answer, anyio.current_time())

    async def _run_to_completion(self, run, request, rule):
        """Complete ``run``, whether or not a caller still waits for it."""
        answer = None
        try:
            with run.scope:
                answer = await self._claim_and_run(run, request, rule)
        finally:
            ticket_answer = run.ticket.answer if run.ticket is not None else None
            cancelled = refuse(RefusalReason.CANCELLED, RETRY_AFTER_SECONDS)
            self._finish(run, answer or ticket_answer or cancelled)

    async def _wait_for_answer(self, run, deadline):
        """Wait for the answer of ``run`` until ``deadline``, else return ``None``.

        The last caller that stops waiting cancels a run that has written nothing.
        """
        run.waiting_callers += 1
        try:
            with anyio.move_on_at(deadline):
                await run.done.wait()
        finally:
            run.waiting_callers -= 1
            if (
                run.answer is None
                and not run.waiting_callers
                and not run.may_have_run()
            ):
                run.scope.cancel()
        return run.answer

    async def _join_run(self, run, request):
        """Return the answer of ``run``, which already runs the same operation."""
        answer = await self._wait_for_answer(run, request.deadline)
        return answer or unknown(None, RefusalReason.KEY_TAKEN)

    async def _wait_for_conflicting_run(self, run, request):
        """Refuse a key that ``run`` holds for a different operation.

        Returns ``None`` when ``run`` ended first and the key must be checked again.
        A run that has not won its claim is waited for: ``run`` itself may be the one
        that reuses the key.
        """
        if run.ticket is None:
            with anyio.move_on_at(request.deadline):
                await run.done.wait()
                return None
        return _key_refusal(RefusalReason.KEY_REUSED)

    async def run(self, request, rule):
        """Return the ``Answer`` to a request with a key.

        All callers that send the same operation with the same key get one answer.
        """
        issued_at, refusal = self._check_key(request)
        if refusal is not None:
            return refusal
        has_issue_time = issued_at is not None
        claim = self.stream.make_claim(
            request, issued_at if has_issue_time else self.stream.update_clock()
        )
        while (run := self.runs.get(claim.key)) is not None:
            if run.claim.digest == claim.digest:
                return await self._join_run(run, request)
            refusal = await self._wait_for_conflicting_run(run, request)
            if refusal is not None:
                return refusal
        run = self.runs[claim.key] = self.runs_by_id[claim.id] = KeyedRun(
            claim, has_issue_time
        )
        self.task_group.start_soon(self._run_to_completion, run, request, rule)
        answer = await self._wait_for_answer(
            run, request.deadline + dispatch.ANSWER_GRACE_SECONDS
        )
        return answer or unknown(None)

    async def find_answer(self, claim_id, wait):
        """Return the answer to the request that this entry claimed as ``claim_id``.

        Waits up to ``wait`` seconds for a request in progress. Returns ``None`` if
        there is no answer by then or the claim is not known.
        """
        run = self.runs_by_id.get(claim_id)
        if run is None:
            return self.recent_answers.find(claim_id)
        with anyio.move_on_after(wait):
            await run.done.wait()
        return run.answer
