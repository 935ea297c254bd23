"""Read the trail of changes back from the log."""

from azurelanding import fleet, records
from azurelanding.log_service import snapshots
from azurelanding.log_service.client import LogServiceError
from azurelanding.log_service.wire import RecordFormatError, decode_record
from azurelanding.operators import wire
from azurelanding.operators.audit_views import view_subject
from azurelanding.operators.reports import summarize

FORGOTTEN = "its verdict is no longer kept"
HOUSEKEEPING = frozenset({"leases-renewed", "snapshot-taken"})


class AuditError(Exception):
    """The trail can't be read now."""


def _read_verdict(state, entry, record):
    """Return the verdict on ``record``, or ``None`` when nothing tells it."""
    if entry.offset < state.next_offset:
        return state.verdict_on(record.id)
    return fleet.fold(state, entry.offset, record)


def _audit_entry(state, entry):
    try:
        record = decode_record(entry.data, state.format)
    except RecordFormatError as error:
        fleet.quarantine(state, entry.offset, str(error))
        return wire.AuditLine(
            entry.offset, 0.0, "unreadable", "", "", False, str(error)
        )
    follows = entry.offset >= state.next_offset
    before = view_subject(state, record.body) if follows else ""
    verdict = _read_verdict(state, entry, record)
    summary = summarize(record.body)
    if verdict is None:
        summary = f"{summary}; {FORGOTTEN}"
    elif not verdict.accepted:
        summary = f"{summary}; refused: {verdict.reason}"
    return wire.AuditLine(
        entry.offset,
        record.made_at,
        record.kind,
        record.author,
        record.asked_by,
        verdict is not None and verdict.accepted,
        summary,
        record.id,
        before,
        view_subject(state, record.body) if follows else "",
    )


async def _read_start(log_client):
    """Return the state from which the verdicts on the kept records follow.

    Once the log was trimmed that is the newest snapshot, which remembers the
    verdicts of some thousand records before it.
    """
    batch = await log_client.read(records.FLEET_STREAM, 1, limit=1)
    if batch.first == 1:
        return fleet.FleetState(), 1
    state = await snapshots.read_newest(log_client)
    if state is None or state.next_offset < batch.first:
        raise AuditError("the log was trimmed and no snapshot covers it")
    return state, batch.first


async def read_audit(log_client, include_housekeeping=False):
    """Return an ``AuditLine`` for each change that the log still keeps.

    Renewals of leases and marks of snapshots change nothing and are left out
    unless ``include_housekeeping`` is asked for.
    Raises ``AuditError`` when the log can't be read.
    """
    lines = []
    try:
        state, start = await _read_start(log_client)
        while True:
            batch = await log_client.read(records.FLEET_STREAM, start)
            if batch.first > start:
                start = batch.first
                continue
            lines += [_audit_entry(state, entry) for entry in batch.entries]
            start += len(batch.entries)
            if start >= batch.end:
                break
    except (LogServiceError, fleet.GapError) as error:
        raise AuditError(f"the audit trail can't be read: {error}") from error
    return [
        line for line in lines if include_housekeeping or line.kind not in HOUSEKEEPING
    ]
