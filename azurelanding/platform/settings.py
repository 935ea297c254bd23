"""Read the settings file that the platform provides to each process."""

import os
import pathlib

import msgspec

from azurelanding.settings import SettingsError
from azurelanding.site import Site, StoreSettings, Timing

SETTINGS_PATH_VARIABLE = "AZURELANDING_BOOT"
MS_PER_SECOND = 1000.0
BYTES_PER_MEGABIT = 125_000


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
    return float(megabits) * BYTES_PER_MEGABIT if megabits else None


def decode_settings(text):
    """Decode the content of a settings file into a ``Site``.

    Raises ``SettingsError``, which names the missing field or wrong type.
    """
    try:
        values = msgspec.json.decode(text)
        cloud_api = values.get("cloudApi") or {}
        bounds = values.get("bounds") or {}
        return Site(
            name=values["nodeName"],
            availability_zone=values["zone"],
            callers_address=values["listen"]["frontend"],
            readiness_address=values["listen"]["readiness"],
            metrics_ip=values["ip"],
            store=_decode_store(values["platform"]),
            hosts_address=cloud_api.get("address", ""),
            advice_address=values.get("advice") or "",
            link_rate=_decode_link_rate(values.get("limits") or {}),
            timing=_decode_timing(bounds),
        )
    except (
        msgspec.DecodeError,
        KeyError,
        TypeError,
        ValueError,
        AttributeError,
    ) as error:
        raise SettingsError(f"invalid settings: {error!r}") from error


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
