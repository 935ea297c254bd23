"""Apply stored records one at a time, and log and count those that are faulty."""

import structlog

from azurelanding.served_metrics import ServedMetrics
from azurelanding.store import StoredRecordError

logger = structlog.get_logger()

KEPT = object()
"""Returned for a record that is kept to be read once it is needed."""
MAX_KNOWN_FAULTS = 1000
"""Number of records that are remembered as faulty; further ones are only counted."""


class RecordFaults:
    """The records that could not be read or applied, and are left out.

    A record that is faulty and written again and again, as entries of workers are, is
    logged once, until one of the same key can be read. ``known`` holds pairs of topic
    and key. ``metrics`` counts each faulty record.
    """

    def __init__(self, metrics=None):
        self.metrics = metrics or ServedMetrics()
        self.known = set()

    def apply(self, topic, record, apply_stored):
        """Call ``apply_stored(record)``; a fault of the record costs no other one.

        It returns ``KEPT`` for a record that it has not read yet.
        """
        fields = {"topic": topic, "key": record.key, "offset": record.offset}
        try:
            result = apply_stored(record)
        except StoredRecordError as error:
            self.metrics.count(f"records_invalid_{topic}")
            if self._is_new(topic, record.key):
                logger.warning("invalid record ignored", fault=str(error), **fields)
        except Exception:
            self.metrics.count(f"records_failed_{topic}")
            if self._is_new(topic, record.key):
                logger.exception("record could not be applied", **fields)
        else:
            if result is not KEPT:
                self.known.discard((topic, record.key))

    def _is_new(self, topic, key):
        if (topic, key) in self.known or len(self.known) >= MAX_KNOWN_FAULTS:
            return False
        self.known.add((topic, key))
        return True
