"""Decide whether a daemon has room for another job, by what the jobs it holds take.

Every daemon holds all jobs of all pools until they have ended and their outcome need
not be reported any more. This answers submissions that come faster than jobs end, and
jobs that never end: what has no room is refused at once. The jobs of one queue and
client account may take no more than is left for all others, so a flood of them leaves
half of the room, and a second flood half of the rest.
"""

import collections
import sys
import typing

import attrs

from azurelanding.decoding import Count, Text, make_json_decoder, message_type
from azurelanding.store import StoredRecordError

JOB_BYTES = 2_500
"""About what a job takes until it has ended, without its steps and tasks."""
STEP_BYTES = 400
EARLIER_STEP_BYTES = 40
"""About what a step takes for each step that must be done before it."""
TASK_BYTES = 900
"""About what a task takes once it was started."""
MAX_COUNTED_TASKS = 1_000
"""Tasks of a job that are counted; of a larger one few are started at a time."""
ENDED_JOB_BYTES = 1_500
CANCELLATION_BYTES = 800

JobSizeMessage = message_type(
    "JobSizeMessage",
    {
        "job": message_type(
            "SizeMessage",
            {
                "queue": Text,
                "account": typing.NotRequired[Text],
                "size": typing.NotRequired[Count],
            },
        )
    },
)
_decode_size = make_json_decoder(JobSizeMessage, StoredRecordError)


def job_size(job):
    """Return about how many bytes a daemon needs to hold ``job`` until it has ended."""
    size = JOB_BYTES + sys.getsizeof(job.spec)
    for step in job.steps:
        texts = (step.label, step.rack, step.image)
        size += STEP_BYTES + EARLIER_STEP_BYTES * len(step.after)
        size += sum(sys.getsizeof(text) for text in texts if text)
    return size + TASK_BYTES * min(job.task_count, MAX_COUNTED_TASKS)


def group_of(job):
    """Return the pair of a queue and a client account whose jobs count together."""
    return job.queue, job.account


def has_room(size, group, holdings, limit):
    """Return whether ``size`` more bytes of ``group`` fit below ``limit``.

    ``holdings`` are the ``HeldWork`` of all streams, and that of jobs on their way.
    """
    total = sum(held.total for held in holdings)
    own = sum(held.by_group[group] for held in holdings)
    return own + size <= limit - total


@attrs.define
class HeldWork:
    """What jobs take in this daemon in bytes, in ``total`` and ``by_group``.

    ``items`` maps the name of each job and cancellation to its group and its size.
    """

    items: dict[str, tuple] = attrs.field(factory=dict)
    by_group: collections.Counter = attrs.field(factory=collections.Counter)
    total: int = 0

    def clear(self):
        """Forget all, as the stream is loaded again."""
        self.items.clear()
        self.by_group.clear()
        self.total = 0

    def put(self, name, group, size):
        """Set what ``name`` takes."""
        self.drop(name)
        self.items[name] = group, size
        self.by_group[group] += size
        self.total += size

    def drop(self, name):
        """Remove ``name``, if it is there."""
        group, size = self.items.pop(name, (None, 0))
        if size:
            self.by_group[group] -= size
            self.total -= size
            if not self.by_group[group]:
                del self.by_group[group]

    def note(self, record):
        """Take note of a ``StoredRecord`` of a stream of jobs, in their order."""
        kind, _, name = record.key.partition("/")
        if kind == "job" and record.value:
            self._note_job(record)
        elif kind == "cancel" and record.value:
            self.put(record.key, None, CANCELLATION_BYTES)
        elif kind in ("job", "cancel"):
            self.drop(record.key)
        elif kind == "end" and record.value:
            group, size = self.items.get(f"job/{name}", (None, 0))
            if size:
                self.put(f"job/{name}", group, min(size, ENDED_JOB_BYTES))

    def _note_job(self, record):
        try:
            job = _decode_size(record.value)["job"]
        except StoredRecordError:
            # It is reported where the record is folded.
            return
        group = job["queue"], job.get("account", "")
        self.put(record.key, group, job.get("size", JOB_BYTES))
