"""Decode the entries and reports of workers, and send them orders over HTTP.

The platform calls a worker an executor, and its pool a service.
"""

import http
import re
import typing

import anyio
import msgspec

from azurelanding.addresses import is_peer_address
from azurelanding.answer_timeout import AnswerTimeout
from azurelanding.decoding import (
    Amount,
    Count,
    DurationMs,
    Name,
    PositiveCount,
    Text,
    TimeMs,
    listed,
    make_json_decoder,
    message_type,
)
from azurelanding.fleet_workers import WorkerEntry, WorkerPhase
from azurelanding.http_client import HttpClient, HttpClientError, fail_after_reading
from azurelanding.jobs import RunEnd, TaskId
from azurelanding.store import StoredRecordError
from azurelanding.tasks import Resources
from azurelanding.utils import boot_time
from azurelanding.worker_calls import (
    ListedEnd,
    ListedRun,
    Refusal,
    WorkerEndedError,
    WorkerNoResponseError,
    WorkerRefusedError,
    WorkerReport,
)

MS_PER_SECOND = 1000.0
MILLICORES_PER_CORE = 1000
BYTES_PER_MEGABYTE = 1 << 20
ORDER_TIMEOUT_SECONDS = 0.35
"""Shortest timeout of an order; some fifty times the usual response time. Repeating an
order does no harm."""
CALLS_PER_LEASE = 3
"""Number of unanswered calls within a lease, which gives their longest timeout."""
MAX_ENDS_PER_REPORT = 500
"""Number of ends that a worker returns at a time."""
WORKER_ID_PATTERN = re.compile(r"[!-~]{1,255}")
"""Ids that can be sent in the header of a call."""
TASK_NAME_PATTERN = re.compile(r"([^.]+)\.([0-9]{1,9})\.([0-9]{1,9})\.([0-9]{1,9})")
PHASES = {"ready": WorkerPhase.READY, "draining": WorkerPhase.DRAINING}
REFUSAL_BY_REASON = {
    "fence": Refusal.FENCED,
    "old": Refusal.OLD_RUN,
    "late": Refusal.LEASE_OVER,
    "room": Refusal.NO_ROOM,
    "ticket": Refusal.NO_TICKET,
}


CAPACITY_FIELDS = {
    "cpu": typing.NotRequired[Amount],
    "memMb": typing.NotRequired[Count],
    "gpus": typing.NotRequired[Count],
}
Capacity = message_type("Capacity", CAPACITY_FIELDS)
EntryMessage = message_type(
    "EntryMessage",
    {
        "service": Name,
        "address": Name,
        "zone": Text,
        "state": typing.Literal["ready", "draining"],
        "capacity": Capacity,
        "machine": typing.NotRequired[Text],
        "labels": typing.NotRequired[listed(Text)],
        "born": typing.NotRequired[Count],
        "coldRemainingMs": typing.NotRequired[DurationMs],
    },
)


class RunRow(typing.NamedTuple):
    """A row of the runs in progress; the last column is not always there."""

    task: str
    run: PositiveCount
    saved: str | None
    percent: Amount
    usage: Amount = 0.0


class EndRow(typing.NamedTuple):
    """A row of the ended runs."""

    number: Count
    task: str
    run: PositiveCount
    end: RunEnd
    saved: str | None


ReportMessage = message_type(
    "ReportMessage",
    {
        "clockMs": TimeMs,
        "born": typing.NotRequired[Count],
        "running": typing.NotRequired[listed(RunRow)],
        "finished": typing.NotRequired[listed(EndRow)],
    },
)
RefusalMessage = message_type(
    "RefusalMessage", {"reason": typing.NotRequired[str | None]}
)


class WorkerEntryError(StoredRecordError):
    """The entry of a worker can't be read, or names no worker that can be called."""


class ReportError(ValueError):
    """The answer of a worker can't be read."""


_decode_entry_message = make_json_decoder(EntryMessage, WorkerEntryError)
_decode_report_message = make_json_decoder(ReportMessage, ReportError)
_decode_refusal_message = make_json_decoder(RefusalMessage, ReportError)


def decode_resources(values):
    """Return the ``Resources`` in fields that count millicores and megabytes."""
    return Resources(
        values.get("cpu", 0) / MILLICORES_PER_CORE,
        values.get("memMb", 0) * BYTES_PER_MEGABYTE,
        values.get("gpus", 0),
    )


def decode_worker_entry(worker_id, value):
    """Decode the entry of a worker into a ``WorkerEntry``.

    Raises ``WorkerEntryError`` when it can't be read, or when its worker can't be
    called.
    """
    values = _decode_entry_message(value)
    if not is_peer_address(values["address"]):
        raise WorkerEntryError(f"no worker can be at {values['address']!r}")
    if WORKER_ID_PATTERN.fullmatch(worker_id) is None:
        raise WorkerEntryError("no header can hold the id")
    return WorkerEntry(
        id=worker_id,
        host=values.get("machine", ""),
        pool=values["service"],
        address=values["address"],
        availability_zone=values["zone"],
        resources=decode_resources(values["capacity"]),
        labels=tuple(values.get("labels", ())),
        phase=PHASES[values["state"]],
        born=values.get("born", 0),
        warmup_seconds=values.get("coldRemainingMs", 0) / MS_PER_SECOND,
    )


def parse_task_id(name):
    """Parse the name of a task, ``JOB.OCCURRENCE.STEP.INDEX``, into a ``TaskId``."""
    match = TASK_NAME_PATTERN.fullmatch(name)
    if match is None:
        raise ReportError(f"not the name of a task: {name[:100]!r}")
    job, occurrence, step, index = match.groups()
    return TaskId(job, int(occurrence), int(step), int(index))


def _decode_run(row):
    return ListedRun(
        parse_task_id(row.task),
        row.run,
        row.saved or "",
        row.percent / 100.0,
        row.usage,
    )


def _decode_end(row):
    task = parse_task_id(row.task)
    return ListedEnd(row.number, task, row.run, row.end, row.saved or "")


def decode_report(content):
    """Decode the answer to ``hold`` into a ``WorkerReport``.

    Raises ``ReportError`` when it can't be read.
    """
    values = _decode_report_message(content)
    ends = tuple(map(_decode_end, values.get("finished", ())))
    return WorkerReport(
        clock=values["clockMs"] / MS_PER_SECOND,
        born=values.get("born", 0),
        runs=tuple(map(_decode_run, values.get("running", ()))),
        ends=ends,
        has_all_ends=len(ends) < MAX_ENDS_PER_REPORT,
    )


def decode_refusal(content):
    """Decode the body of a refusal into a ``Refusal``."""
    try:
        reason = _decode_refusal_message(content).get("reason")
    except ReportError:
        reason = None
    return REFUSAL_BY_REASON.get(reason, Refusal.UNKNOWN)


class WorkerClient:
    """Client of a worker for one epoch: one connection, one call at a time.

    The epoch is sent as the platform's fencing token. Each call names the incarnation
    of the worker that it is meant for. Calls raise ``WorkerNoResponseError`` without an
    answer, ``WorkerEndedError`` when another incarnation answers and
    ``WorkerRefusedError`` when the worker refuses.

    ``longest_timeout`` in seconds is that of ``hold`` calls, in addition to their wait.
    Those of orders are shorter and grow towards it while answers are late.
    """

    def __init__(self, worker, epoch, connection, longest_timeout):
        self.worker = worker
        self.epoch = epoch
        self.connection = connection
        self.order_timeout = AnswerTimeout(ORDER_TIMEOUT_SECONDS, longest_timeout)

    @classmethod
    def from_config(cls, worker, epoch, lease, on_open):
        """Return a client for a ``WorkerEntry`` that sends ``epoch`` with each call.

        ``lease`` in seconds is that of what runs on the worker. ``on_open()`` is called
        for each connection that the client opens.
        """
        connection = HttpClient(worker.address, ORDER_TIMEOUT_SECONDS, on_open)
        return cls(worker, epoch, connection, lease / CALLS_PER_LEASE)

    async def _call(self, name, values, timeout, limit_time=anyio.fail_after):
        headers = (
            ("Content-Type", "application/json"),
            ("X-Expected-Instance", self.worker.id),
        )
        body = msgspec.json.encode({**values, "fencingToken": self.epoch})
        try:
            response = await self.connection.send(
                "POST", f"/v1/{name}", body, headers, timeout, limit_time
            )
        except HttpClientError as error:
            raise WorkerNoResponseError(
                f"{name}: {error}", error.sent, error.timed_out
            ) from error
        status, content = response.status, response.content
        if status == http.HTTPStatus.OK:
            return content
        if status == http.HTTPStatus.MISDIRECTED_REQUEST:
            raise WorkerEndedError(f"another worker answers at {self.worker.address}")
        raise self._decode_refusal(name, status, content)

    def _decode_refusal(self, name, status, content):
        reason = Refusal.UNHEALTHY
        if status == http.HTTPStatus.CONFLICT:
            reason = decode_refusal(content)
        elif status == http.HTTPStatus.BAD_REQUEST:
            reason = Refusal.INVALID
        message = f"{name} refused with {status}: {content[:200]!r}"
        return WorkerRefusedError(message, reason)

    async def _order(self, name, values):
        """Make a call that the worker answers at once, and adapt the timeout to it."""
        timeout, sent_at = self.order_timeout.seconds, boot_time()
        try:
            await self._call(name, values, timeout, fail_after_reading)
        except WorkerNoResponseError as error:
            if error.sent or error.timed_out:
                self.order_timeout.record_no_answer(timeout)
            raise
        except WorkerRefusedError:
            self.order_timeout.record_answer(boot_time() - sent_at)
            raise
        self.order_timeout.record_answer(boot_time() - sent_at)

    async def hold(self, last_seen, lease_end=None, wait=0.0):
        """Extend the lease to ``lease_end`` and return the ``WorkerReport``.

        ``lease_end`` is in seconds of the worker's clock; without it the lease stays as
        it is. The worker drops its ended runs up to number ``last_seen``, and waits
        up to ``wait`` seconds for a run to end. On a new connection it drops none, as
        another incarnation may answer, with numbers of its own.
        """
        if not await self.connection.is_open():
            last_seen = 0
        values = {"lastSeen": last_seen, "waitMs": int(wait * MS_PER_SECOND)}
        if lease_end is not None:
            values["deadlineMs"] = int(lease_end * MS_PER_SECOND)
        content = await self._call("hold", values, self.order_timeout.longest + wait)
        try:
            return decode_report(content)
        except ReportError as error:
            raise WorkerNoResponseError(
                f"hold: invalid answer: {error}", True
            ) from error

    async def start(self, order, lease_end):
        """Order the worker to start a run; no error if the run exists already."""
        values = {
            "task": str(order.task),
            "run": order.run,
            "spec": order.spec,
            "deadlineMs": int(lease_end * MS_PER_SECOND),
        }
        if order.checkpoint:
            values["checkpoint"] = order.checkpoint
        if order.ticket:
            values["ticket"] = order.ticket
        await self._order("run-start", values)

    async def stop(self, task, run):
        """Order the worker to stop a run, or never to start it."""
        await self._order("run-stop", {"task": str(task), "run": run})

    async def pace(self, task, run, share):
        """Throttle a run to ``share`` of its full pace, between 0 and 1."""
        percent = round(share * 100)
        await self._order("pace", {"task": str(task), "run": run, "percent": percent})

    async def close(self):
        """Close the connection; may be called twice."""
        await self.connection.close()
