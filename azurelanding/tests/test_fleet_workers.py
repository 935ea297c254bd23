"""Test what the registry of workers knows of lives that are over."""

import testtools

from azurelanding.fleet_workers import WorkerEntry, WorkerRegistry
from azurelanding.tasks import Resources


def make_entry(worker_id, host, born):
    """Return the entry of one life of a host."""
    return WorkerEntry(worker_id, host, "cuts", "a:1", "a", Resources(), born=born)


class RegistryTest(testtools.TestCase):
    """Lives of hosts."""

    def make(self, *entries):
        """Return a registry that has seen ``entries`` in their order."""
        registry = WorkerRegistry()
        for entry in entries:
            registry.put(entry.id, entry)
        return registry

    def test_later_life_ends_the_earlier(self):
        registry = self.make(make_entry("v", "h", 1), make_entry("w", "h", 2))
        self.assertTrue(registry.is_over("v"))
        self.assertFalse(registry.is_over("w"))

    def test_order_of_entries_does_not_matter(self):
        registry = self.make(make_entry("w", "h", 2), make_entry("v", "h", 1))
        self.assertTrue(registry.is_over("v"))
        self.assertFalse(registry.is_over("w"))

    def test_removed_entry_is_remembered(self):
        registry = self.make(make_entry("v", "h", 1))
        registry.put("v", None)
        self.assertFalse(registry.is_over("v"))
        registry.put("w", make_entry("w", "h", 2))
        self.assertTrue(registry.is_over("v"))

    def test_lives_of_other_or_unnamed_hosts_end_nothing(self):
        registry = self.make(
            make_entry("v", "h", 1),
            make_entry("w", "i", 2),
            make_entry("x", "", 3),
            make_entry("y", "", 4),
        )
        self.assertEqual([], [name for name in "vwxy" if registry.is_over(name)])
