"""Fold the fleet's stream: which hosts are to be emptied, and how far waves are."""

import structlog

from azurelanding.fleet_records import (
    FleetRecordError,
    WaveProgress,
    decode_record,
)
from azurelanding.utils import boot_time

logger = structlog.get_logger()


class FleetFold:
    """``plans`` holds the ``HostPlan``s by host, ``waves`` the progress by number.

    ``touched`` tells when the last record of a host came, and ``loaded_at`` since when
    all of them are seen, both in ``boot_time``.
    """

    def __init__(self):
        self.touched = {}
        self.clear()

    def clear(self):
        """Forget the records, to be read again from the store."""
        self.loaded_at = boot_time()
        self.plans = {}
        self.waves = {}

    def load_order(self, record):
        """Return where a record stands when the newest of each key are loaded."""
        return record.offset

    def apply_stored(self, record):
        """Apply one ``StoredRecord``; one that can't be read is left out."""
        try:
            kind, name, decoded = decode_record(record.key, record.value)
        except FleetRecordError as error:
            logger.warning("fleet record ignored", fault=str(error))
            return
        if kind == "host":
            self.touched[name] = boot_time()
        if kind == "host" and decoded is None:
            self.plans.pop(name, None)
        elif kind == "host":
            self.plans[name] = decoded
        elif decoded is not None:
            self.waves[decoded.wave] = decoded

    def progress(self, wave):
        """Return the ``WaveProgress`` of a wave."""
        return self.waves.get(wave, WaveProgress(wave))

    def pending(self):
        """Return the plans that are still to be ordered, by host."""
        return {h: plan for h, plan in self.plans.items() if not plan.is_ordered}

    def cordoned(self):
        """Return the workers that get no task: to be emptied, or ended already."""
        return {plan.worker for plan in self.plans.values()}

    def ended(self):
        """Return the workers whose life was ended by an order."""
        return {plan.worker for plan in self.plans.values() if plan.is_ordered}
