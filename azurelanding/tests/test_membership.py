"""Test which partitions a member holds, and under which epoch."""

import anyio
import testtools

from azurelanding.membership import GroupMember
from azurelanding.platform.store import JOIN_TIMEOUT_SECONDS
from azurelanding.site import StoreSettings
from azurelanding.standins.platform_store import StoreModel
from azurelanding.store import Membership
from azurelanding.tests.platform_world import until
from azurelanding.utils import boot_time

PART = ("jobs", 0)
DUTY = ("fleet", 0)


def holders(members):
    """Return the members that hold the duty, as far as they know."""
    return [member for member in members if member.epoch_of(*DUTY) is not None]


class GroupMemberTest(testtools.TestCase):
    """Epochs over changes of the group."""

    def setUp(self):
        super().setUp()
        self.member = GroupMember("m", "control", ("jobs",), None, 1.0)

    def give(self, generation, *parts, sent_at=None):
        """Let the member take what the store gave it."""
        membership = Membership(generation, frozenset(parts))
        self.member._apply_membership(
            membership, boot_time() if sent_at is None else sent_at
        )

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
        self.member.drop_holding(*PART)
        self.assertIsNone(self.member.epoch_of(*PART))
        self.give(4, PART)
        self.assertEqual(4, self.member.epoch_of(*PART))

    def test_holding_is_not_valid_after_a_silence(self):
        self.give(3, PART, sent_at=boot_time() - 2.0)
        self.assertFalse(self.member.is_valid)


class EarlierLifeTest(testtools.TestCase):
    """A daemon that was killed and has started again."""

    def test_partitions_of_an_earlier_life_are_dealt_at_once(self):
        limits = StoreSettings("127.0.0.1:1", partitions=2)

        async def main():
            store = StoreModel(2)
            for name in ("edge-1-dead", "edge-2-alive", "edge-1-2-alive"):
                store.join("control", name, ("jobs",), 60.0)
            client = store.client()
            member = GroupMember.from_config("edge-1-new", "jobs", limits, client)
            async with anyio.create_task_group() as task_group:
                task_group.start_soon(member.run)
                with anyio.fail_after(1.0):
                    while "edge-1-new" not in store.groups["control"].members:  # noqa: ASYNC110
                        await anyio.sleep(0.01)
                task_group.cancel_scope.cancel()
            return set(store.groups["control"].members)

        members = {"edge-1-new", "edge-2-alive", "edge-1-2-alive"}
        self.assertEqual(members, anyio.run(main))


class DutyTest(testtools.TestCase):
    """The group of a duty that one daemon holds at a time."""

    def run_members(self, scenario, count=3):
        """Run ``scenario`` with the model of the store and ``count`` members."""
        limits = StoreSettings("127.0.0.1:1", partitions=2)

        async def main():
            store = StoreModel(2)
            members = [
                GroupMember.for_single_holder(f"m{n}", "fleet", limits, store.client())
                for n in range(count)
            ]
            async with anyio.create_task_group() as task_group:
                for member in members:
                    task_group.start_soon(member.run)
                await until(lambda: holders(members))
                await scenario(members, task_group)
                task_group.cancel_scope.cancel()

        anyio.run(main)

    def test_holder_stays_while_others_come_and_go(self):
        async def scenario(members, task_group):
            await anyio.sleep(1.0)
            (holder,) = holders(members)
            epoch = holder.epoch_of(*DUTY)
            others = [member for member in members if member is not holder]
            for member in others:
                await member.leave()
                member.stopping, member.name = False, f"{member.name}-again"
                task_group.start_soon(member.run)
                await anyio.sleep(0.5)
            self.assertEqual([holder], holders(members))
            self.assertEqual(epoch, holder.epoch_of(*DUTY))

        self.run_members(scenario)

    def test_lost_answers_do_not_end_the_membership(self):
        async def scenario(members, task_group):
            await anyio.sleep(1.0)
            (holder,) = holders(members)
            epoch = holder.epoch_of(*DUTY)
            knobs = holder.client.model.knobs
            knobs.join_silence = JOIN_TIMEOUT_SECONDS
            await anyio.sleep(4.0)
            self.assertEqual([holder], holders(members))
            self.assertEqual(epoch, holder.epoch_of(*DUTY))

        self.run_members(scenario)

    def test_duty_goes_to_another_when_its_holder_leaves(self):
        async def scenario(members, task_group):
            (holder,) = holders(members)
            epoch = holder.epoch_of(*DUTY)
            await holder.leave()
            await until(lambda: holders(members))
            (later,) = holders(members)
            self.assertIsNot(holder, later)
            self.assertGreater(later.epoch_of(*DUTY), epoch)

        self.run_members(scenario)

    def test_duty_goes_to_another_when_its_holder_is_cut_off(self):
        async def scenario(members, task_group):
            (holder,) = holders(members)
            holder.client.cut = True
            rest = [member for member in members if member is not holder]
            await until(lambda: holders(rest), 4.0)
            self.assertFalse(holder.is_valid)
            (later,) = holders(rest)
            holder.client.cut = False
            await until(lambda: not holders([holder]))
            await anyio.sleep(1.0)
            self.assertEqual([later], holders(members))

        self.run_members(scenario)
