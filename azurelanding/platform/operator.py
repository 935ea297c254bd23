"""Decode the operator's configuration and waves, and encode the status of a wave."""

import typing

import msgspec

from azurelanding.configuration import (
    DEFAULT_MAX_BODY_BYTES,
    Advice,
    Configuration,
    Pool,
    Queue,
    WaveRequest,
)
from azurelanding.decoding import (
    MAX_DURATION_MS,
    Amount,
    Count,
    DurationMs,
    Name,
    PositiveCount,
    Text,
    listed,
    make_json_decoder,
    message_type,
)
from azurelanding.store import StoredRecordError

CONFIG_KEY = "config"
WAVE_PREFIX = "wave/"
MS_PER_SECOND = 1000.0
MAX_DURATION_SECONDS = MAX_DURATION_MS / MS_PER_SECOND

AdviceMessage = message_type(
    "AdviceMessage",
    {
        "decisionMs": typing.NotRequired[DurationMs],
        "periodMs": typing.NotRequired[DurationMs],
        "validMs": typing.NotRequired[DurationMs],
    },
)
RouteMessage = message_type(
    "RouteMessage",
    {
        "name": Name,
        "host": Text,
        "pathPrefix": Text,
        "service": Name,
        "timeoutMs": typing.NotRequired[DurationMs],
        "targetDurationMs": typing.NotRequired[DurationMs],
        "priority": typing.NotRequired[Count],
        "maxAttempts": typing.NotRequired[PositiveCount],
        "stretch": typing.NotRequired[Amount],
        "advice": typing.NotRequired[AdviceMessage | None],
    },
)
ServiceMessage = message_type(
    "ServiceMessage",
    {
        "name": Name,
        "rejectsOverload": typing.NotRequired[bool],
        "standby": typing.NotRequired[bool],
    },
)
LimitsMessage = message_type(
    "LimitsMessage", {"maxBodyBytes": typing.NotRequired[Count]}
)
ConfigurationMessage = message_type(
    "ConfigurationMessage",
    {
        "version": Count,
        "routes": listed(RouteMessage),
        "services": listed(ServiceMessage),
        "limits": typing.NotRequired[LimitsMessage | None],
    },
)
WaveDuration = typing.Annotated[float, msgspec.Meta(gt=0.0, le=MAX_DURATION_SECONDS)]
WaveMessage = message_type(
    "WaveMessage",
    {
        "wave": Count,
        "machines": listed(Name),
        "durationS": WaveDuration,
        "maximum": PositiveCount,
    },
)


class OperatorRecordError(StoredRecordError):
    """A record of the operator can't be read; the previous one stays in force."""


_decode_configuration_message = make_json_decoder(
    ConfigurationMessage, OperatorRecordError
)
_decode_wave_message = make_json_decoder(WaveMessage, OperatorRecordError)


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
    """Decode a ``Configuration``; raise ``OperatorRecordError`` if it is invalid."""
    values = _decode_configuration_message(value)
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
        max_body=limits.get("maxBodyBytes", DEFAULT_MAX_BODY_BYTES),
    )


def decode_wave(value):
    """Decode a ``WaveRequest``; raise ``OperatorRecordError`` if it is invalid."""
    values = _decode_wave_message(value)
    return WaveRequest(
        number=values["wave"],
        hosts=tuple(values["machines"]),
        duration=values["durationS"],
        at_once=values["maximum"],
    )


def encode_wave_status(number, is_complete):
    """Return the key and value of the record that reports a wave to the operator."""
    state = "completed" if is_complete else "running"
    return f"wave/{number}", msgspec.json.encode({"state": state})
