"""Test which partitions a member holds, and under which epoch."""

from unittest import mock

import anyio
import testtools

from azurelanding.membership import (
    FLEET_GROUP,
    GroupMember,
    daemon_name,
    member_name,
    rank_of,
    reserve_rank,
)
from azurelanding.platform.store import JOIN_TIMEOUT_SECONDS
from azurelanding.site import StoreSettings
from azurelanding.standins.platform_store import StoreModel
from azurelanding.store import Membership
from azurelanding.tests.platform_world import until
from azurelanding.utils import boot_time

PARTITION = ("jobs", 0)
FLEET = ("fleet", 0)


def holders(members):
    """Return the members that consider themselves fleet controller."""
    return [member for member in members if member.epoch_of(*FLEET) is not None]


class GroupMemberTest(testtools.TestCase):
    """Epochs across changes of the group."""

    def setUp(self):
        super().setUp()
        self.member = GroupMember("m", "control", ("jobs",), None, 1.0)

    def assign(self, generation, *assigned, sent_at=None):
        """Apply an assignment of the store to the member."""
        membership = Membership(generation, frozenset(assigned))
        self.member._apply_membership(
            membership, boot_time() if sent_at is None else sent_at
        )

    def test_kept_partition_keeps_its_epoch(self):
        self.assign(3, PARTITION)
        self.assign(5, PARTITION, ("jobs", 1))
        self.assertEqual(3, self.member.epoch_of(*PARTITION))
        self.assertEqual(5, self.member.epoch_of("jobs", 1))

    def test_partition_regained_after_the_timeout_has_a_higher_epoch(self):
        self.assign(3, PARTITION)
        self.assign(7, PARTITION, sent_at=boot_time() + 5.0)
        self.assertEqual(7, self.member.epoch_of(*PARTITION))

    def test_timeout_without_a_group_change_keeps_the_epoch(self):
        self.assign(3, PARTITION)
        self.assign(3, PARTITION, sent_at=boot_time() + 5.0)
        self.assertEqual(3, self.member.epoch_of(*PARTITION))

    def test_dropped_partition_is_held_under_the_next_generation(self):
        self.assign(3, PARTITION)
        self.member.drop_holding(*PARTITION)
        self.assertIsNone(self.member.epoch_of(*PARTITION))
        self.assign(4, PARTITION)
        self.assertEqual(4, self.member.epoch_of(*PARTITION))

    def test_holdings_are_not_valid_after_the_timeout(self):
        self.assign(3, PARTITION, sent_at=boot_time() - 2.0)
        self.assertFalse(self.member.is_valid)


class RestartedDaemonTest(testtools.TestCase):
    """A daemon that was killed and restarted."""

    def test_earlier_incarnation_is_removed_immediately(self):
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


class ReserveTest(testtools.TestCase):
    """Daemons on hosts with too little bandwidth for the starts of a busy pool."""

    def run_daemons(self, scenario, *link_rates):
        """Run ``scenario`` with a member of the control group for each link rate."""
        limits = StoreSettings("127.0.0.1:1", partitions=4)

        async def main():
            store = StoreModel(4)
            members = []
            async with anyio.create_task_group() as task_group:
                for number, rate in enumerate(link_rates):
                    name = member_name(f"d{number}", "1", reserve_rank(rate))
                    client = store.client()
                    member = GroupMember.from_config(name, "jobs", limits, client)
                    members.append(member)
                    task_group.start_soon(member.run)
                await scenario(store, members)
                task_group.cancel_scope.cancel()

        anyio.run(main)

    def partition_counts(self, members):
        return [len(member.holdings) for member in members]

    def test_rank_is_read_from_the_name_of_a_member(self):
        rates = (None, 125_000_000.0, 4_000_000.0, 1_250_000.0)
        self.assertEqual([0, 0, 1, 2], [reserve_rank(rate) for rate in rates])
        for rank in (0, 1, 12):
            name = member_name("edge-1", "ab12cd", rank)
            self.assertEqual((rank, "edge-1"), (rank_of(name), daemon_name(name)))

    def test_pools_are_not_controlled_over_a_thin_link_beside_a_wide_one(self):
        # Starts filled a link of 10 Mbit/s: leases ran out, and tasks ran twice.
        async def scenario(store, members):
            for _ in range(30):
                await anyio.sleep(0.1)
                self.assertEqual([0, 0, 0], self.partition_counts(members[1:]))
            self.assertEqual(4, len(members[0].holdings))

        self.run_daemons(scenario, 4_000_000.0, *[625_000.0] * 3)

    def test_reserves_take_all_partitions_when_the_others_are_gone(self):
        async def scenario(store, members):
            await until(lambda: len(members[0].holdings) == 4)
            epoch = members[0].epoch_of(*PARTITION)
            members[0].client.cut = True
            reserves = members[1:]
            await until(lambda: self.partition_counts(reserves) == [2, 2], 6.0)
            self.assertGreater(
                min(epoch for m in reserves for epoch in m.holdings.values()), epoch
            )
            members[0].client.cut = False
            await until(lambda: self.partition_counts(members) == [4, 0, 0], 6.0)
            self.assertEqual([members[0].name], list(store.groups["control"].members))

        self.run_daemons(scenario, None, 625_000.0, 625_000.0)

    def test_reserves_share_the_partitions_where_every_link_is_thin(self):
        async def scenario(store, members):
            await until(lambda: self.partition_counts(members) == [2, 2], 4.0)
            await anyio.sleep(2.0)
            self.assertEqual([2, 2], self.partition_counts(members))

        self.run_daemons(scenario, 625_000.0, 625_000.0)

    def test_lost_answers_of_the_looks_at_the_holders_do_not_end_the_membership(self):
        async def scenario(store, members):
            await until(lambda: self.partition_counts(members) == [2, 2], 4.0)
            held = [dict(member.holdings) for member in members]
            store.knobs.unanswered_owners_seconds = JOIN_TIMEOUT_SECONDS
            for _ in range(40):
                await anyio.sleep(0.1)
                self.assertEqual([True, True], [m.is_valid for m in members])
            self.assertEqual(held, [member.holdings for member in members])

        self.run_daemons(scenario, 625_000.0, 625_000.0)


class SingleHolderTest(testtools.TestCase):
    """The group of the fleet controller, a role that one daemon holds at a time."""

    def run_members(self, scenario, count=3):
        """Run ``scenario`` with ``count`` members on a simulated store."""
        limits = StoreSettings("127.0.0.1:1", partitions=2)

        async def main():
            store = StoreModel(2)
            members = [
                GroupMember.for_single_holder(name, "fleet", limits, store.client())
                for name in (f"m{99 - n}" for n in range(count))
            ]
            async with anyio.create_task_group() as task_group:
                for member in members:
                    task_group.start_soon(member.run)
                await until(lambda: holders(members))
                await scenario(members, task_group)
                task_group.cancel_scope.cancel()

        anyio.run(main)

    def test_holder_keeps_the_role_while_other_members_restart(self):
        async def scenario(members, task_group):
            await anyio.sleep(1.0)
            (holder,) = holders(members)
            epoch = holder.epoch_of(*FLEET)
            others = [member for member in members if member is not holder]
            for member in others:
                await member.leave()
                member.stopping, member.name = False, f"{member.name}-again"
                task_group.start_soon(member.run)
                await anyio.sleep(0.5)
            self.assertEqual([holder], holders(members))
            self.assertEqual(epoch, holder.epoch_of(*FLEET))

        self.run_members(scenario)

    def test_lost_join_responses_do_not_end_the_membership(self):
        async def scenario(members, task_group):
            await anyio.sleep(1.0)
            (holder,) = holders(members)
            epoch = holder.epoch_of(*FLEET)
            knobs = holder.client.model.knobs
            knobs.unanswered_join_seconds = JOIN_TIMEOUT_SECONDS
            await anyio.sleep(4.0)
            self.assertEqual([holder], holders(members))
            self.assertEqual(epoch, holder.epoch_of(*FLEET))

        self.run_members(scenario)

    def test_one_of_36_members_that_join_together_is_the_holder(self):
        # The highest name joins first; the store would assign the role to the lowest.
        async def scenario(members, task_group):
            (holder,) = holders(members)
            for _ in range(150):
                await anyio.sleep(0.01)
                self.assertEqual([holder], holders(members))
            self.assertEqual(
                [holder.name], list(holder.client.model.groups[FLEET_GROUP].members)
            )

        with mock.patch("random.uniform", return_value=0.0):
            self.run_members(scenario, count=36)

    def test_another_member_takes_the_role_when_its_holder_leaves(self):
        async def scenario(members, task_group):
            (holder,) = holders(members)
            epoch = holder.epoch_of(*FLEET)
            await holder.leave()
            await until(lambda: holders(members))
            (later,) = holders(members)
            self.assertIsNot(holder, later)
            self.assertGreater(later.epoch_of(*FLEET), epoch)

        self.run_members(scenario)

    def test_another_member_takes_the_role_when_its_holder_is_cut_off(self):
        async def scenario(members, task_group):
            (holder,) = holders(members)
            holder.client.cut = True
            others = [member for member in members if member is not holder]
            await until(lambda: holders(others), 4.0)
            self.assertFalse(holder.is_valid)
            (later,) = holders(others)
            holder.client.cut = False
            await until(lambda: not holders([holder]))
            await anyio.sleep(1.0)
            self.assertEqual([later], holders(members))

        self.run_members(scenario)
