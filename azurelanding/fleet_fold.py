"""Fold the fleet's stream into the plans to drain hosts and the progress of waves."""

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
    """The fold of the fleet's stream.

    ``plans`` holds the ``HostPlan``s by host, ``waves`` the ``WaveProgress`` by number.
    ``last_order_at`` holds by host, in ``boot_time``, when the host may last have been
    ordered according to its last record.
    """

    def __init__(self):
        self.last_order_at = {}
        self.clear()

    def clear(self):
        """Drop the state before the records are read again from the store."""
        self.plans = {}
        self.waves = {}
        self.offsets = {}

    def load_order(self, record):
        """Return the sort key of a record when the newest of each key are loaded."""
        return record.offset

    def apply_stored(self, record):
        """Apply one ``StoredRecord``; one that can't be decoded is logged and skipped.

        A record older than the last one applied for its key changes nothing, so the
        fleet controller can apply its own records as soon as they are stored.
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
            self._apply_plan(name, decoded)
        elif decoded is not None:
            self.waves[decoded.wave] = decoded

    def _apply_plan(self, host, plan):
        if plan is None or plan.is_dropped:
            self.plans.pop(host, None)
        else:
            self.plans[host] = plan
        recorded_at = max(plan.made_at, plan.closed_at) if plan else time.time()
        age = max(0.0, time.time() - recorded_at - MAX_CLOCK_SKEW_SECONDS)
        self.last_order_at[host] = boot_time() - age

    def progress(self, wave):
        """Return the ``WaveProgress`` of a wave."""
        return self.waves.get(wave, WaveProgress(wave))

    def pending(self):
        """Return the plans whose hosts are not ordered yet, by host."""
        return {h: plan for h, plan in self.plans.items() if not plan.is_ordered}

    def cordoned(self):
        """Return the workers that get no new task: to be drained, or already ended."""
        return {plan.worker for plan in self.plans.values()}

    def ended(self):
        """Return the workers whose incarnation was ended by an order."""
        return {plan.worker for plan in self.plans.values() if plan.is_ordered}
