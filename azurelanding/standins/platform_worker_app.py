"""Serve the workers of a ``WorkerFleet`` over HTTP like the platform's executors."""

import http

import msgspec

from azurelanding import http_server
from azurelanding.fleet_workers import WorkerPhase
from azurelanding.platform.workers import REFUSAL_BY_REASON, parse_task_id
from azurelanding.standins import knobs as knobs_module
from azurelanding.standins.platform_worker import ModelWorkerClient
from azurelanding.utils import boot_time
from azurelanding.worker_calls import (
    StartOrder,
    WorkerNoResponseError,
    WorkerRefusedError,
)

MAX_BODY_BYTES = 65_536
MS_PER_SECOND = 1000.0
REASONS = {refusal: reason for reason, refusal in REFUSAL_BY_REASON.items()}


def encode_entry(model, address, labels=()):
    """Return the entry under which a worker at ``address`` registers, as JSON.

    ``labels`` are further labels beside its own.
    """
    entry = model.entry()
    capacity = {
        "cpu": int(entry.resources.cores * 1000),
        "memMb": entry.resources.memory >> 20,
        "gpus": entry.resources.accelerators,
    }
    state = "ready" if entry.phase is WorkerPhase.READY else "draining"
    return msgspec.json.encode(
        {
            "service": entry.pool,
            "address": address,
            "zone": entry.availability_zone,
            "state": state,
            "machine": entry.host,
            "born": entry.born,
            "capacity": capacity,
            "labels": (*entry.labels, *labels),
        }
    )


def _encode_report(report):
    running = [
        [str(run.task), run.run, run.checkpoint, run.work_share * 100, run.measurement]
        for run in report.runs
    ]
    finished = [
        [end.number, str(end.task), end.run, end.end.value, end.checkpoint]
        for end in report.ends
    ]
    clock = report.clock * MS_PER_SECOND
    return {
        "clockMs": clock,
        "born": report.born,
        "running": running,
        "finished": finished,
    }


async def _hold(client, values):
    lease_end = values.get("deadlineMs")
    return _encode_report(
        await client.hold(
            values["lastSeen"],
            None if lease_end is None else lease_end / MS_PER_SECOND,
            values.get("waitMs", 0) / MS_PER_SECOND,
        )
    )


async def _start(client, values):
    order = StartOrder(parse_task_id(values["task"]), values["run"], values["spec"])
    await client.start(order, values["deadlineMs"] / MS_PER_SECOND)
    return {}


async def _stop(client, values):
    await client.stop(parse_task_id(values["task"]), values["run"])
    return {}


async def _pace(client, values):
    share = values["percent"] / 100
    await client.pace(parse_task_id(values["task"]), values["run"], share)
    return {}


CALLS = {"hold": _hold, "run-start": _start, "run-stop": _stop, "pace": _pace}


def make_worker_app(fleet, name, odd_answers=()):
    """Return an ASGI application that serves the worker ``name`` of ``fleet``.

    ``odd_answers`` is a list of bodies that ``hold`` calls are answered with first.
    """

    async def answer(scope, receive):
        values = msgspec.json.decode(
            await http_server.read_body(receive, MAX_BODY_BYTES)
        )
        headers = dict(scope["headers"])
        if headers.get(b"x-expected-instance", name.encode()) != name.encode():
            return http.HTTPStatus.MISDIRECTED_REQUEST, {}
        call = scope["path"].rpartition("/")[2]
        if call == "hold" and odd_answers:
            return http.HTTPStatus.OK, odd_answers.pop()
        entry = fleet.models[name].entry()
        client = ModelWorkerClient(fleet, entry, values["fencingToken"])
        clock = {"clockMs": boot_time() * MS_PER_SECOND}
        try:
            return http.HTTPStatus.OK, {**clock, **await CALLS[call](client, values)}
        except WorkerRefusedError as error:
            reason = REASONS.get(error.reason, "")
            return http.HTTPStatus.CONFLICT, {**clock, "reason": reason}

    async def app(scope, receive, send):
        try:
            status, value = await answer(scope, receive)
        except WorkerNoResponseError:
            while (await receive())["type"] != "http.disconnect":
                pass
            return
        await knobs_module.send_json(send, status, value)

    return app
