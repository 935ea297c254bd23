"""Encode the messages between peer daemons in Cap'n Proto."""

import contextlib
import pathlib

import attrs
import capnp

from azurelanding.decoding import FAULTS
from azurelanding.log_service.wire import Entry
from azurelanding.requests import Answer, Outcome, RefusalReason

SCHEMA = capnp.load(str(pathlib.Path(__file__).with_name("fellow.capnp")))


class MessageFormatError(ValueError):
    """A message of a peer daemon can't be read."""


@attrs.frozen
class Status:
    """The status that a daemon sends to its peers.

    ``next_offset`` is the first offset of the fleet's stream that is not folded into
    the daemon's state in force. ``busy_hosts`` names the draining executors that run
    one of its requests now. ``demands`` has, by pool, how many slots it could fill.
    ``set_aside`` names the executors that it does not use because they fail.
    ``wants`` has, by pool, how many slots the pool's own services want, including
    those that they hold. ``releasing`` names the executors on which the daemon holds
    slots beyond its share.
    """

    name: str
    incarnation: str
    role: str
    zone: str
    address: str
    next_offset: int
    rules_version: int
    busy_hosts: tuple[str, ...] = ()
    stopping: bool = False
    demands: dict[str, float] = attrs.field(factory=dict)
    set_aside: tuple[str, ...] = ()
    wants: dict[str, float] = attrs.field(factory=dict)
    releasing: tuple[str, ...] = ()


@contextlib.contextmanager
def _reading(kind):
    """Raise what goes wrong while a message of ``kind`` is read as its error."""
    try:
        yield
    except (capnp.KjException, *FAULTS) as error:
        raise MessageFormatError(f"unreadable {kind}: {error}") from error


def _fill_demands(messages, demands):
    for message, (pool, wanted) in zip(messages, demands.items(), strict=True):
        message.pool = pool
        message.wanted = wanted


def fill_status(message, status):
    """Write ``status`` into the Cap'n Proto ``message``."""
    message.name = status.name
    message.incarnation = status.incarnation
    message.role = status.role
    message.zone = status.zone
    message.address = status.address
    message.nextOffset = status.next_offset
    message.rulesVersion = status.rules_version
    message.busyHosts = list(status.busy_hosts)
    message.stopping = status.stopping
    message.setAside = list(status.set_aside)
    message.releasing = list(status.releasing)
    _fill_demands(message.init("demands", len(status.demands)), status.demands)
    _fill_demands(message.init("wants", len(status.wants)), status.wants)


def read_status(message):
    """Return the ``Status`` in a Cap'n Proto ``message``.

    Raises ``MessageFormatError`` when a text in it is not UTF-8 or a pointer is
    invalid.
    """
    with _reading("status"):
        return Status(
            message.name,
            message.incarnation,
            message.role,
            message.zone,
            message.address,
            message.nextOffset,
            message.rulesVersion,
            tuple(message.busyHosts),
            message.stopping,
            {demand.pool: demand.wanted for demand in message.demands},
            tuple(message.setAside),
            {demand.pool: demand.wanted for demand in message.wants},
            tuple(message.releasing),
        )


def fill_entries(message, entries):
    """Write the ``Entry``s ``entries`` into the results ``message``."""
    items = message.init("entries", len(entries))
    for item, entry in zip(items, entries, strict=True):
        item.offset = entry.offset
        item.data = entry.data


def read_entries(message):
    """Return the ``Entry``s in a Cap'n Proto ``message``.

    Raises ``MessageFormatError`` like ``read_status``.
    """
    with _reading("entries"):
        return [Entry(entry.offset, entry.data) for entry in message.entries]


@attrs.frozen
class StatePart:
    """One part of a peer's state before the offset ``next_offset``."""

    next_offset: int
    count: int
    data: bytes


def fill_state_part(message, part):
    """Write the ``StatePart`` ``part`` into the results ``message``."""
    message.id = part.next_offset
    message.parts = part.count
    message.data = part.data


def read_state_part(message):
    """Return the ``StatePart`` in a Cap'n Proto ``message``.

    Raises ``MessageFormatError`` like ``read_status``.
    """
    with _reading("part of a state"):
        return StatePart(message.id, message.parts, message.data)


def fill_answer(message, answer):
    """Write the ``Answer`` ``answer`` into the Cap'n Proto ``message``."""
    message.outcome = answer.outcome.value
    message.status = answer.status
    message.body = answer.body
    message.target = answer.target or ""
    items = message.init("headers", len(answer.headers))
    for item, (name, value) in zip(items, answer.headers, strict=True):
        item.name = name
        item.value = value


def read_answer(message):
    """Return the ``Answer`` in a Cap'n Proto ``message``.

    The message carries no refusal reason: unless the request ran, the reason is
    ``KEY_TAKEN``. Raises ``MessageFormatError`` like ``read_status``, and when the
    message names no known outcome.
    """
    with _reading("answer"):
        outcome = Outcome(message.outcome)
        return Answer(
            outcome,
            message.status,
            tuple((header.name, header.value) for header in message.headers),
            bytes(message.body),
            message.target or None,
            None if outcome is Outcome.RAN else RefusalReason.KEY_TAKEN,
        )
