"""Decode what executors register, and give them orders over HTTP.

The platform's executor is the product's worker; its service is the worker's pool.
"""

import http

import msgspec
import structlog

from azurelanding.fleet_workers import WorkerEntry, WorkerPhase
from azurelanding.http_client import HttpClient, HttpClientError
from azurelanding.jobs import RunEnd, TaskId
from azurelanding.tasks import Resources
from azurelanding.worker_calls import (
    ListedEnd,
    ListedRun,
    Refusal,
    WorkerEndedError,
    WorkerRefusedError,
    WorkerReport,
    WorkerSilentError,
)

logger = structlog.get_logger()

MS = 1000.0
CORE = 1000
MEGABYTE = 1 << 20
ORDER_TIMEOUT_SECONDS = 0.35
"""Bounds an order; some fifty times the usual answer, and a repeat does no harm."""
REFUSALS = {
    "fence": Refusal.FENCED,
    "old": Refusal.OLD_RUN,
    "late": Refusal.LEASE_OVER,
    "room": Refusal.NO_ROOM,
    "ticket": Refusal.NO_TICKET,
}


def decode_resources(values):
    """Return the ``Resources`` in fields in thousandths of a core and megabytes."""
    return Resources(
        values.get("cpu", 0) / CORE,
        values.get("memMb", 0) * MEGABYTE,
        values.get("gpus", 0),
    )


def decode_worker_entry(worker_id, value):
    """Return the ``WorkerEntry`` in a record, or ``None`` if it names no worker."""
    try:
        values = msgspec.json.decode(value)
        return WorkerEntry(
            id=worker_id,
            host=values.get("machine", ""),
            pool=values["service"],
            address=values["address"],
            availability_zone=values["zone"],
            room=decode_resources(values["capacity"]),
            labels=tuple(values.get("labels", ())),
            phase=WorkerPhase(values["state"]),
            born=values.get("born", 0),
            warmup_seconds=values.get("coldRemainingMs", 0) / MS,
        )
    except (
        msgspec.DecodeError,
        KeyError,
        TypeError,
        ValueError,
        AttributeError,
    ) as error:
        logger.warning("worker entry ignored", worker=worker_id, fault=repr(error))
        return None


def parse_task(name):
    """Return the ``TaskId`` in a task's name, ``ID.K.STEP.INDEX``."""
    job, occurrence, step, index = name.split(".")
    return TaskId(job, int(occurrence), int(step), int(index))


def _listed_run(row):
    task, run, saved, percent, *usage = row
    measurement = usage[0] if usage else 0
    return ListedRun(parse_task(task), run, saved or "", percent / 100.0, measurement)


def _listed_end(row):
    number, task, run, how, saved = row
    return ListedEnd(number, parse_task(task), run, RunEnd(how), saved or "")


def decode_report(content):
    """Return the ``WorkerReport`` in the answer to a hold."""
    values = msgspec.json.decode(content)
    return WorkerReport(
        clock=values["clockMs"] / MS,
        born=values.get("born", 0),
        runs=tuple(map(_listed_run, values.get("running", ()))),
        ends=tuple(map(_listed_end, values.get("finished", ()))),
    )


class WorkerClient:
    """One connection to a worker, one call at a time, under one epoch.

    The epoch is sent as the platform's fencing token. Each call names the life of
    the worker that it is meant for.
    """

    def __init__(self, worker, epoch, connection):
        self.worker = worker
        self.epoch = epoch
        self.connection = connection

    @classmethod
    def from_config(cls, worker, epoch):
        """Return a client of ``worker`` for the holder of ``epoch``."""
        return cls(worker, epoch, HttpClient(worker.address, ORDER_TIMEOUT_SECONDS))

    async def _call(self, name, values, timeout=None):
        headers = (
            ("Content-Type", "application/json"),
            ("X-Expected-Instance", self.worker.id),
        )
        body = msgspec.json.encode({**values, "fencingToken": self.epoch})
        try:
            status, content = await self.connection.request(
                "POST", f"/v1/{name}", body, headers, timeout
            )
        except HttpClientError as error:
            raise WorkerSilentError(f"{name}: {error}", error.sent) from error
        if status == http.HTTPStatus.OK:
            return content
        if status == http.HTTPStatus.MISDIRECTED_REQUEST:
            raise WorkerEndedError(f"{self.worker.address} is another worker now")
        raise self._refusal(name, status, content)

    def _refusal(self, name, status, content):
        reason = Refusal.UNHEALTHY
        if status == http.HTTPStatus.CONFLICT:
            try:
                text = msgspec.json.decode(content).get("reason")
            except (msgspec.DecodeError, AttributeError):
                text = None
            reason = REFUSALS.get(text, Refusal.UNKNOWN)
        elif status == http.HTTPStatus.BAD_REQUEST:
            reason = Refusal.INVALID
        message = f"{name} refused with {status}: {content[:200]!r}"
        return WorkerRefusedError(message, reason)

    async def hold(self, seen, lease_end=None, wait=0.0):
        """Extend the lease and return the ``WorkerReport``.

        Ends up to number ``seen`` are forgotten by the worker. ``lease_end`` is in
        seconds of the worker's clock. The worker waits up to ``wait`` seconds for
        an end.
        """
        values = {"lastSeen": seen, "waitMs": int(wait * MS)}
        if lease_end is not None:
            values["deadlineMs"] = int(lease_end * MS)
        content = await self._call("hold", values, ORDER_TIMEOUT_SECONDS + wait)
        try:
            return decode_report(content)
        except (msgspec.DecodeError, KeyError, TypeError, ValueError) as error:
            raise WorkerSilentError(f"hold: unreadable {error!r}", True) from error

    async def start(self, order, lease_end):
        """Ask the worker to start a run; it is no fault if it is there already."""
        values = {
            "task": str(order.task),
            "run": order.run,
            "spec": order.spec,
            "deadlineMs": int(lease_end * MS),
        }
        if order.checkpoint:
            values["checkpoint"] = order.checkpoint
        if order.ticket:
            values["ticket"] = order.ticket
        await self._call("run-start", values)

    async def stop(self, task, run):
        """Ask the worker to stop a run, or never to start it."""
        await self._call("run-stop", {"task": str(task), "run": run})

    async def pace(self, task, run, share):
        """Let a run work at ``share`` of its pace, between 0 and 1."""
        percent = round(share * 100)
        await self._call("pace", {"task": str(task), "run": run, "percent": percent})

    async def close(self):
        """Close the connection; may be called twice."""
        await self.connection.close()
