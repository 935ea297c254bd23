"""Keep the last entries of a stream for peer daemons."""

import collections
import itertools

MAX_ENTRIES = 5000
MAX_BYTES = 4 << 20


class RecentEntries:
    """The last folded entries, with consecutive offsets."""

    def __init__(self):
        self.entries = collections.deque()
        self.size = 0

    def append(self, entry):
        """Add ``entry``, the next in order, and drop the oldest beyond the limits."""
        self.entries.append(entry)
        self.size += len(entry.data)
        while len(self.entries) > MAX_ENTRIES or self.size > MAX_BYTES:
            self.size -= len(self.entries.popleft().data)

    def clear(self):
        """Drop all entries; the next one may have any offset."""
        self.entries.clear()
        self.size = 0

    def since(self, first, limit):
        """Return up to ``limit`` entries from offset ``first`` on.

        The list is empty when ``first`` itself is no longer kept.
        """
        if not self.entries or first < self.entries[0].offset:
            return []
        start = first - self.entries[0].offset
        return list(itertools.islice(self.entries, start, start + limit))
