"""Decode the operator's configuration and waves, and encode the status of a wave."""

import msgspec
import structlog

from azurelanding.configuration import Advice, Configuration, Pool, Queue, WaveRequest

logger = structlog.get_logger()

CONFIG_KEY = "config"
WAVE_PREFIX = "wave/"
MS_PER_SECOND = 1000.0


def _decode_advice(values):
    if not values:
        return None
    return Advice(
        decision=values.get("decisionMs", 0) / MS_PER_SECOND,
        per_worker=values.get("periodMs", 0) / MS_PER_SECOND,
        valid=values.get("validMs", 0) / MS_PER_SECOND,
    )


def _decode_queue(route):
    return Queue(
        name=route["name"],
        host=route["host"],
        path_prefix=route["pathPrefix"],
        pool=route["service"],
        timeout=route.get("timeoutMs", 0) / MS_PER_SECOND,
        target_duration=route.get("targetDurationMs", 0) / MS_PER_SECOND,
        priority=route.get("priority", 0),
        max_attempts=route.get("maxAttempts", 1),
        stretch=route.get("stretch", 1.0),
        advice=_decode_advice(route.get("advice")),
    )


def decode_configuration(value):
    """Decode a configuration; return ``None`` if it is invalid."""
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
            queues=tuple(map(_decode_queue, values["routes"])),
            pools=pools,
            max_body=limits.get("maxBodyBytes", 262_144),
        )
    except (msgspec.DecodeError, KeyError, TypeError, AttributeError) as error:
        logger.warning(
            "invalid configuration ignored, previous one stays in force",
            fault=repr(error),
        )
        return None


def decode_wave(key, value):
    """Decode a wave; return ``None`` if it is invalid."""
    try:
        values = msgspec.json.decode(value)
        return WaveRequest(
            number=values["wave"],
            hosts=tuple(values["machines"]),
            duration=float(values["durationS"]),
            at_once=values["maximum"],
        )
    except (msgspec.DecodeError, KeyError, TypeError, ValueError) as error:
        logger.warning("invalid wave ignored", key=key, fault=repr(error))
        return None


def encode_wave_status(number, is_complete):
    """Return the key and value of the record that reports a wave to the operator."""
    state = "completed" if is_complete else "running"
    return f"wave/{number}", msgspec.json.encode({"state": state})
