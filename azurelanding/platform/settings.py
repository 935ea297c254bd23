"""Read the settings file that the platform provides to each process."""

import os
import pathlib
import typing

from azurelanding.addresses import is_address, is_peer_address
from azurelanding.decoding import (
    Amount,
    Count,
    DurationMs,
    Name,
    PositiveCount,
    Text,
    make_json_decoder,
    message_type,
)
from azurelanding.site import SettingsError, Site, StoreSettings, Timing

SETTINGS_PATH_VARIABLE = "AZURELANDING_BOOT"
MS_PER_SECOND = 1000.0
BYTES_PER_MEGABIT = 125_000
DEFAULT_MEMORY_MEGABYTES = 200
DEFAULT_DESCRIPTORS = 4096


BoundSeconds = typing.NotRequired[DurationMs]
"""Seconds and milliseconds have the same bounds here, both far from any real value."""
StoreMessage = message_type(
    "StoreMessage",
    {
        "address": Name,
        "parts": typing.NotRequired[PositiveCount],
        "ttlMinMs": typing.NotRequired[DurationMs],
    },
)
ListenMessage = message_type("ListenMessage", {"frontend": Name, "readiness": Name})
CloudMessage = message_type(
    "CloudMessage", {"address": typing.NotRequired[Text | None]}
)
LimitsMessage = message_type(
    "LimitsMessage",
    {
        "linkMbps": typing.NotRequired[Amount | None],
        "memoryMb": typing.NotRequired[Count | None],
        "maxFds": typing.NotRequired[Count | None],
    },
)
BoundsMessage = message_type(
    "BoundsMessage",
    {
        "maxHoldMs": BoundSeconds,
        "graceS": BoundSeconds,
        "status_s": BoundSeconds,
        "leaseMs": BoundSeconds,
        "maintenanceS": BoundSeconds,
        "revokeMs": BoundSeconds,
        "strictRevocation": typing.NotRequired[bool],
    },
)
SettingsMessage = message_type(
    "SettingsMessage",
    {
        "nodeName": Name,
        "zone": Text,
        "ip": Name,
        "listen": ListenMessage,
        "platform": StoreMessage,
        "cloudApi": typing.NotRequired[CloudMessage | None],
        "advice": typing.NotRequired[Text | None],
        "limits": typing.NotRequired[LimitsMessage | None],
        "bounds": typing.NotRequired[BoundsMessage | None],
    },
)
_decode_message = make_json_decoder(SettingsMessage, SettingsError)


def _decode_store(values):
    return StoreSettings(
        address=values["address"],
        partitions=values.get("parts", 16),
        min_membership_seconds=values.get("ttlMinMs", 1000) / MS_PER_SECOND,
    )


def _decode_timing(bounds):
    """Decode the ``Timing``; ``bounds`` mixes seconds and milliseconds."""
    fields = {
        "longest_lease": ("maxHoldMs", MS_PER_SECOND),
        "grace": ("graceS", 1.0),
        "retention": ("status_s", 1.0),
        "holder_pause": ("leaseMs", MS_PER_SECOND),
        "maintenance": ("maintenanceS", 1.0),
    }
    if bounds.get("strictRevocation"):
        fields["revocation"] = ("revokeMs", MS_PER_SECOND)
    return Timing(
        **{
            field: bounds[name] / unit
            for field, (name, unit) in fields.items()
            if name in bounds
        }
    )


def _decode_link_rate(limits):
    """Return the host's bandwidth in bytes per second, or ``None`` if not given."""
    megabits = limits.get("linkMbps")
    return megabits * BYTES_PER_MEGABIT if megabits else None


def _check_addresses(site):
    """Raise ``SettingsError`` for an address that can't be listened on or called."""
    for address in (site.callers_address, site.readiness_address):
        if not is_address(address):
            raise SettingsError(f"can't listen on {address!r}")
    for address in (site.store.address, site.hosts_address, site.advice_address):
        if address and not is_peer_address(address):
            raise SettingsError(f"no peer can be at {address!r}")


def decode_settings(text):
    """Decode the content of a settings file into a ``Site``.

    Raises ``SettingsError``, which names the missing field or wrong type.
    """
    values = _decode_message(text)
    cloud_api = values.get("cloudApi") or {}
    limits = values.get("limits") or {}
    site = Site(
        name=values["nodeName"],
        availability_zone=values["zone"],
        callers_address=values["listen"]["frontend"],
        readiness_address=values["listen"]["readiness"],
        metrics_ip=values["ip"],
        store=_decode_store(values["platform"]),
        hosts_address=cloud_api.get("address") or "",
        advice_address=values.get("advice") or "",
        link_rate=_decode_link_rate(limits),
        memory=(limits.get("memoryMb") or DEFAULT_MEMORY_MEGABYTES) << 20,
        descriptors=limits.get("maxFds") or DEFAULT_DESCRIPTORS,
        timing=_decode_timing(values.get("bounds") or {}),
    )
    _check_addresses(site)
    return site


def read_settings():
    """Read the settings file at the path in ``AZURELANDING_BOOT``; return the ``Site``.

    Raises ``SettingsError`` when the variable is not set or the file is missing or
    invalid.
    """
    path = os.environ.get(SETTINGS_PATH_VARIABLE)
    if path is None:
        raise SettingsError(
            f"{SETTINGS_PATH_VARIABLE} must be set to the path of the settings file"
        )
    try:
        return decode_settings(pathlib.Path(path).read_bytes())
    except OSError as error:
        raise SettingsError(f"can't read {path}: {error}") from error
