"""Run requests with a key at most once, whichever entry they reach.

A request is claimed in the log before it is sent. Whoever holds the claim runs
it; every other arrival of the same key gets the holder's answer, from this
process or from a fellow entry, or is told truthfully that it is unknown.
"""

import collections
import http

import anyio
import attrs

from azurelanding import claims, dispatch
from azurelanding.admission import Ticket
from azurelanding.requests import Answer, Outcome, RefusalReason, refuse, unknown

RETRY_AFTER_SECONDS = 1.0
STATUS_OF = {
    RefusalReason.KEY_EXPIRED: http.HTTPStatus.GONE,
    RefusalReason.KEY_IN_FUTURE: http.HTTPStatus.BAD_REQUEST,
    RefusalReason.KEY_ISSUE_REQUIRED: http.HTTPStatus.BAD_REQUEST,
    RefusalReason.KEY_REUSED: http.HTTPStatus.UNPROCESSABLE_ENTITY,
}


@attrs.define(eq=False)
class Run:
    """One claimed request on its way; ``arrivals`` counts the callers waiting.

    ``scope`` is cancelled when all of them have left before anything was
    written. ``ticket`` is ``None`` until the claim is won. ``dated`` says that
    the key itself tells when it was issued.
    """

    claim: claims.Claim
    dated: bool
    arrivals: int = 0
    ticket: Ticket | None = None
    answer: Answer | None = None
    done: anyio.Event = attrs.field(factory=anyio.Event)
    scope: anyio.CancelScope = attrs.field(factory=anyio.CancelScope)

    def may_have_run(self):
        """Tell whether a byte of the request may have reached a target."""
        return self.ticket is not None and self.ticket.unresolved_attempts > 0


class KeptAnswers:
    """Answers by claim id, for a time and up to a number of bytes."""

    def __init__(self, keep, max_bytes):
        self.keep = keep
        self.max_bytes = max_bytes
        self.bytes = 0
        self.answers = collections.OrderedDict()

    def add(self, claim_id, answer, now):
        """Keep ``answer``; drop the oldest ones that are past the limits."""
        self.answers[claim_id] = (answer, now)
        self.bytes += len(answer.body)
        while self.answers:
            oldest, kept_at = next(iter(self.answers.values()))
            if self.bytes <= self.max_bytes and now - kept_at < self.keep:
                return
            self.answers.popitem(last=False)
            self.bytes -= len(oldest.body)

    def find(self, claim_id):
        """Return the kept answer, or ``None``."""
        kept = self.answers.get(claim_id)
        return None if kept is None else kept[0]


def _refuse_key(reason):
    return Answer(Outcome.NOT_RUN, STATUS_OF[reason], reason=reason)


class KeyedRequests:
    """The keyed requests that this entry runs or ran.

    ``fetch(address, claim_id, wait)`` returns the answer that a fellow has, or
    ``None``.
    """

    def __init__(self, stream, queues, settings, fetch):
        self.stream = stream
        self.queues = queues
        self.settings = settings
        self.fetch = fetch
        self.runs = {}
        self.runs_by_id = {}
        self.kept = KeptAnswers(settings.answer_keep, settings.answer_bytes)

    @classmethod
    def from_config(cls, settings, stream, queues, fetch):
        """Return an empty set of runs that claims through ``stream``."""
        return cls(stream, queues, settings, fetch)

    def start(self, task_group):
        """Run requests in tasks of ``task_group``, which outlive their callers."""
        self.task_group = task_group

    def _check_key(self, request):
        """Return the issue time of the key, if it tells one, and a refusal if any."""
        issued_at = claims.issue_time(request.key, request.key_issued_at)
        if issued_at is not None:
            return issued_at, self._check_age(issued_at)
        if self.settings.require_issued:
            return None, _refuse_key(RefusalReason.KEY_ISSUE_REQUIRED)
        return None, None

    def _check_age(self, issued_at):
        """Return the refusal of a key issued at ``issued_at``, or ``None``."""
        self.stream.update_clock()
        fault = claims.check_age(self.stream.state, issued_at)
        return None if fault is None else _refuse_key(fault.value)

    async def _take_from_holder(self, holder, request, digest):
        """Return the answer of the process that holds the key."""
        if holder.digest != digest:
            return _refuse_key(RefusalReason.KEY_REUSED)
        wait = max(0.0, request.deadline - anyio.current_time())
        answer = None
        if holder.owner == self.stream.author:
            answer = await self.find_answer(holder.id, wait)
        elif wait > 0.0:
            answer = await self.fetch(holder.address, holder.id, wait)
        return answer or unknown(None, RefusalReason.KEY_TAKEN)

    async def _dispatch(self, run, request, rule):
        """Run the claimed request; release its claim when nothing was written."""
        run.ticket = Ticket(request, rule)
        try:
            return await dispatch.run_ticket(run.ticket, self.queues)
        finally:
            if not run.may_have_run():
                self.stream.release(run.claim)

    async def _claim(self, run, deadline):
        """Return the claim that holds the key, or ``None`` when none does in time."""
        holder = self.stream.state.holder(run.claim.key)
        if holder is None:
            with anyio.move_on_at(deadline):
                holder = await self.stream.claim(run.claim)
        return holder

    async def _run_claimed(self, run, request, rule):
        """Run the request, unless the stream was read only now and is too short.

        An older claim of the key may then have been trimmed from the log.
        """
        refusal = self._check_age(run.claim.issued_at) if run.dated else None
        if refusal is not None:
            self.stream.release(run.claim)
            return refusal
        return await self._dispatch(run, request, rule)

    async def _claim_and_run(self, run, request, rule):
        """Run the request if it wins its key, else return the holder's answer.

        A holder that did not run it frees the key, which is then claimed again.
        """
        while True:
            holder = await self._claim(run, request.deadline)
            if holder is None:
                return refuse(RefusalReason.LOG_UNAVAILABLE, RETRY_AFTER_SECONDS)
            if holder.id == run.claim.id:
                return await self._run_claimed(run, request, rule)
            answer = await self._take_from_holder(holder, request, run.claim.digest)
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
        self.kept.add(run.claim.id, answer, anyio.current_time())

    async def _carry(self, run, request, rule):
        """Bring ``run`` to its end, whether or not a caller still waits."""
        answer = None
        try:
            with run.scope:
                answer = await self._claim_and_run(run, request, rule)
        finally:
            ticket_answer = run.ticket.answer if run.ticket is not None else None
            cancelled = refuse(RefusalReason.CANCELLED, RETRY_AFTER_SECONDS)
            self._finish(run, answer or ticket_answer or cancelled)

    async def _await(self, run, deadline):
        """Return the answer of ``run``; the last caller to leave may cancel it."""
        run.arrivals += 1
        try:
            with anyio.move_on_at(deadline):
                await run.done.wait()
        finally:
            run.arrivals -= 1
            if run.answer is None and not run.arrivals and not run.may_have_run():
                run.scope.cancel()
        return run.answer

    async def _join(self, run, request):
        """Return the answer to the same operation that is under way already."""
        answer = await self._await(run, request.deadline)
        return answer or unknown(None, RefusalReason.KEY_TAKEN)

    async def _wait_for_other(self, run, request):
        """Return a refusal when another operation holds the key, else ``None``.

        One that has not won its claim may be the one that reuses the key.
        """
        if run.ticket is None:
            with anyio.move_on_at(request.deadline):
                await run.done.wait()
                return None
        return _refuse_key(RefusalReason.KEY_REUSED)

    async def run(self, request, rule):
        """Return the ``Answer`` to a request with a key.

        The answer to another arrival of the same key stands for all of them.
        """
        issued_at, refusal = self._check_key(request)
        if refusal is not None:
            return refusal
        dated = issued_at is not None
        claim = self.stream.make_claim(
            request, issued_at if dated else self.stream.update_clock()
        )
        while (run := self.runs.get(claim.key)) is not None:
            if run.claim.digest == claim.digest:
                return await self._join(run, request)
            refusal = await self._wait_for_other(run, request)
            if refusal is not None:
                return refusal
        run = self.runs[claim.key] = self.runs_by_id[claim.id] = Run(claim, dated)
        self.task_group.start_soon(self._carry, run, request, rule)
        answer = await self._await(run, request.deadline + dispatch.GRACE_SECONDS)
        return answer or unknown(None)

    async def find_answer(self, claim_id, wait):
        """Return the answer to the request claimed here as ``claim_id``.

        It is waited for up to ``wait`` seconds, and ``None`` if not known.
        """
        run = self.runs_by_id.get(claim_id)
        if run is None:
            return self.kept.find(claim_id)
        with anyio.move_on_after(wait):
            await run.done.wait()
        return run.answer
