"""Stand in for an executor: run requests in slots and record them in a ledger."""

import http
import random

import anyio
import attrs
import msgspec

from azurelanding import http_server
from azurelanding.requests import Outcome
from azurelanding.standins import knobs as knobs_module

LEDGER_PATH = "/ledger"
MAX_BODY_BYTES = 8 << 20
RUN_TIME_HEADER = b"standin-run-time"


@attrs.define
class ExecutorKnobs:
    """The run time and the injected faults of an executor; times are in seconds.

    ``answer_delay`` delays each answer after its run. ``cross`` sends the answer to
    the previous request instead, ``cut_short`` aborts the connection halfway through
    the answer. ``cross_share`` and ``cut_share`` are the probabilities of these two
    faults for each request; ``late_share`` is the probability that its answer is
    delayed by ``late_by`` in place of ``answer_delay``.
    """

    slots: int = 8
    run_time: float = 0.01
    answer_delay: float = 0.0
    fail_all: bool = False
    refuse_all: bool = False
    cross: bool = False
    cut_short: bool = False
    cross_share: float = 0.0
    cut_share: float = 0.0
    late_share: float = 0.0
    late_by: float = 0.0


@attrs.define
class LedgerLine:
    """One request that ran.

    ``key`` is its idempotency key or empty, the times are of the monotonic clock.
    """

    request_id: str
    service: str
    key: str
    body: str
    started_at: float
    finished_at: float | None = None


class Executor:
    """One executor and the ledger of its runs.

    ``peak`` is the highest number of concurrent runs so far.
    ``write_line(line)`` is called before each run, so that the ledger can be kept
    outside an executor that is killed.
    """

    def __init__(self, name, write_line=lambda line: None):
        self.name = name
        self.write_line = write_line
        self.random = random.Random(name)
        self.knobs = ExecutorKnobs()
        self.ledger = []
        self.running = 0
        self.peak = 0
        self.last_answer = ("", b"")

    async def _refuse(self, send, request_id):
        headers = (
            ("Azurelanding-Request-Id", request_id),
            ("Azurelanding-Outcome", Outcome.NOT_RUN.value),
        )
        await http_server.send_reply(
            send, http.HTTPStatus.SERVICE_UNAVAILABLE, headers, b""
        )

    async def _run(self, line, run_time):
        self.ledger.append(line)
        self.write_line(line)
        self.running += 1
        self.peak = max(self.peak, self.running)
        try:
            await anyio.sleep(run_time)
            line.finished_at = anyio.current_time()
        finally:
            self.running -= 1

    def _draw(self, share):
        return share > 0.0 and self.random.random() < share

    async def _send_answer(self, send, request_id, body):
        own_answer = (request_id, body)
        is_crossed = self.knobs.cross or self._draw(self.knobs.cross_share)
        sent_id, sent_body = self.last_answer if is_crossed else own_answer
        self.last_answer = own_answer
        headers = [
            (b"azurelanding-request-id", sent_id.encode()),
            (b"content-type", b"application/json"),
            (b"content-length", str(len(sent_body)).encode()),
        ]
        status = 500 if self.knobs.fail_all else 200
        await send(
            {"type": "http.response.start", "status": status, "headers": headers}
        )
        if self.knobs.cut_short or self._draw(self.knobs.cut_share):
            half = sent_body[: len(sent_body) // 2]
            await send({"type": "http.response.body", "body": half, "more_body": True})
            raise ConnectionAbortedError("fault injected: answer cut short")
        await send({"type": "http.response.body", "body": sent_body})

    async def _serve(self, scope, receive, send):
        headers = dict(scope["headers"])
        request_id = headers.get(b"azurelanding-request-id", b"").decode()
        body = await http_server.read_body(receive, MAX_BODY_BYTES)
        if self.knobs.refuse_all or self.running >= self.knobs.slots:
            await self._refuse(send, request_id)
            return
        service = scope["path"].removeprefix("/run/").partition("/")[0]
        key = headers.get(b"idempotency-key", b"").decode()
        text = body.decode(errors="replace")
        line = LedgerLine(request_id, service, key, text, anyio.current_time())
        run_time = float(headers.get(RUN_TIME_HEADER, self.knobs.run_time))
        await self._run(line, run_time)
        is_late = self._draw(self.knobs.late_share)
        await anyio.sleep(self.knobs.late_by if is_late else self.knobs.answer_delay)
        answer = {
            "ran_on": self.name,
            "request": request_id,
            "service": service,
            "echo": text,
        }
        await self._send_answer(send, request_id, msgspec.json.encode(answer))

    async def app(self, scope, receive, send):
        """Serve requests, the ledger and the knobs over HTTP."""
        path = scope["path"]
        if path == knobs_module.KNOBS_PATH:
            await knobs_module.serve_knobs(self.knobs, scope, receive, send)
        elif path == LEDGER_PATH:
            ledger = {"peak": self.peak, "lines": self.ledger}
            await knobs_module.send_json(send, 200, ledger)
        else:
            await self._serve(scope, receive, send)
