"""Test which partitions a member holds, and under which epoch."""

import testtools

from azurelanding.membership import GroupMember
from azurelanding.store import Membership
from azurelanding.utils import boot_time

PART = ("jobs", 0)


class GroupMemberTest(testtools.TestCase):
    """Epochs over changes of the group."""

    def setUp(self):
        super().setUp()
        self.member = GroupMember("m", ("jobs",), None, 1.0)

    def give(self, generation, *parts, sent_at=None):
        """Let the member take what the store gave it."""
        membership = Membership(generation, frozenset(parts))
        self.member._take(membership, boot_time() if sent_at is None else sent_at)

    def test_kept_partition_keeps_its_epoch(self):
        self.give(3, PART)
        self.give(5, PART, ("jobs", 1))
        self.assertEqual(3, self.member.epoch_of(*PART))
        self.assertEqual(5, self.member.epoch_of("jobs", 1))

    def test_partition_held_again_after_a_silence_has_a_higher_epoch(self):
        self.give(3, PART)
        self.give(7, PART, sent_at=boot_time() + 5.0)
        self.assertEqual(7, self.member.epoch_of(*PART))

    def test_silence_without_a_change_of_the_group_keeps_the_epoch(self):
        self.give(3, PART)
        self.give(3, PART, sent_at=boot_time() + 5.0)
        self.assertEqual(3, self.member.epoch_of(*PART))

    def test_overtaken_partition_is_taken_under_the_next_generation(self):
        self.give(3, PART)
        self.member.give_up(*PART)
        self.assertIsNone(self.member.epoch_of(*PART))
        self.give(4, PART)
        self.assertEqual(4, self.member.epoch_of(*PART))

    def test_holding_is_not_valid_after_a_silence(self):
        self.give(3, PART, sent_at=boot_time() - 2.0)
        self.assertFalse(self.member.is_valid)
