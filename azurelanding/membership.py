"""Maintain this daemon's membership in the groups that assign pools and the fleet.

The store assigns the partitions of a group's topics evenly to its members. A pool is
controlled by the holder of its partition, under an epoch: the generation at which the
store assigned the partition, so a later holder has a higher epoch. The role of fleet
controller, which one daemon holds at a time, has a separate group that only the holder
joins, so the role does not move when other daemons start or stop.

A controller sends the specification of a job with each start of a task. A daemon whose
host has too little bandwidth for that is a reserve: it joins only while no daemon with
clearly more bandwidth holds anything.
"""

import random
import re
import zlib

import anyio
import structlog

from azurelanding.store import StoreError
from azurelanding.utils import Notifier, boot_time

logger = structlog.get_logger()

CONTROL_GROUP = "control"
FLEET_GROUP = "fleet-duty"
JOIN_INTERVAL_SECONDS = 0.3
"""A quarter of the member timeout, so that one join may be lost and time out, which
takes half a second, before the membership ends."""
MAX_JOIN_DELAY_SECONDS = 0.3
"""Longest random delay of a daemon that joins because a role has no holder. A join
takes a hundredth of it, so two daemons rarely join at the same time."""
RESERVE_INTERVAL_SECONDS = 0.9
"""Interval between two looks at the holders of a group by a daemon that is not in it.
The looks of many daemons together are much more frequent."""
RESERVE_DELAY_SECONDS = 0.5
"""How long nobody must hold anything before a reserve of rank 1 joins, so that daemons
of a lower rank which start at the same time join first. A rank multiplies it."""
RESERVE_MARK = ".reserve"
"""Precedes the rank in the member name of a reserve, where other daemons read it."""
RESERVE_PATTERN = re.compile(re.escape(RESERVE_MARK) + r"([0-9]{1,2})\Z")
RESERVE_RANK_FACTOR = 4
"""How many times less bandwidth one more rank means."""
CONTROLLER_LINK_BYTES_PER_SECOND = 6_000_000.0
"""Bandwidth from which a daemon has rank 0: 1,500 starts a second, one for each slot
of 190 workers, with specifications of 4,000 bytes."""
MEMBER_TIMEOUT_SECONDS = 1.2
"""Time without a join after which the store reassigns a member's partitions."""


def partition_of(name, partitions):
    """Return the partition of the stream of a pool."""
    return zlib.crc32(name.encode()) % partitions


def reserve_rank(link_rate):
    """Return the rank of a daemon on a host with ``link_rate`` bytes per second.

    Rank 0 controls pools; higher ranks are reserves, each for the ranks below it. The
    rate is ``None`` if it is unknown; such a host counts as fast enough.

    >>> reserve_rank(12_500_000.0), reserve_rank(4_000_000.0), reserve_rank(625_000.0)
    (0, 1, 2)
    """
    rank = 0
    if link_rate is not None:
        while link_rate * RESERVE_RANK_FACTOR**rank < CONTROLLER_LINK_BYTES_PER_SECOND:
            rank += 1
    return rank


def member_name(daemon, incarnation, rank=0):
    """Return the member name of one incarnation of a daemon with a reserve rank."""
    return (
        f"{daemon}-{incarnation}{RESERVE_MARK}{rank}"
        if rank
        else (f"{daemon}-{incarnation}")
    )


def rank_of(name):
    """Return the reserve rank in a member name."""
    match = RESERVE_PATTERN.search(name)
    return int(match[1]) if match else 0


def daemon_name(name):
    """Return the name of a member's daemon."""
    return name.rpartition("-")[0]


class GroupMember:
    """This daemon's membership in a group; ``holdings`` maps partitions to epochs.

    ``member_timeout`` is the time in seconds without a join after which the store may
    reassign the holdings, and ``valid_until`` is the ``boot_time`` of that moment. With
    ``sole_partition``, the daemon is in the group only while it holds that partition or
    nobody does. A member with the name of a reserve is in the group only while no
    member of a lower rank holds any of its partitions.
    """

    def __init__(
        self, name, group, topics, client, member_timeout, sole_partition=None
    ):
        self.name = name
        self.rank = rank_of(name)
        self.has_joined = False
        self.next_look_at = 0.0
        self.group = group
        self.sole_partition = sole_partition
        self.topics = topics
        self.client = client
        self.member_timeout = member_timeout
        self.generation = 0
        self.holdings = {}
        self.valid_until = 0.0
        self.stopping = False
        self.changes = Notifier()

    @classmethod
    def from_config(cls, name, topic, limits, client):
        """Return a member that shares control of the pools in ``topic`` with others."""
        member_timeout = max(MEMBER_TIMEOUT_SECONDS, limits.min_membership_seconds)
        return cls(name, CONTROL_GROUP, (topic,), client, member_timeout)

    @classmethod
    def for_single_holder(cls, name, topic, limits, client):
        """Return a member that holds partition 0 of ``topic`` if nobody else does."""
        member_timeout = max(MEMBER_TIMEOUT_SECONDS, limits.min_membership_seconds)
        return cls(name, FLEET_GROUP, (topic,), client, member_timeout, (topic, 0))

    def epoch_of(self, topic, partition):
        """Return the epoch under which this daemon holds a partition, else ``None``."""
        return self.holdings.get((topic, partition))

    def held_partitions(self, topic):
        """Return the numbers of the partitions of a topic that this daemon holds."""
        return [partition for held, partition in self.holdings if held == topic]

    @property
    def is_valid(self):
        """Return whether the holdings can't have been assigned to other members."""
        return boot_time() < self.valid_until

    def drop_holding(self, topic, partition):
        """Drop a lost or fenced holding; the next join may bring it back.

        Its generation may be the same then, so its holder adds to it for a new epoch.
        """
        if self.holdings.pop((topic, partition), None) is not None:
            self.changes.notify()

    def _apply_membership(self, membership, sent_at):
        if membership.generation != self.generation and sent_at > self.valid_until:
            # Other members may have held and lost the partitions meanwhile. Their
            # epochs would be higher than the ones held here.
            self.holdings = {}
        self.generation = membership.generation
        self.valid_until = sent_at + self.member_timeout
        held = {
            part: self.holdings.get(part, membership.generation)
            for part in membership.partitions
        }
        if held == self.holdings:
            return
        logger.info(
            "partition assignment changed",
            generation=membership.generation,
            gained=sorted(held.keys() - self.holdings.keys()),
            lost=sorted(self.holdings.keys() - held.keys()),
        )
        self.holdings = held
        self.changes.notify()

    async def run(self):
        """Renew the membership until cancelled."""
        earlier_removed = False
        while not self.stopping:
            try:
                if not earlier_removed:
                    await self._remove_earlier_incarnations()
                    earlier_removed = True
                await self._join()
            except StoreError as error:
                logger.info("join failed", group=self.group, reason=str(error))
            may_wait = self.rank or self.sole_partition is not None
            is_outside = may_wait and not self.has_joined
            await anyio.sleep(
                RESERVE_INTERVAL_SECONDS if is_outside else JOIN_INTERVAL_SECONDS
            )

    async def _remove_earlier_incarnations(self):
        """Remove earlier incarnations of this daemon, which have ended, from the group.

        The store then reassigns their partitions immediately, without the timeout.
        """
        owners = await self.client.owners(self.group)
        for name in sorted(set(owners.values()) - {self.name}):
            if daemon_name(name) == daemon_name(self.name):
                await self.client.leave(self.group, name)
                logger.info("earlier incarnation removed", group=self.group, name=name)

    async def _join(self):
        """Join or renew the membership, if this daemon has a place in the group."""
        if self.sole_partition is not None:
            if not await self._may_join():
                return
        elif self.rank and not await self._is_reserve_needed():
            return
        if self.stopping:
            return
        sent_at = boot_time()
        membership = await self.client.join(
            self.group, self.name, self.topics, self.generation, self.member_timeout
        )
        if self.stopping:
            return
        self.has_joined = True
        self._apply_membership(membership, sent_at)
        if self.sole_partition is not None and self.sole_partition not in self.holdings:
            self.has_joined = False
            self.holdings = {}
            await self.client.leave(self.group, self.name)

    async def _is_reserve_needed(self):
        """Return whether no member of a lower rank holds a partition, else leave.

        A member that can't read the holders stays: joins may still be answered.
        """
        if self.has_joined and boot_time() < self.next_look_at:
            return True
        self.next_look_at = boot_time() + RESERVE_INTERVAL_SECONDS
        try:
            holders = await self._holders()
        except StoreError:
            if self.has_joined:
                return True
            raise
        if not holders and not self.has_joined:
            await anyio.sleep(RESERVE_DELAY_SECONDS * self.rank)
            holders = await self._holders()
        if all(rank_of(name) >= self.rank for name in holders):
            return True
        if self.has_joined:
            logger.info("reserve steps back", group=self.group, holders=len(holders))
            await self._step_back()
        return False

    async def _step_back(self):
        """Leave the group until this daemon is needed again."""
        self.has_joined = False
        self.holdings = {}
        self.changes.notify()
        await self.client.leave(self.group, self.name)

    async def _holders(self):
        return set((await self.client.owners(self.group)).values())

    async def _may_join(self):
        """Return whether no other member is known to hold the sole partition.

        A partition that was dropped here is acquired again only after the store's
        timeout, so it then has a higher epoch.
        """
        is_held = self.sole_partition in self.holdings
        if is_held and self.is_valid:
            return True
        owner = await self._owner()
        if owner is None and not is_held:
            head_start = RESERVE_DELAY_SECONDS * self.rank
            await anyio.sleep(head_start + random.uniform(0.0, MAX_JOIN_DELAY_SECONDS))
            owner = await self._owner()
        if is_held and owner not in (None, self.name):
            self.drop_holding(*self.sole_partition)
        return owner is None or (is_held and owner == self.name)

    async def _owner(self):
        return (await self.client.owners(self.group)).get(self.sole_partition)

    async def leave(self):
        """Leave the group, so that the store reassigns all holdings immediately."""
        self.stopping = True
        self.holdings = {}
        self.changes.notify()
        try:
            await self.client.leave(self.group, self.name)
        except StoreError as error:
            logger.info("leave failed, the membership will time out", reason=str(error))

    async def close(self):
        """Close the connection; may be called twice."""
        await self.client.close()
