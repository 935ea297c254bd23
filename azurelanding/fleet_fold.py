"""Fold the fleet's stream: which hosts are to be emptied, and how far waves are."""

import time

import structlog

from azurelanding.fleet_records import (
    FleetRecordError,
    WaveProgress,
    decode_record,
)
from azurelanding.utils import MAX_CLOCK_SKEW_SECONDS, boot_time

logger = structlog.get_logger()


class FleetFold:
    """``plans`` holds the ``HostPlan``s by host, ``waves`` the progress by number.

    ``last_order_at`` tells, in ``boot_time``, when a host may last have been ordered by its
    last record.
    """

    def __init__(self):
        self.last_order_at = {}
        self.clear()

    def clear(self):
        """Forget the records, to be read again from the store."""
        self.plans = {}
        self.waves = {}
        self.offsets = {}

    def load_order(self, record):
        """Return where a record stands when the newest of each key are loaded."""
        return record.offset

    def apply_stored(self, record):
        """Apply one ``StoredRecord``; one that can't be read is left out.

        A record that is older than what is known of its key changes nothing, so the
        holder of the duty applies its own as soon as they are stored.
        """
        if record.offset <= self.offsets.get(record.key, -1):
            return
        self.offsets[record.key] = record.offset
        try:
            kind, name, decoded = decode_record(record.key, record.value)
        except FleetRecordError as error:
            logger.warning("fleet record ignored", fault=str(error))
            return
        if kind == "host":
            self._note_plan(name, decoded)
        elif decoded is not None:
            self.waves[decoded.wave] = decoded

    def _note_plan(self, host, plan):
        if plan is None or plan.is_dropped:
            self.plans.pop(host, None)
        else:
            self.plans[host] = plan
        noted_at = max(plan.made_at, plan.closed_at) if plan else time.time()
        age = max(0.0, time.time() - noted_at - MAX_CLOCK_SKEW_SECONDS)
        self.last_order_at[host] = boot_time() - age

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
