"""Decode what the operator writes, and encode the status of a wave."""

import msgspec
import structlog

from azurelanding.configuration import Advice, Configuration, Pool, Queue, WaveRequest

logger = structlog.get_logger()

CONFIG_KEY = "config"
WAVE_PREFIX = "wave/"
MS = 1000.0


def _advice(values):
    if not values:
        return None
    return Advice(
        decision=values.get("decisionMs", 0) / MS,
        per_worker=values.get("periodMs", 0) / MS,
        valid=values.get("validMs", 0) / MS,
    )


def _queue(route):
    return Queue(
        name=route["name"],
        host=route["host"],
        path_prefix=route["pathPrefix"],
        pool=route["service"],
        timeout=route.get("timeoutMs", 0) / MS,
        target_duration=route.get("targetDurationMs", 0) / MS,
        priority=route.get("priority", 0),
        max_attempts=route.get("maxAttempts", 1),
        stretch=route.get("stretch", 1.0),
        advice=_advice(route.get("advice")),
    )


def decode_configuration(value):
    """Return the ``Configuration`` in ``value``, or ``None`` if it is unreadable."""
    try:
        values = msgspec.json.decode(value)
        pools = {
            service["name"]: Pool(
                service["name"],
                service.get("rejectsOverload", False),
                service.get("standby", False),
            )
            for service in values["services"]
        }
        limits = values.get("limits") or {}
        return Configuration(
            version=values["version"],
            queues=tuple(map(_queue, values["routes"])),
            pools=pools,
            max_body=limits.get("maxBodyBytes", 262_144),
        )
    except (msgspec.DecodeError, KeyError, TypeError, AttributeError) as error:
        logger.warning(
            "configuration unreadable, the last one holds", fault=repr(error)
        )
        return None


def decode_wave(key, value):
    """Return the ``WaveRequest`` in a record, or ``None`` if it is unreadable."""
    try:
        values = msgspec.json.decode(value)
        return WaveRequest(
            number=values["wave"],
            hosts=tuple(values["machines"]),
            duration=float(values["durationS"]),
            at_once=values["maximum"],
        )
    except (msgspec.DecodeError, KeyError, TypeError, ValueError) as error:
        logger.warning("wave unreadable, ignored", key=key, fault=repr(error))
        return None


def encode_wave_status(number, is_complete):
    """Return the key and the value that tell the operator of a wave."""
    state = "completed" if is_complete else "running"
    return f"wave/{number}", msgspec.json.encode({"state": state})
