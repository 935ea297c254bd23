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
    """A submission of ``job`` that is stored here later has no effect.

    The controller of ``pool`` under ``epoch`` decides on the job. ``attempt`` numbers
    its attempts to store pins. ``at`` is in seconds since the epoch.
    """

    job: str
    pool: str
    epoch: int
    attempt: int
    at: float

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

    ``pins`` maps jobs to their ``Pin`` by name, ``withheld`` maps jobs to the withheld
    records by key. ``void`` holds the names of the pins of jobs that are known, which
    have no effect. They are to be dropped: compaction keeps only the last record of a
    key, so they would withhold a submission that was repeated after them on a load.
    """

    def __init__(self):
        self.pins = {}
        self.withheld = {}
        self.void = {}

    def add(self, record, offset, is_known):
        """Add a pin; ``is_known`` says whether its job was submitted before."""
        self.pins.setdefault(record.job, {})[record.name] = Pin(record, offset)
        if is_known:
            self.note_known(record.job)

    def note_known(self, job_id):
        """Note that a job is known, so that its pins have no effect."""
        self.void.update(dict.fromkeys(self.pins.get(job_id, ())))

    def precede(self, job_id, offset):
        """Return whether a job was pinned before ``offset``."""
        pins = self.pins.get(job_id, {}).values()
        return any(pin.offset < offset for pin in pins)

    def withhold(self, job_id, key, record):
        """Keep a record of a submission apart."""
        self.withheld.setdefault(job_id, {})[key] = record

    def drop_withheld(self, job_id, key):
        """Drop a record of a submission, if it was withheld."""
        self.withheld.get(job_id, {}).pop(key, None)

    def remove(self, name):
        """Remove a pin; return by key what is no longer withheld."""
        job_id = job_of_pin(name)
        self.void.pop(name, None)
        pins = self.pins.get(job_id, {})
        pins.pop(name, None)
        if pins:
            return {}
        self.pins.pop(job_id, None)
        return self.withheld.pop(job_id, {})

    def expired(self, retention, now):
        """Yield the jobs whose pins are all older than ``retention`` seconds."""
        for job_id, pins in self.pins.items():
            if all(now > pin.record.at + retention for pin in pins.values()):
                yield job_id
