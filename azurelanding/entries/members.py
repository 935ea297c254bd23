"""Exchange status with the peer daemons and catch up with their state."""

import functools
import math

import anyio
import attrs
import capnp
import structlog

from azurelanding import pacing
from azurelanding.addresses import split_address
from azurelanding.entries import wire
from azurelanding.log_service import snapshots
from azurelanding.supervision import keep_running
from azurelanding.utils import Notifier

logger = structlog.get_logger()

MAX_RELAYED_RECORDS = 200
MAX_RECORDS_BEHIND = 2000
MAX_ENDED_PROCESSES = 100
LISTENER_HEARTBEAT_FACTOR = 1.5


class PeerError(Exception):
    """A peer daemon is unreachable or its messages can't be read."""


@attrs.frozen
class PeerStatus:
    """The last status of a peer and the monotonic time at which it was received."""

    status: wire.Status
    received_at: float


@attrs.frozen
class SentStatus:
    """The urgent part of the status last sent to a peer, and the monotonic time."""

    urgent: wire.Status
    sent_at: float


class Members:
    """The peer daemons with the last status of each.

    One exchange carries the status of both daemons, so of two peers the one with the
    lower address starts the heartbeats, and the other starts one only when they fail
    to arrive. Either of them starts an exchange within a period when the urgent part
    of its status has changed (see ``pacing``).

    ``own_status()`` returns the status of this daemon; ``follower`` follows the
    fleet's stream and also gets records and states from the peers.
    ``highest_offsets`` has, by name, the highest next offset that a daemon has
    reported, also before it was replaced, and ``roles`` the role of the peer at each
    address. ``tried`` holds the addresses that were reached or failed at least once.
    ``ended`` has, by incarnation, when a process was found to have ended.
    """

    def __init__(self, settings, own_status, follower):
        self.settings = settings
        self.own_status = own_status
        self.follower = follower
        self.peer_statuses = {}
        self.highest_offsets = {}
        self.roles = {}
        self.sent_statuses = {}
        self.ended = {}
        self.tried = set()
        self.changes = Notifier()
        self.state_fetch = anyio.Lock()

    @classmethod
    def from_config(cls, settings, own_status, follower):
        """Return the peers that ``settings`` name, with no status of any yet."""
        return cls(settings, own_status, follower)

    def highest_offset(self, name):
        """Return the highest next offset that a daemon ``name`` has reported."""
        return self.highest_offsets.get(name, 0)

    def all_tried(self):
        """Return whether each peer was reached or failed at least once."""
        return self.tried.issuperset(self.settings.fellows)

    def prepare_status(self, address):
        """Return the status for the peer at ``address`` and record it as sent."""
        role = self.roles.get(address)
        status = pacing.status_for(role, self.own_status())
        urgent = pacing.urgent_status_for(role, status)
        self.sent_statuses[address] = SentStatus(urgent, anyio.current_time())
        return status

    def _heartbeat(self, address):
        """Return after how many seconds to exchange with ``address`` in any case."""
        heartbeat = pacing.heartbeat(self.settings)
        is_starter = split_address(self.settings.address) < split_address(address)
        return heartbeat if is_starter else heartbeat * LISTENER_HEARTBEAT_FACTOR

    def is_due(self, address, now):
        """Return whether to exchange with the peer at ``address`` now."""
        sent = self.sent_statuses.get(address)
        if sent is None or now - sent.sent_at >= self._heartbeat(address):
            return True
        urgent = pacing.urgent_status_for(self.roles.get(address), self.own_status())
        return sent.urgent != urgent

    def state_parts(self):
        """Return the ``StatePart``s of the current state.

        An outdated daemon may have skipped records that count, so it returns one
        empty part of offset 0, which no peer installs.
        """
        state = self.follower.head
        if self.follower.outdated:
            return [wire.StatePart(0, 1, b"")]
        chunks = snapshots.split_state(snapshots.encode_state(state))
        count = len(chunks)
        return [wire.StatePart(state.next_offset, count, chunk) for chunk in chunks]

    def record_status(self, status):
        """Record the status received from a peer, and the process that it replaced."""
        old = self.peer_statuses.get(status.name)
        self.peer_statuses[status.name] = PeerStatus(status, anyio.current_time())
        self.roles[status.address] = status.role
        self.highest_offsets[status.name] = max(
            self.highest_offset(status.name), status.next_offset
        )
        if old is None or old.status != status:
            self.changes.notify()
        if old is not None and old.status.incarnation != status.incarnation:
            self._record_ended(old.status.incarnation)

    def _record_ended(self, incarnation):
        """Record that the process ``incarnation`` was found to have ended."""
        self.ended.setdefault(incarnation, anyio.current_time())
        while len(self.ended) > MAX_ENDED_PROCESSES:
            del self.ended[next(iter(self.ended))]

    def _record_refused_connection(self, address):
        """Record as ended the processes that were last known at ``address``.

        Connections to it are refused, so no process listens there any more.
        """
        for peer_status in self.peer_statuses.values():
            if peer_status.status.address == address:
                self._record_ended(peer_status.status.incarnation)

    def peer_ended_at(self, incarnation):
        """Return the monotonic time at which a process was found to have ended.

        The time is infinite for an ``incarnation`` that is not known to have ended.
        """
        return self.ended.get(incarnation, math.inf)

    def live(self, role=None):
        """Return the ``Status`` of each peer that is not silent, by name.

        With ``role``, only the peers of that role are returned.
        """
        oldest = anyio.current_time() - pacing.silence(self.settings)
        return {
            name: peer_status.status
            for name, peer_status in self.peer_statuses.items()
            if peer_status.received_at >= oldest
            and role in (None, peer_status.status.role)
        }

    async def _wait_for_reply(self, request):
        """Return the reply to ``request``, which a live peer sends within ``silence``.

        Raises ``TimeoutError`` when it doesn't.
        """
        with anyio.fail_after(self.settings.silence):
            return await request

    async def _fetch_state(self, peer, offset):
        """Replace the state by that of ``peer``, unless it has reached ``offset``.

        States are fetched one at a time; an earlier one may have sufficed.
        """
        async with self.state_fetch:
            if self.follower.head.next_offset < offset:
                await self._fetch_parts(peer)

    async def _fetch_parts(self, peer):
        first = wire.read_state_part(await self._wait_for_reply(peer.state(part=0)))
        chunks = [first.data]
        for index in range(1, first.count):
            reply = await self._wait_for_reply(peer.state(part=index))
            chunks.append(wire.read_state_part(reply).data)
        if first.next_offset > self.follower.head.next_offset:
            self.follower.replace_state(snapshots.decode_state(b"".join(chunks)))

    async def _fetch_records(self, peer):
        """Fold records that ``peer`` has and this daemon has not.

        Returns whether there were any.
        """
        first = self.follower.head.next_offset
        reply = await self._wait_for_reply(
            peer.records(first=first, limit=MAX_RELAYED_RECORDS)
        )
        self.follower.fold_relayed(wire.read_entries(reply))
        return self.follower.head.next_offset > first

    async def _catch_up(self, peer, offset):
        """Reach the next offset ``offset`` that ``peer`` has reported.

        The whole state is fetched when this daemon is more than
        ``MAX_RECORDS_BEHIND`` behind, or when the peer no longer has the records.
        """
        if offset - self.follower.head.next_offset > MAX_RECORDS_BEHIND:
            await self._fetch_state(peer, offset)
        while self.follower.head.next_offset < offset:
            if not await self._fetch_records(peer):
                await self._fetch_state(peer, offset)
                return

    def _reported_offset(self, address):
        """Return the next offset that the peer at ``address`` last reported."""
        statuses = (peer_status.status for peer_status in self.peer_statuses.values())
        offsets = (s.next_offset for s in statuses if s.address == address)
        return max(offsets, default=0)

    async def _exchange(self, peer, address):
        """Send the status of this daemon to ``peer`` and record the peer's status.

        After that, no state is put in force that is older than the peer's, or than
        the highest offset that the peer has received from a daemon of this name.
        """
        request = peer.exchange_request()
        wire.fill_status(request.mine, self.prepare_status(address))
        reply = await self._wait_for_reply(request.send())
        theirs = wire.read_status(reply.theirs)
        self.record_status(theirs)
        self.follower.require_offset(max(theirs.next_offset, reply.yourHighestOffset))

    async def _connect_and_exchange(self, address):
        """Exchange status with the peer at ``address`` until that fails.

        Records are fetched from the peer only while the log does not deliver them:
        when the log is unreachable, or when the peer already had them a period ago.
        Raises ``PeerError`` when an exchange fails or the connection is closed.
        """
        host, port = split_address(address)
        previous_offset = 0
        try:
            with anyio.fail_after(self.settings.silence):
                stream = await capnp.AsyncIoStream.create_connection(host, port)
            client = capnp.TwoPartyClient(stream)
            peer = client.bootstrap().cast_as(wire.SCHEMA.Fellow)
            while True:
                if self.is_due(address, anyio.current_time()):
                    await self._exchange(peer, address)
                offset = self._reported_offset(address)
                await self._catch_up(
                    peer, offset if not self.follower.up else previous_offset
                )
                previous_offset = offset
                self.tried.add(address)
                with anyio.move_on_after(self.settings.period):
                    await client.on_disconnect()
                    raise PeerError(f"{address}: the connection was closed")
        except ConnectionRefusedError as error:
            self._record_refused_connection(address)
            raise PeerError(f"{address}: {error!r}") from error
        except (
            OSError,
            TimeoutError,
            capnp.KjException,
            wire.MessageFormatError,
            snapshots.SnapshotError,
        ) as error:
            raise PeerError(f"{address}: {error!r}") from error

    async def follow(self, address):
        """Exchange status with the peer at ``address`` until cancelled.

        After a failure it reconnects a period later.
        """
        while True:
            try:
                await self._connect_and_exchange(address)
            except PeerError as error:
                logger.debug("peer unreachable", reason=str(error))
            self.tried.add(address)
            await anyio.sleep(self.settings.period)

    def start(self, task_group, metrics):
        """Exchange status with each peer in its own task of ``task_group``."""
        for address in self.settings.fellows:
            follow = functools.partial(self.follow, address)
            name = f"follow peer {address}"
            task_group.start_soon(keep_running, name, follow, metrics)
