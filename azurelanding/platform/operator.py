"""Decode the operator's configuration and waves, and encode the status of a wave."""

import typing

import msgspec

from azurelanding.configuration import (
    DEFAULT_MAX_BODY_BYTES,
    Account,
    Advice,
    Configuration,
    Pool,
    Queue,
    RequestLimits,
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
from azurelanding.platform.workers import CAPACITY_FIELDS, decode_resources
from azurelanding.store import StoredRecordError

CONFIG_KEY = "config"
WAVE_PREFIX = "wave/"
MS_PER_SECOND = 1000.0
MAX_KEYS_PER_ACCOUNT = 1000
"""Longest list of keys of one account; far more than are valid during a rotation."""
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
        "public": typing.NotRequired[bool],
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
Keys = typing.Annotated[list[Name], msgspec.Meta(max_length=MAX_KEYS_PER_ACCOUNT)]
AccountMessage = message_type(
    "AccountMessage",
    {
        "name": Name,
        "apiKeys": typing.NotRequired[Keys],
        "weight": typing.NotRequired[Amount],
        "maximum": typing.NotRequired[
            message_type("MaximumMessage", CAPACITY_FIELDS) | None
        ],
    },
)
LimitsMessage = message_type(
    "LimitsMessage",
    {
        "maxBodyBytes": typing.NotRequired[Count],
        "maxHeaderBytes": typing.NotRequired[PositiveCount],
        "headerTimeoutMs": typing.NotRequired[DurationMs],
        "idleTimeoutMs": typing.NotRequired[DurationMs],
    },
)
ConfigurationMessage = message_type(
    "ConfigurationMessage",
    {
        "version": Count,
        "routes": listed(RouteMessage),
        "services": listed(ServiceMessage),
        "limits": typing.NotRequired[LimitsMessage | None],
        "tenants": typing.NotRequired[listed(AccountMessage) | None],
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
        is_public=route.get("public", False),
    )


def _decode_account(values):
    return Account(
        name=values["name"],
        keys=frozenset(values.get("apiKeys", ())),
        weight=values.get("weight", 1.0),
        maximum=decode_resources(values.get("maximum") or {}),
    )


def _decode_accounts(rows):
    """Return the ``Account``s by name, ``None`` if the site has none.

    Raises ``OperatorRecordError`` for a name or a key that occurs twice: whose requests
    are whose would depend on the order then.
    """
    if rows is None:
        return None
    names = [row["name"] for row in rows]
    keys = [key for row in rows for key in row.get("apiKeys", ())]
    for kind, values in (("account", names), ("key of an account", keys)):
        if len(set(values)) < len(values):
            raise OperatorRecordError(f"a {kind} occurs twice")
    return {account.name: account for account in map(_decode_account, rows)}


def _decode_request_limits(values):
    """Return the ``RequestLimits``; a limit that is 0 or missing has its default."""
    fields = {
        "max_header": values.get("maxHeaderBytes"),
        "header_timeout": values.get("headerTimeoutMs", 0) / MS_PER_SECOND,
        "idle_timeout": values.get("idleTimeoutMs", 0) / MS_PER_SECOND,
    }
    return RequestLimits(**{name: value for name, value in fields.items() if value})


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
        request_limits=_decode_request_limits(limits),
        accounts=_decode_accounts(values.get("tenants")),
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
