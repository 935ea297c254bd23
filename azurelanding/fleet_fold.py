"""Fold the fleet's stream into the plans to drain hosts and the progress of waves."""

import time

from azurelanding.fleet_records import WaveProgress, decode_record
from azurelanding.utils import MAX_CLOCK_SKEW_SECONDS, Notifier, boot_time


class FleetFold:
    """The fold of the fleet's stream.

    ``plans`` holds the ``HostPlan``s by host, ``waves`` the ``WaveProgress`` by number.
    ``last_order_at`` holds by host, in ``boot_time``, when the host may last have been
    ordered according to its last record. ``open_plans`` holds the plans whose hosts are
    not ordered yet. ``cordoned_counts`` and ``ended_counts`` count the plans, and the
    ordered ones, of each worker: controllers look for them in each pass, and a host
    keeps its last plan. ``divisions`` holds the newest ``AccountDivision`` by account,
    ``division_changes`` tells of them.
    """

    def __init__(self):
        self.last_order_at = {}
        self.divisions = {}
        self.division_changes = Notifier()
        self.clear()

    def clear(self):
        """Drop the state before the records are read again from the store."""
        self.plans = {}
        self.open_plans = {}
        self.cordoned_counts = {}
        self.ended_counts = {}
        self.waves = {}
        self.offsets = {}

    def load_order(self, record):
        """Return the sort key of a record when the newest of each key are loaded."""
        return record.offset

    def apply_stored(self, record):
        """Apply one ``StoredRecord``; raise ``StoredRecordError`` if it is invalid.

        A record older than the last one applied for its key changes nothing, so the
        fleet controller can apply its own records as soon as they are stored.
        """
        if record.offset <= self.offsets.get(record.key, -1):
            return
        self.offsets[record.key] = record.offset
        kind, name, decoded = decode_record(record.key, record.value)
        if kind == "host":
            self._apply_plan(name, decoded)
        elif kind == "division":
            self._apply_division(decoded)
        elif decoded is not None:
            self.waves[decoded.wave] = decoded

    def _apply_division(self, division):
        """Keep a division that is newer than the known one, also after a ``clear``."""
        if division is None:
            return
        known = self.divisions.get(division.account)
        if known is None or division.version > known.version:
            self.divisions[division.account] = division
            self.division_changes.notify()

    def _apply_plan(self, host, plan):
        self._replace_plan(host, None if plan and plan.is_dropped else plan)
        recorded_at = max(plan.made_at, plan.closed_at) if plan else time.time()
        age = max(0.0, time.time() - recorded_at - MAX_CLOCK_SKEW_SECONDS)
        self.last_order_at[host] = boot_time() - age

    def _replace_plan(self, host, plan):
        known = self.plans.pop(host, None)
        if known is not None:
            self._count(known, -1)
        self.open_plans.pop(host, None)
        if plan is not None:
            self.plans[host] = plan
            self._count(plan, 1)
            if not plan.is_ordered:
                self.open_plans[host] = plan

    def _count(self, plan, change):
        counted = [self.cordoned_counts]
        if plan.is_ordered:
            counted.append(self.ended_counts)
        for counts in counted:
            counts[plan.worker] = counts.get(plan.worker, 0) + change
            if not counts[plan.worker]:
                del counts[plan.worker]

    def progress(self, wave):
        """Return the ``WaveProgress`` of a wave."""
        return self.waves.get(wave, WaveProgress(wave))

    def pending(self):
        """Return the plans whose hosts are not ordered yet, by host."""
        return dict(self.open_plans)

    def cordoned(self):
        """Return the workers that get no new task: to be drained, or already ended."""
        return self.cordoned_counts.keys()

    def ended(self):
        """Return the workers whose incarnation was ended by an order."""
        return self.ended_counts.keys()
