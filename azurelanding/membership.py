"""Keep this daemon in the groups whose members hold the control.

The store deals the partitions of a group's topics evenly over its members. A pool is
controlled by the holder of its partition, under the generation at which the store
gave it that partition: a later holder has a higher one. A duty that one daemon holds
at a time has a group of its own, which only the holder joins: there it stays, however
often the others come and go.
"""

import random
import zlib

import anyio
import structlog

from azurelanding.store import StoreError
from azurelanding.utils import Notifier, boot_time

logger = structlog.get_logger()

CONTROL_GROUP = "control"
FLEET_GROUP = "fleet-duty"
JOIN_SECONDS = 0.3
"""Time between two joins; a quarter of the silence, so that one may be lost and its
time-out of half a second waited for."""
SPREAD_SECONDS = 0.3
"""Over which daemons that miss the holder of a duty spread their joins: a join takes a
hundredth of it, so that two seldom meet."""
SILENCE_SECONDS = 1.2
"""Silence after which the store gives the partitions to others."""


def partition_of(name, partitions):
    """Return the partition that holds the stream of a pool."""
    return zlib.crc32(name.encode()) % partitions


def member_name(daemon, incarnation):
    """Return the name under which one life of a daemon is a member."""
    return f"{daemon}-{incarnation}"


def daemon_of(name):
    """Return the daemon of which a member is one life."""
    return name.rpartition("-")[0]


class GroupMember:
    """This daemon's part in a group; ``holdings`` maps partitions to epochs.

    ``valid_until`` is a time of ``boot_time`` after which the store may have given
    the holdings to others. With ``sole``, a partition, the daemon is in the group only
    while it holds that partition, or while nobody does.
    """

    def __init__(self, name, group, topics, client, silence, sole=None):
        self.name = name
        self.group = group
        self.sole = sole
        self.topics = topics
        self.client = client
        self.silence = silence
        self.generation = 0
        self.holdings = {}
        self.valid_until = 0.0
        self.stopping = False
        self.changes = Notifier()

    @classmethod
    def from_config(cls, name, topic, limits, client):
        """Return a member that shares the control of the pools in ``topic``."""
        silence = max(SILENCE_SECONDS, limits.min_membership_seconds)
        return cls(name, CONTROL_GROUP, (topic,), client, silence)

    @classmethod
    def for_single_holder(cls, name, topic, limits, client):
        """Return a member that holds the duty of ``topic`` when nobody else does."""
        silence = max(SILENCE_SECONDS, limits.min_membership_seconds)
        return cls(name, FLEET_GROUP, (topic,), client, silence, (topic, 0))

    def epoch_of(self, topic, partition):
        """Return the epoch under which this daemon holds a partition, or ``None``."""
        return self.holdings.get((topic, partition))

    @property
    def is_valid(self):
        """Tell whether no other can have been given the holdings."""
        return boot_time() < self.valid_until

    def drop_holding(self, topic, partition):
        """Drop a holding that another has overtaken, to take it under a new epoch."""
        if self.holdings.pop((topic, partition), None) is not None:
            self.changes.notify()

    def _apply_membership(self, membership, sent_at):
        if membership.generation != self.generation and sent_at > self.valid_until:
            # Others may have held and lost the partitions since; an epoch of
            # before would be below theirs.
            self.holdings = {}
        self.generation = membership.generation
        self.valid_until = sent_at + self.silence
        held = {
            part: self.holdings.get(part, membership.generation)
            for part in membership.partitions
        }
        if held == self.holdings:
            return
        logger.info(
            "control changed",
            generation=membership.generation,
            gained=sorted(held.keys() - self.holdings.keys()),
            lost=sorted(self.holdings.keys() - held.keys()),
        )
        self.holdings = held
        self.changes.notify()

    async def run(self):
        """Stay in the group until cancelled."""
        is_only_life = False
        while not self.stopping:
            try:
                if not is_only_life:
                    await self._end_earlier_lives()
                    is_only_life = True
                await self._stay()
            except StoreError as error:
                logger.info("join failed", group=self.group, reason=str(error))
            await anyio.sleep(JOIN_SECONDS)

    async def _end_earlier_lives(self):
        """Take earlier lives of this daemon, which are over, out of the group.

        Their partitions then go to others at once, not only after a silence.
        """
        owners = await self.client.owners(self.group)
        for name in sorted(set(owners.values()) - {self.name}):
            if daemon_of(name) == daemon_of(self.name):
                await self.client.leave(self.group, name)
                logger.info("earlier life ended", group=self.group, name=name)

    async def _stay(self):
        """Join the group, or stay in it, unless another holds what is sought."""
        if self.sole is not None and not await self._may_join():
            return
        sent_at = boot_time()
        membership = await self.client.join(
            self.group, self.name, self.topics, self.generation, self.silence
        )
        if self.stopping:
            return
        self._apply_membership(membership, sent_at)
        if self.sole is not None and self.sole not in self.holdings:
            self.holdings = {}
            await self.client.leave(self.group, self.name)

    async def _may_join(self):
        """Tell whether no other holds what is sought, as far as is known.

        A holding that was given up comes back only after a silence, so that it has a
        higher epoch.
        """
        is_held = self.sole in self.holdings
        if is_held and self.is_valid:
            return True
        owner = await self._owner()
        if owner is None and not is_held:
            await anyio.sleep(random.uniform(0.0, SPREAD_SECONDS))
            owner = await self._owner()
        if is_held and owner not in (None, self.name):
            self.drop_holding(*self.sole)
        return owner is None or (is_held and owner == self.name)

    async def _owner(self):
        return (await self.client.owners(self.group)).get(self.sole)

    async def leave(self):
        """Hand all holdings to the other members at once."""
        self.stopping = True
        self.holdings = {}
        self.changes.notify()
        try:
            await self.client.leave(self.group, self.name)
        except StoreError as error:
            logger.info("leave failed, the membership will lapse", reason=str(error))

    async def close(self):
        """Close the connection; may be called twice."""
        await self.client.close()
