"""Read the settings file that the platform places for a process."""

import os
import pathlib

import msgspec

from azurelanding.settings import SettingsError
from azurelanding.site import Site, StoreSettings, Timing

PATH_VARIABLE = "AZURELANDING_BOOT"
MS = 1000.0


def _store(values):
    return StoreSettings(
        address=values["address"],
        partitions=values.get("parts", 16),
        min_membership_seconds=values.get("ttlMinMs", 1000) / MS,
    )


def _timing(bounds):
    """Return the ``Timing`` in ``bounds``, which mixes seconds and milliseconds."""
    fields = {
        "longest_lease": ("maxHoldMs", MS),
        "grace": ("graceS", 1.0),
        "retention": ("status_s", 1.0),
        "holder_pause": ("leaseMs", MS),
        "maintenance": ("maintenanceS", 1.0),
    }
    return Timing(
        **{
            field: bounds[name] / unit
            for field, (name, unit) in fields.items()
            if name in bounds
        }
    )


def decode_settings(text):
    """Return the ``Site`` in the bytes of a settings file.

    Raises ``SettingsError`` with what is missing or of another type.
    """
    try:
        values = msgspec.json.decode(text)
        cloud = values.get("cloudApi") or {}
        bounds = values.get("bounds") or {}
        return Site(
            name=values["nodeName"],
            availability_zone=values["zone"],
            callers_address=values["listen"]["frontend"],
            readiness_address=values["listen"]["readiness"],
            metrics_ip=values["ip"],
            store=_store(values["platform"]),
            hosts_address=cloud.get("address", ""),
            advice_address=values.get("advice") or "",
            timing=_timing(bounds),
        )
    except (msgspec.DecodeError, KeyError, TypeError, AttributeError) as error:
        raise SettingsError(f"the settings can't be read: {error!r}") from error


def read_settings():
    """Return the ``Site`` in the file that the environment names.

    Raises ``SettingsError`` when there is none or it can't be read.
    """
    path = os.environ.get(PATH_VARIABLE)
    if path is None:
        raise SettingsError(f"{PATH_VARIABLE} must hold the path of the settings")
    try:
        return decode_settings(pathlib.Path(path).read_bytes())
    except OSError as error:
        raise SettingsError(f"can't read {path}: {error}") from error
