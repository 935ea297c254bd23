"""Keep the records of a pool's stream unread until somebody needs them.

Most daemons control no pool, but each reads the streams of all pools, to answer for
any job and to take over any pool. Decoding and folding each record of the others' pools
would take most of their processor time. So the newest record of each key is kept as it
is, by job: the records of a job are folded when a caller asks for it, all records when
a controller or the fleet controller needs the whole ledger.

The newest records of the keys are what a load of the stream yields, so they are folded
in the order of a load. There may be very many: who can wait has them folded a part at a
time, so that the event loop stays free for what is urgent.
"""

import collections
import itertools

import anyio
import anyio.lowlevel

from azurelanding.held_work import HeldWork
from azurelanding.job_records import decode_key
from azurelanding.record_faults import KEPT

JOB_KINDS = frozenset(("pin", "work", "job", "cancel", "task", "end"))
MAX_FOLDED_AT_ONCE_COUNT = 500
"""Limit on the records that are folded before other tasks of the event loop run."""


def job_of(text):
    """Return the job that a record with the key ``text`` is on, or an empty string.

    >>> job_of("task/5c0e.0.1.17"), job_of("job/5c0e"), job_of("vacated/cuts")
    ('5c0e', '5c0e', '')
    """
    kind, name = decode_key(text)
    return name.partition(".")[0] if kind in JOB_KINDS else ""


class DeferredLedger:
    """A ledger, and the records of its stream that are not folded into it yet.

    ``fold`` is the ``LedgerFold`` that folds them. ``pending`` maps jobs to their
    newest records by key; records that are on no job are under an empty string.
    ``users`` counts those who hold on to the folded ledger: while there are any,
    records are folded as they arrive. ``faults`` are the daemon's ``RecordFaults``.
    ``work`` counts what the jobs of the stream take, folded or not.
    """

    def __init__(self, topic, fold, faults):
        self.topic = topic
        self.fold = fold
        self.faults = faults
        self.pending = collections.defaultdict(dict)
        self.users = 0
        self.work = HeldWork()

    def clear(self):
        """Drop the state before the partition is loaded again."""
        self.work.clear()
        self.pending.clear()
        self.fold.clear()

    def load_order(self, record):
        """Return the sort key of a record for loading the newest record of each key."""
        return self.fold.load_order(record)

    def apply_stored(self, record):
        """Take one ``StoredRecord``; return ``KEPT`` if it is folded later.

        An invalid one that is kept shows when it is folded.
        """
        self.work.note(record)
        if self.users:
            return self.fold.apply_stored(record)
        job = job_of(record.key)
        records = self.pending[job]
        known = records.get(record.key)
        if known is None or known.offset < record.offset:
            records[record.key] = record
            if not record.value and not self._is_folded(record.key):
                # Nothing of the key was ever folded, so it needs no removal.
                del records[record.key]
        if not records:
            del self.pending[job]
        return KEPT

    def _is_folded(self, text):
        return decode_key(text) in self.fold.ledger.offsets

    def _fold_records(self, records):
        for record in sorted(records, key=self.fold.load_order):
            self.faults.apply(self.topic, record, self.fold.apply_stored)

    async def fold_job(self, job_id):
        """Fold the records of a job, a part at a time.

        Each part follows the load order. What is stored meanwhile comes last, where it
        may come too: it is newer.
        """
        records = self.pending.get(job_id, {})
        if len(records) > MAX_FOLDED_AT_ONCE_COUNT:
            by_order = sorted(records.values(), key=self.fold.load_order)
            self.pending[job_id] = {record.key: record for record in by_order}
        while len(records := self.pending.get(job_id, {})) > MAX_FOLDED_AT_ONCE_COUNT:
            part = list(itertools.islice(records, MAX_FOLDED_AT_ONCE_COUNT))
            self._fold_records([records.pop(key) for key in part])
            await anyio.lowlevel.checkpoint()
        self.find(job_id)

    async def fold_all(self):
        """Fold all records, a part at a time."""
        count = 0
        for job_id in list(self.pending):
            count += len(self.pending.get(job_id, ()))
            await self.fold_job(job_id)
            if count > MAX_FOLDED_AT_ONCE_COUNT:
                count = 0
                await anyio.lowlevel.checkpoint()

    def find(self, job_id):
        """Return the ``JobState`` of a job, or ``None``."""
        records = self.pending.pop(job_id, None)
        if records:
            self._fold_records(records.values())
        return self.fold.ledger.jobs.get(job_id)

    def whole(self):
        """Return the ledger with all records folded."""
        if self.pending:
            pending, self.pending = self.pending, collections.defaultdict(dict)
            self._fold_records(
                record for records in pending.values() for record in records.values()
            )
        return self.fold.ledger

    def has_active_jobs(self):
        """Return whether there may be jobs that have not ended."""
        return bool(self.fold.ledger.active) or any(
            f"work/{job}" in records for job, records in self.pending.items()
        )

    def hold(self):
        """Fold all records, and from now on each as it arrives, until ``release``."""
        self.users += 1
        self.whole()

    def release(self):
        """End one ``hold``."""
        self.users -= 1
