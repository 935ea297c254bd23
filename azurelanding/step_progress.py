"""Keep how far the steps of a job are, over all its occurrences.

A decision asks which steps may start, many times a second. Each change of a task
updates the answer, so that the cost of a question doesn't grow with the job.
"""

import collections

import attrs

from azurelanding.occurrences import OccurrenceSet

NO_OCCURRENCES = OccurrenceSet()
"""Stands for a step that may start in no occurrence; it must not be changed."""
MAX_COPIED_COUNT = 64
"""Size up to which a dictionary is copied; a larger one is shared, with a layer for the
changes."""


def copy_dict(known):
    """Return a copy of a dictionary from which nothing is removed.

    ``known`` must not change while the copy is in use. The cost doesn't grow with it.

    >>> copy_dict({"a": 1})
    {'a': 1}
    """
    if len(known) <= MAX_COPIED_COUNT:
        return dict(known)
    return collections.ChainMap({}, known)


def longest_chain(steps, is_done=lambda number: False):
    """Return the estimated duration of the longest chain of steps, in seconds.

    Uses the caller's estimates. Steps for which ``is_done(number)`` is true count as 0.
    """
    ends = []
    for number, step in enumerate(steps):
        start = max((ends[earlier] for earlier in step.after), default=0.0)
        ends.append(start + (0.0 if is_done(number) else step.estimate))
    return max(ends, default=0.0)


@attrs.frozen
class StepPlan:
    """What follows from the steps of a job alone.

    ``dependents`` holds by step the numbers of the steps that wait for it, as often as
    they name it. ``chain`` is the estimated duration of the longest chain of steps in
    seconds, and ``tails`` by step that of the longest one that begins with it.
    ``is_long_running`` says whether some of the steps run until the job is cancelled.
    """

    dependents: tuple[tuple[int, ...], ...]
    chain: float
    tails: tuple[float, ...]
    is_long_running: bool

    @classmethod
    def from_steps(cls, steps):
        """Return the plan of ``steps``."""
        dependents = [[] for _ in steps]
        for number, step in enumerate(steps):
            for earlier in step.after:
                dependents[earlier].append(number)
        tails = [0.0] * len(steps)
        for number in reversed(range(len(steps))):
            following = max((tails[d] for d in dependents[number]), default=0.0)
            tails[number] = steps[number].estimate + following
        return cls(
            tuple(map(tuple, dependents)),
            max(tails, default=0.0),
            tuple(tails),
            any(step.long_running for step in steps),
        )


@attrs.define(eq=False)
class StepProgress:
    """The finished and running tasks of a job, by occurrence and step.

    ``done`` counts the finished tasks and ``taken`` those that are finished or have
    active runs; ``total_done`` is the sum of the former. ``blocked`` counts the steps
    that a step still waits for, where they are not all of them. ``open`` holds by step
    the occurrences of which tasks may start once they are due, and ``open_taken`` how
    many tasks of these are taken. ``chains`` caches the duration of what is left of an
    occurrence. ``shared`` are the steps whose set in ``open`` another copy uses too.
    """

    steps: tuple
    plan: StepPlan
    done: dict[tuple[int, int], int] = attrs.field(factory=dict)
    taken: dict[tuple[int, int], int] = attrs.field(factory=dict)
    total_done: int = 0
    blocked: dict[tuple[int, int], int] = attrs.field(factory=dict)
    open: dict[int, OccurrenceSet] = attrs.field(factory=dict)
    open_taken: dict[int, int] = attrs.field(factory=dict)
    chains: dict[int, float] = attrs.field(factory=dict)
    shared: set[int] = attrs.field(factory=set)

    @classmethod
    def from_steps(cls, steps, occurrences):
        """Return the progress of a job of which no task was ever started."""
        progress = cls(steps, StepPlan.from_steps(steps))
        for number, step in enumerate(steps):
            if not step.after:
                progress.open[number] = OccurrenceSet.up_to(occurrences)
        return progress

    def copy(self):
        """Return a copy that can be changed; this one must not change meanwhile."""
        return attrs.evolve(
            self,
            done=copy_dict(self.done),
            taken=copy_dict(self.taken),
            blocked=copy_dict(self.blocked),
            open=dict(self.open),
            open_taken=dict(self.open_taken),
            chains=dict(self.chains) if len(self.chains) <= MAX_COPIED_COUNT else {},
            shared=set(self.open),
        )

    def is_done(self, occurrence, number):
        """Return whether all tasks of a step of an occurrence are done."""
        return self.done.get((occurrence, number), 0) >= self.steps[number].count

    def count_waiting(self, occurrence, number):
        """Return how many tasks of a step are neither done nor running."""
        return self.steps[number].count - self.taken.get((occurrence, number), 0)

    def open_occurrences(self, number):
        """Return the occurrences of which tasks of a step may start once due."""
        return self.open.get(number, NO_OCCURRENCES)

    def open_numbers(self):
        """Return the numbers of the steps that may start in any occurrence."""
        return sorted(self.open)

    def count_open_waiting(self, number, start, stop):
        """Return about how many tasks of a step wait in a range of occurrences.

        They are those of the steps that may start. It is exact if the range holds all
        the occurrences that were begun, otherwise what is taken of them counts too.
        """
        occurrences = self.open_occurrences(number)
        count = self.steps[number].count * occurrences.count_between(start, stop)
        if start > 0:
            return count
        return max(0, count - self.open_taken.get(number, 0))

    def chain_left(self, occurrence):
        """Return the estimated seconds of the longest chain of steps not yet done."""
        chain = self.chains.get(occurrence)
        if chain is None:
            chain = longest_chain(self.steps, lambda n: self.is_done(occurrence, n))
            self.chains[occurrence] = chain
        return chain

    def count(self, occurrence, number, taken, done):
        """Count tasks of a step as taken or done; a negative number as not any more."""
        key, count = (occurrence, number), self.steps[number].count
        if taken:
            before = self.taken.get(key, 0)
            self.taken[key] = before + taken
            self._update_open(occurrence, number, before, before + taken)
        if done:
            before = self.done.get(key, 0)
            self.done[key] = before + done
            self.total_done += done
            is_done = before + done >= count
            if is_done != (before >= count):
                self.chains.pop(occurrence, None)
                for dependent in self.plan.dependents[number]:
                    self._block(occurrence, dependent, -1 if is_done else 1)

    def _block(self, occurrence, number, change):
        """Count one more or one less step that a step still waits for."""
        key, after = (occurrence, number), self.steps[number].after
        self.blocked[key] = self.blocked.get(key, len(after)) + change
        taken = self.taken.get(key, 0)
        self._update_open(occurrence, number, taken, taken)

    def _is_blocked(self, occurrence, number):
        after = self.steps[number].after
        return after and self.blocked.get((occurrence, number), len(after)) > 0

    def _update_open(self, occurrence, number, taken_before, taken):
        """Add an occurrence of a step to those that may start, or remove it."""
        was_open = occurrence in self.open_occurrences(number)
        is_open = taken < self.steps[number].count and not self._is_blocked(
            occurrence, number
        )
        if is_open != was_open:
            self._set_open(occurrence, number, is_open)
        change = (taken if is_open else 0) - (taken_before if was_open else 0)
        if change:
            self.open_taken[number] = self.open_taken.get(number, 0) + change

    def _set_open(self, occurrence, number, is_open):
        occurrences = self.open.get(number)
        if occurrences is None:
            occurrences = self.open[number] = OccurrenceSet()
        elif number in self.shared:
            occurrences = self.open[number] = occurrences.copy()
        self.shared.discard(number)
        if is_open:
            occurrences.add(occurrence)
        else:
            occurrences.discard(occurrence)
        if not occurrences:
            del self.open[number]
