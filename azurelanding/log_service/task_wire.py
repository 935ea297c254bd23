"""Encode the records of the pools' task streams, in the envelope of fleet records."""

from azurelanding import task_records
from azurelanding.log_service import wire


def encode_record(record):
    """Return ``record`` as the text of a log entry."""
    return wire.encode_envelope(record)


def decode_record(text):
    """Return the ``TaskRecord`` in the ``text`` of a log entry.

    Raises ``RecordFormatError`` when this version can't read it.
    """
    envelope, body = wire.decode_envelope(text, task_records.BODY_TYPES)
    return task_records.TaskRecord(
        envelope.id, envelope.author, envelope.asked_by, envelope.made_at, body
    )
