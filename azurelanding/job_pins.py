"""Keep submissions apart that were stored after their job was pinned to another pool.

A queue may move to another pool while a submission is on its way to the stream of the
earlier pool. Before that pool's controller starts such a job, it stores a pin in the
streams of the other pools. The order of a stream then decides, alike for all readers:
a submission that precedes the pin counts, and the controller finds it there; one that
follows the pin has no effect.
"""

import attrs


@attrs.frozen
class JobPinned:
    """A submission of ``job`` by ``account`` that is stored here later has no effect.

    The controller of ``pool`` under ``epoch`` decides on the job. ``attempt`` numbers
    its attempts to store pins. ``at`` is in seconds since the epoch.
    """

    job: str
    pool: str
    epoch: int
    attempt: int
    at: float
    account: str = ""

    @property
    def name(self):
        """Return the name of the record's key.

        No other attempt uses it: compaction would keep the later pin only.
        """
        return f"{self.job}.{self.pool}.{self.epoch}.{self.attempt}"


@attrs.frozen
class Pin:
    """A ``JobPinned`` record and the offset at which it is stored."""

    record: JobPinned
    offset: int


def job_of_pin(name):
    """Return the job of a pin by the name of its key.

    >>> job_of_pin("5c0e7a21d94b36f8.cuts.7000.1")
    '5c0e7a21d94b36f8'
    """
    return name.partition(".")[0]


class JobPins:
    """The pins of one partition, and the submissions that they withhold.

    ``pins`` maps jobs to their ``Pin`` by name, and ``withheld`` maps jobs to the
    record and the offset of their withheld submission. ``void`` holds the names of the
    pins of jobs that are known, which have no effect. They are to be dropped:
    compaction keeps only the last record of a key, so they would withhold a submission
    that was repeated after them on a load.
    """

    def __init__(self):
        self.pins = {}
        self.withheld = {}
        self.void = {}

    def add(self, record, offset, known_job):
        """Add a pin; ``known_job`` is the job with its id, or ``None``."""
        self.pins.setdefault(record.job, {})[record.name] = Pin(record, offset)
        if known_job is not None:
            self.note_known(known_job)

    def _pins_of(self, job):
        """Return the pins of ``job``, without those of another account's."""
        pins = self.pins.get(job.id, {}).values()
        return [pin for pin in pins if pin.record.account == job.account]

    def note_known(self, job):
        """Note that a job is known, so that its pins have no effect."""
        self.void.update((pin.record.name, None) for pin in self._pins_of(job))

    def precede(self, job, offset):
        """Return whether a job was pinned before ``offset``."""
        return any(pin.offset < offset for pin in self._pins_of(job))

    def is_pinned_by(self, job, pool):
        """Return whether a controller of ``pool`` has pinned a job."""
        return any(pin.record.pool == pool for pin in self._pins_of(job))

    def withhold(self, record, offset):
        """Keep the record of a submission apart."""
        self.withheld[record.job.id] = record, offset

    def remove(self, name):
        """Remove a pin.

        Returns the record that is no longer withheld and its offset, or ``None``.
        """
        job_id = job_of_pin(name)
        self.void.pop(name, None)
        pins = self.pins.get(job_id, {})
        pins.pop(name, None)
        if pins:
            return None
        self.pins.pop(job_id, None)
        return self.withheld.pop(job_id, None)

    def expired(self, retention, now):
        """Yield the jobs whose pins are all older than ``retention`` seconds."""
        for job_id, pins in self.pins.items():
            if all(now > pin.record.at + retention for pin in pins.values()):
                yield job_id
