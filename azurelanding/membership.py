"""Keep this daemon in the group whose members share the control of the pools.

The store deals the partitions of the topics evenly over the members. A pool is
controlled by the holder of its partition, under the generation at which the store
gave it that partition: a later holder has a higher one.
"""

import zlib

import anyio
import structlog

from azurelanding.store import StoreError
from azurelanding.utils import Notifier, boot_time

logger = structlog.get_logger()

GROUP = "control"
JOIN_SECONDS = 0.4
"""Time between two joins; a third of the silence, so that one may be lost."""
SILENCE_SECONDS = 1.4
"""Silence after which the store gives the partitions to others."""


def partition_of(name, partitions):
    """Return the partition that holds the stream of a pool."""
    return zlib.crc32(name.encode()) % partitions


class GroupMember:
    """This daemon's part in the group; ``holdings`` maps partitions to epochs.

    ``valid_until`` is a time of ``boot_time`` after which the store may have given
    the holdings to others.
    """

    def __init__(self, name, topics, client, silence):
        self.name = name
        self.topics = topics
        self.client = client
        self.silence = silence
        self.generation = 0
        self.holdings = {}
        self.valid_until = 0.0
        self.stopping = False
        self.changes = Notifier()

    @classmethod
    def from_config(cls, name, topics, limits, client):
        """Return a member of the store that ``limits`` describe."""
        silence = max(SILENCE_SECONDS, limits.shortest_membership)
        return cls(name, topics, client, silence)

    def epoch_of(self, topic, partition):
        """Return the epoch under which this daemon holds a partition, or ``None``."""
        return self.holdings.get((topic, partition))

    @property
    def is_valid(self):
        """Tell whether no other can have been given the holdings."""
        return boot_time() < self.valid_until

    def give_up(self, topic, partition):
        """Drop a holding that another has overtaken, to take it under a new epoch."""
        if self.holdings.pop((topic, partition), None) is not None:
            self.changes.notify()

    def _take(self, membership, sent_at):
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
        while not self.stopping:
            sent_at = boot_time()
            try:
                membership = await self.client.join(
                    GROUP, self.name, self.topics, self.generation, self.silence
                )
            except StoreError as error:
                logger.info("join failed", reason=str(error))
            else:
                self._take(membership, sent_at)
            await anyio.sleep(JOIN_SECONDS)

    async def leave(self):
        """Hand all holdings to the other members at once."""
        self.stopping = True
        self.holdings = {}
        self.changes.notify()
        try:
            await self.client.leave(GROUP, self.name)
        except StoreError as error:
            logger.info("leave failed, the membership will lapse", reason=str(error))

    async def close(self):
        """Close the connection; may be called twice."""
        await self.client.close()
