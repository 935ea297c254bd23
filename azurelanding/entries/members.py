"""Know the fellow daemons and exchange status with them."""

import math

import anyio
import attrs
import capnp
import structlog

from azurelanding import pacing
from azurelanding.entries import wire
from azurelanding.log_service import snapshots
from azurelanding.settings import split_address
from azurelanding.utils import Notifier

logger = structlog.get_logger()

RELAY_LIMIT = 200
STATE_LAG_RECORDS = 2000
REMEMBERED_GONE = 100
ANSWERING_PATIENCE = 1.5


class PeerError(Exception):
    """A fellow daemon could not be talked to."""


@attrs.frozen
class PeerStatus:
    """The last status of a fellow and the monotonic time that it came."""

    status: wire.Status
    received_at: float


@attrs.frozen
class SentNews:
    """The news that a fellow was last told, and the monotonic time of that."""

    news: wire.Status
    at: float


class Members:
    """The fellow daemons, each as it last told of itself.

    One exchange tells both ends, so of two fellows the one with the lower address
    opens the heartbeats and the other only comes in when they fail. Either of them
    exchanges within a period when it has news for the other.

    ``my_status()`` returns what to tell them; ``follower`` is the follower of the
    fleet's stream, to which they relay. ``highest`` is, by name, the highest next
    offset that a daemon has told of, replaced ones included, ``roles`` the role of
    the fellow at each address, and ``tried`` holds the addresses that were reached
    once or could not be. ``gone`` gives, by incarnation, when a process was found
    to have ended.
    """

    def __init__(self, settings, my_status, follower):
        self.settings = settings
        self.my_status = my_status
        self.follower = follower
        self.peer_statuses = {}
        self.highest = {}
        self.roles = {}
        self.sent = {}
        self.gone = {}
        self.tried = set()
        self.changes = Notifier()
        self.fetching = anyio.Lock()

    @classmethod
    def from_config(cls, settings, my_status, follower):
        """Return the members that ``settings`` name, none of them seen yet."""
        return cls(settings, my_status, follower)

    def highest_offset(self, name):
        """Return the highest next offset that a daemon ``name`` had in force."""
        return self.highest.get(name, 0)

    def all_tried(self):
        """Tell whether each fellow was talked to or could not be reached."""
        return self.tried.issuperset(self.settings.fellows)

    def prepare_status(self, address):
        """Return the status to send to the fellow at ``address``, and note it."""
        role = self.roles.get(address)
        status = pacing.status_for(role, self.my_status())
        news = pacing.urgent_status_for(role, status)
        self.sent[address] = SentNews(news, anyio.current_time())
        return status

    def _heartbeat(self, address):
        """Return after how many seconds to exchange with ``address`` anyway."""
        heartbeat = pacing.heartbeat(self.settings)
        opens = split_address(self.settings.address) < split_address(address)
        return heartbeat if opens else heartbeat * ANSWERING_PATIENCE

    def is_due(self, address, now):
        """Tell whether to exchange with the fellow at ``address`` now."""
        sent = self.sent.get(address)
        if sent is None or now - sent.at >= self._heartbeat(address):
            return True
        news = pacing.urgent_status_for(self.roles.get(address), self.my_status())
        return sent.news != news

    def state_parts(self):
        """Return the ``StatePart``s of the state of now.

        A daemon that is outdated may have passed over records that count, and
        gives none.
        """
        state = self.follower.head
        if self.follower.outdated:
            return [wire.StatePart(0, 1, b"")]
        chunks = snapshots.split_state(snapshots.encode_state(state))
        count = len(chunks)
        return [wire.StatePart(state.next_offset, count, chunk) for chunk in chunks]

    def record_status(self, status):
        """Keep what a fellow told of itself."""
        old = self.peer_statuses.get(status.name)
        self.peer_statuses[status.name] = PeerStatus(status, anyio.current_time())
        self.roles[status.address] = status.role
        self.highest[status.name] = max(
            self.highest_offset(status.name), status.next_offset
        )
        if old is None or old.status != status:
            self.changes.notify()
        if old is not None and old.status.incarnation != status.incarnation:
            self._note_gone(old.status.incarnation)

    def _note_gone(self, incarnation):
        """Keep when the process ``incarnation`` was found to have ended."""
        self.gone.setdefault(incarnation, anyio.current_time())
        while len(self.gone) > REMEMBERED_GONE:
            del self.gone[next(iter(self.gone))]

    def _record_refused_connection(self, address):
        """Keep that nobody listens at ``address`` any more."""
        for peer_status in self.peer_statuses.values():
            if peer_status.status.address == address:
                self._note_gone(peer_status.status.incarnation)

    def peer_ended_at(self, incarnation):
        """Return when the process ``incarnation`` was found to have ended."""
        return self.gone.get(incarnation, math.inf)

    def live(self, role=None):
        """Return the ``Status`` of each fellow heard of lately, by name."""
        oldest = anyio.current_time() - pacing.silence(self.settings)
        return {
            name: peer_status.status
            for name, peer_status in self.peer_statuses.items()
            if peer_status.received_at >= oldest
            and role in (None, peer_status.status.role)
        }

    async def _ask(self, request):
        with anyio.fail_after(self.settings.silence):
            return await request

    async def _fetch_state(self, fellow, goal):
        """Take the whole state of ``fellow``, part by part, unless no longer behind."""
        async with self.fetching:
            if self.follower.head.next_offset < goal:
                await self._fetch_parts(fellow)

    async def _fetch_parts(self, fellow):
        first = wire.read_state_part(await self._ask(fellow.state(part=0)))
        chunks = [first.data]
        for index in range(1, first.count):
            reply = await self._ask(fellow.state(part=index))
            chunks.append(wire.read_state_part(reply).data)
        if first.next_offset > self.follower.head.next_offset:
            self.follower.replace_state(snapshots.decode_state(b"".join(chunks)))

    async def _fetch_records(self, fellow):
        """Fold the records that ``fellow`` has and this daemon has not.

        Returns whether there were any.
        """
        first = self.follower.head.next_offset
        reply = await self._ask(fellow.records(first=first, limit=RELAY_LIMIT))
        self.follower.fold_relayed(wire.read_entries(reply))
        return self.follower.head.next_offset > first

    async def _catch_up(self, fellow, goal):
        """Reach the next offset ``goal`` that ``fellow`` has told of."""
        if goal - self.follower.head.next_offset > STATE_LAG_RECORDS:
            await self._fetch_state(fellow, goal)
        while self.follower.head.next_offset < goal:
            if not await self._fetch_records(fellow):
                await self._fetch_state(fellow, goal)
                return

    def _offset_told_by(self, address):
        """Return the next offset that the fellow at ``address`` last told."""
        statuses = (peer_status.status for peer_status in self.peer_statuses.values())
        offsets = (s.next_offset for s in statuses if s.address == address)
        return max(offsets, default=0)

    async def _exchange(self, fellow, address):
        """Tell ``fellow`` the status of this daemon and note its own."""
        request = fellow.exchange_request()
        wire.fill_status(request.mine, self.prepare_status(address))
        reply = await self._ask(request.send())
        theirs = wire.read_status(reply.theirs)
        self.record_status(theirs)
        self.follower.await_offset(max(theirs.next_offset, reply.yourHighestOffset))

    async def _talk(self, address):
        """Exchange status with the fellow at ``address`` until that fails.

        Records come from the fellow only while the log does not bring them: when
        it is unreachable, or when the fellow had them a period ago already.
        """
        host, port = split_address(address)
        told = 0
        try:
            with anyio.fail_after(self.settings.silence):
                stream = await capnp.AsyncIoStream.create_connection(host, port)
            client = capnp.TwoPartyClient(stream)
            fellow = client.bootstrap().cast_as(wire.SCHEMA.Fellow)
            while True:
                if self.is_due(address, anyio.current_time()):
                    await self._exchange(fellow, address)
                goal = self._offset_told_by(address)
                await self._catch_up(fellow, goal if not self.follower.up else told)
                told = goal
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
        """Talk to the fellow at ``address`` until cancelled."""
        while True:
            try:
                await self._talk(address)
            except PeerError as error:
                logger.debug("fellow unreachable", reason=str(error))
            self.tried.add(address)
            await anyio.sleep(self.settings.period)

    def start(self, task_group):
        """Follow each fellow in a task of ``task_group``."""
        for address in self.settings.fellows:
            task_group.start_soon(self.follow, address)
