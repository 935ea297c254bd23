"""Encode the records of a pool's stream as keyed JSON values.

A key consists of the kind of its record and a name, such as ``job/5c0e7a21d94b36f8``.
"""

import attrs
import msgspec

from azurelanding.decoding import make_json_decoder
from azurelanding.job_pins import JobPinned
from azurelanding.jobs import MAX_TASKS_PER_JOB, TaskId, TaskState
from azurelanding.ledger import (
    GrantAdopted,
    JobCancelled,
    JobEnded,
    JobSubmitted,
    LeaseVoters,
    QueueMoved,
    TaskChanged,
    WorkersMissing,
    WorkersVacated,
    WorkSubmitted,
    record_key,
)
from azurelanding.store import StoredRecordError


class JobRecordError(StoredRecordError):
    """A record of a pool's stream can't be read."""


DECODERS = {
    kind: make_json_decoder(record_type, JobRecordError)
    for kind, record_type in {
        "work": WorkSubmitted,
        "job": JobSubmitted,
        "cancel": JobCancelled,
        "end": JobEnded,
        "vacated": WorkersVacated,
        "missing": WorkersMissing,
        "voters": LeaseVoters,
        "grant": GrantAdopted,
        "moved": QueueMoved,
        "pin": JobPinned,
    }.items()
}
_decode_task_state = make_json_decoder(TaskState, JobRecordError)


def encode_key(key):
    """Return the stored form of a key of the ledger."""
    kind, name = key
    return f"{kind}/{name}"


def decode_key(text):
    """Return the key of the ledger whose stored form is ``text``."""
    kind, _, name = text.partition("/")
    return kind, name


def _parse_task_id(name):
    try:
        return TaskId.from_name(name)
    except ValueError as error:
        raise JobRecordError(f"not the name of a task: {name!r}") from error


def _check_size(record):
    """Raise ``JobRecordError`` for work that no caller can have submitted."""
    steps = record.steps if isinstance(record, WorkSubmitted) else record.job.steps
    tasks = sum(step.count for step in steps)
    occurrences = 1 if isinstance(record, WorkSubmitted) else record.job.occurrences
    if min((step.count for step in steps), default=1) < 1 or occurrences < 1:
        raise JobRecordError("a step without tasks, or a job without occurrences")
    if max(tasks, 1) * occurrences > MAX_TASKS_PER_JOB:
        raise JobRecordError(f"{tasks} tasks, {occurrences} times")


def _without_defaults(value):
    """Return the fields of an attrs instance that differ from their defaults.

    Every daemon reads every record, and most fields of most records have them.
    """
    if isinstance(value, tuple):
        return [_without_defaults(item) for item in value]
    if not attrs.has(type(value)):
        return value
    fields = {}
    for field in attrs.fields(type(value)):
        content = getattr(value, field.name)
        default = field.default
        if isinstance(default, attrs.Factory):
            default = default.factory()
        if content != default:
            fields[field.name] = _without_defaults(content)
    return fields


def encode_record(record):
    """Return the encoded key and value of ``record``.

    >>> encode_record(TaskChanged(TaskId("5c0e", 0, 1, 17), TaskState(last_run=2)))
    ('task/5c0e.0.1.17', b'{"last_run":2}')
    """
    key = record_key(record)
    body = record.state if isinstance(record, TaskChanged) else record
    return encode_key(key), msgspec.json.encode(_without_defaults(body))


def encode_drop(key):
    """Return the encoded key and the ``None`` value that delete ``key``."""
    return encode_key(key), None


def decode_record(text, value):
    """Return the key and the record, which is ``None`` for a deleted key.

    Raises ``JobRecordError`` when the record can't be read.
    """
    key = decode_key(text)
    if not value:
        return key, None
    kind, name = key
    if kind == "task":
        return key, TaskChanged(_parse_task_id(name), _decode_task_state(value))
    decode = DECODERS.get(kind)
    if decode is None:
        raise JobRecordError(f"no record is of the kind {kind!r}")
    record = decode(value)
    if isinstance(record, (WorkSubmitted, JobSubmitted)):
        _check_size(record)
    return key, record
