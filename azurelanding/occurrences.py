"""Keep sets of the occurrences of a job, of which there may be very many."""

import bisect

import attrs


@attrs.define(eq=False)
class OccurrenceSet:
    """A set of occurrences, kept as ranges that don't touch.

    Occurrences are due in their order, so those that share a state are mostly in a few
    ranges. ``starts`` and ``stops`` hold the ranges in order, ``size`` the number of
    occurrences.

    >>> occurrences = OccurrenceSet.up_to(100_000)
    >>> occurrences.discard(3)
    >>> occurrences.starts, occurrences.stops
    ([0, 4], [3, 100000])
    """

    starts: list[int] = attrs.field(factory=list)
    stops: list[int] = attrs.field(factory=list)
    size: int = 0

    @classmethod
    def up_to(cls, count):
        """Return the set of the first ``count`` occurrences."""
        return cls([0], [count], count) if count else cls()

    def copy(self):
        """Return an independent copy."""
        return OccurrenceSet(list(self.starts), list(self.stops), self.size)

    def __len__(self):
        """Return the number of occurrences."""
        return self.size

    def __contains__(self, occurrence):
        """Return whether an occurrence is in the set."""
        index = bisect.bisect_right(self.starts, occurrence) - 1
        return index >= 0 and occurrence < self.stops[index]

    def add(self, occurrence):
        """Add an occurrence, which may be in the set already."""
        index = bisect.bisect_right(self.starts, occurrence)
        if index and occurrence < self.stops[index - 1]:
            return
        self.size += 1
        joins_before = index > 0 and self.stops[index - 1] == occurrence
        joins_after = index < len(self.starts) and self.starts[index] == occurrence + 1
        if joins_before and joins_after:
            self.stops[index - 1] = self.stops.pop(index)
            del self.starts[index]
        elif joins_before:
            self.stops[index - 1] += 1
        elif joins_after:
            self.starts[index] -= 1
        else:
            self.starts.insert(index, occurrence)
            self.stops.insert(index, occurrence + 1)

    def discard(self, occurrence):
        """Remove an occurrence if it is in the set."""
        index = bisect.bisect_right(self.starts, occurrence) - 1
        if index < 0 or occurrence >= self.stops[index]:
            return
        self.size -= 1
        start, stop = self.starts[index], self.stops[index]
        if stop - start == 1:
            del self.starts[index], self.stops[index]
        elif occurrence == start:
            self.starts[index] += 1
        elif occurrence == stop - 1:
            self.stops[index] -= 1
        else:
            self.stops.insert(index, occurrence)
            self.starts.insert(index + 1, occurrence + 1)

    def between(self, start, stop):
        """Yield the occurrences from ``start`` up to, but without, ``stop``."""
        index = max(0, bisect.bisect_right(self.starts, start) - 1)
        while index < len(self.starts) and self.starts[index] < stop:
            first = max(start, self.starts[index])
            yield from range(first, min(stop, self.stops[index]))
            index += 1

    def count_between(self, start, stop):
        """Return the number of occurrences from ``start`` up to ``stop``."""
        index = max(0, bisect.bisect_right(self.starts, start) - 1)
        count = 0
        while index < len(self.starts) and self.starts[index] < stop:
            first = max(start, self.starts[index])
            count += max(0, min(stop, self.stops[index]) - first)
            index += 1
        return count
