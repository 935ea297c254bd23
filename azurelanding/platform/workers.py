"""Decode the entries and reports of workers, and send them orders over HTTP.

The platform calls a worker an executor, and its pool a service.
"""

import http

import anyio
import msgspec
import structlog

from azurelanding.answer_timeout import AnswerTimeout
from azurelanding.fleet_workers import WorkerEntry, WorkerPhase
from azurelanding.http_client import HttpClient, HttpClientError, fail_after_reading
from azurelanding.jobs import RunEnd, TaskId
from azurelanding.settings import split_address
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

logger = structlog.get_logger()

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
REFUSAL_BY_REASON = {
    "fence": Refusal.FENCED,
    "old": Refusal.OLD_RUN,
    "late": Refusal.LEASE_OVER,
    "room": Refusal.NO_ROOM,
    "ticket": Refusal.NO_TICKET,
}


def decode_resources(values):
    """Return the ``Resources`` in fields that count millicores and megabytes."""
    return Resources(
        values.get("cpu", 0) / MILLICORES_PER_CORE,
        values.get("memMb", 0) * BYTES_PER_MEGABYTE,
        values.get("gpus", 0),
    )


def _decode_labels(labels):
    if not isinstance(labels, list) or not all(isinstance(n, str) for n in labels):
        raise TypeError(f"the labels are {labels!r}")
    return tuple(labels)


def _check_entry(entry):
    """Raise an error if a field is of another type, or the address can't be called."""
    texts = (entry.host, entry.pool, entry.address, entry.availability_zone)
    if not all(isinstance(text, str) for text in texts):
        raise TypeError(f"not a text among {texts}")
    if not isinstance(entry.born, int):
        raise TypeError(f"born is {entry.born!r}")
    split_address(entry.address)


def decode_worker_entry(worker_id, value):
    """Decode the entry of a worker; return ``None`` if it is invalid."""
    try:
        values = msgspec.json.decode(value)
        entry = WorkerEntry(
            id=worker_id,
            host=values.get("machine", ""),
            pool=values["service"],
            address=values["address"],
            availability_zone=values["zone"],
            resources=decode_resources(values["capacity"]),
            labels=_decode_labels(values.get("labels", [])),
            phase=WorkerPhase(values["state"]),
            born=values.get("born", 0),
            warmup_seconds=values.get("coldRemainingMs", 0) / MS_PER_SECOND,
        )
        _check_entry(entry)
    except (
        msgspec.DecodeError,
        KeyError,
        TypeError,
        ValueError,
        AttributeError,
    ) as error:
        logger.warning(
            "invalid worker entry ignored", worker=worker_id, fault=repr(error)
        )
        return None
    return entry


def parse_task_id(name):
    """Parse the name of a task, ``JOB.OCCURRENCE.STEP.INDEX``, into a ``TaskId``."""
    job, occurrence, step, index = name.split(".")
    return TaskId(job, int(occurrence), int(step), int(index))


def _decode_run(row):
    task, run, saved, percent, *usage = row
    measurement = usage[0] if usage else 0
    return ListedRun(
        parse_task_id(task), run, saved or "", percent / 100.0, measurement
    )


def _decode_end(row):
    number, task, run, end, saved = row
    return ListedEnd(number, parse_task_id(task), run, RunEnd(end), saved or "")


def decode_report(content):
    """Decode the answer to ``hold`` into a ``WorkerReport``."""
    values = msgspec.json.decode(content)
    ends = tuple(map(_decode_end, values.get("finished", ())))
    return WorkerReport(
        clock=values["clockMs"] / MS_PER_SECOND,
        born=values.get("born", 0),
        runs=tuple(map(_decode_run, values.get("running", ()))),
        ends=ends,
        has_all_ends=len(ends) < MAX_ENDS_PER_REPORT,
    )


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
            try:
                text = msgspec.json.decode(content).get("reason")
            except (msgspec.DecodeError, AttributeError):
                text = None
            reason = REFUSAL_BY_REASON.get(text, Refusal.UNKNOWN)
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
        except (msgspec.DecodeError, KeyError, TypeError, ValueError) as error:
            raise WorkerNoResponseError(
                f"hold: invalid answer: {error!r}", True
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
