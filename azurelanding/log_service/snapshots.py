"""Write snapshots of the fleet's state to a stream of their own and read them.

A snapshot is written in parts that share an id, and is complete only with the
last of them. Parts of several writers may stand in any order.
"""

import base64
import binascii
import collections
import typing
import uuid
import zlib

import anyio
import attrs
import msgspec
import structlog

from azurelanding import fleet, rules_parser
from azurelanding.log_service import wire
from azurelanding.log_service.client import (
    LogServiceError,
    LogUnavailableError,
    PayloadRefusedError,
)

logger = structlog.get_logger()

SNAPSHOT_STREAM = "snapshots"
PART_BYTES = 192 << 10
PART_TRIES = 5
READ_PARTS = 16
COMPRESSION_LEVEL = 1
DERIVED_FIELDS = frozenset({"rules"})


class SnapshotError(ValueError):
    """A snapshot can't be read; the message says why."""


def encode_state(state):
    """Return ``state`` as compressed bytes."""
    values = {
        field.name: getattr(state, field.name)
        for field in attrs.fields(fleet.FleetState)
        if field.name not in DERIVED_FIELDS
    }
    return zlib.compress(msgspec.json.encode(values), COMPRESSION_LEVEL)


def decode_state(data):
    """Return the ``FleetState`` in ``data``.

    Raises ``SnapshotError`` when the data is damaged or of another version.
    """
    try:
        raw = msgspec.json.decode(zlib.decompress(data), type=dict[str, msgspec.Raw])
        hints = typing.get_type_hints(fleet.FleetState)
        values = {
            name: msgspec.json.decode(value, type=hints[name])
            for name, value in raw.items()
        }
        return fleet.FleetState(
            rules=rules_parser.read_rules(values["rules_text"]), **values
        )
    except (
        zlib.error,
        msgspec.DecodeError,
        KeyError,
        rules_parser.RulesError,
    ) as error:
        raise SnapshotError(f"snapshot unreadable: {error!r}") from error


def split_state(data):
    """Return ``data`` in parts of at most ``PART_BYTES``, one of them at least."""
    starts = range(0, max(len(data), 1), PART_BYTES)
    return [data[start : start + PART_BYTES] for start in starts]


def make_parts(state):
    """Return the ``SnapshotPart``s that stand for ``state``."""
    chunks, snapshot_id = split_state(encode_state(state)), uuid.uuid4().hex
    return [
        wire.SnapshotPart(
            wire.FORMAT,
            snapshot_id,
            state.next_offset,
            index,
            len(chunks),
            base64.b64encode(chunk).decode(),
        )
        for index, chunk in enumerate(chunks)
    ]


def _join(parts):
    """Return the state in the complete series ``parts``, by index."""
    try:
        chunks = [base64.b64decode(parts[index].data) for index in range(len(parts))]
    except (binascii.Error, KeyError) as error:
        raise SnapshotError(f"snapshot part unreadable: {error!r}") from error
    return decode_state(b"".join(chunks))


def _is_complete(parts):
    return len(parts) == next(iter(parts.values())).count


def _next_offset_of(parts):
    return next(iter(parts.values())).next_offset


def newest_state(texts):
    """Return the state of the newest complete snapshot in ``texts``, or ``None``."""
    series = collections.defaultdict(dict)
    for text in texts:
        try:
            part = wire.decode_part(text)
        except wire.RecordFormatError as error:
            logger.warning("snapshot part passed over", reason=str(error))
            continue
        series[part.id][part.index] = part
    complete = [parts for parts in series.values() if _is_complete(parts)]
    for parts in sorted(complete, key=_next_offset_of, reverse=True):
        try:
            return _join(parts)
        except SnapshotError as error:
            logger.warning("snapshot passed over", reason=str(error))
    return None


async def _append_part(client, part, pause):
    text = wire.encode_part(part)
    for _ in range(PART_TRIES):
        try:
            await client.append(SNAPSHOT_STREAM, text)
            return
        except PayloadRefusedError:
            raise
        except LogServiceError:
            await anyio.sleep(pause)
    raise LogUnavailableError(f"part {part.index} of a snapshot could not be appended")


async def write_snapshot(client, state, pause):
    """Append a snapshot of ``state``, waiting ``pause`` seconds after a failure.

    Raises ``LogServiceError`` when a part can't be appended; the snapshot is then
    incomplete and nobody uses it. A part that stands twice does no harm.
    """
    for part in make_parts(state):
        await _append_part(client, part, pause)


async def _read_texts(client, start, end):
    texts = []
    while start < end:
        batch = await client.read(SNAPSHOT_STREAM, start, limit=READ_PARTS)
        if not batch.entries:
            break
        texts += [entry.data for entry in batch.entries]
        start = batch.entries[-1].offset + 1
    return texts


async def read_newest(client):
    """Return the state of the newest complete snapshot, or ``None``.

    The stream is searched backwards, so that a long one takes no longer. Raises
    ``LogServiceError`` when it can't be read.
    """
    span = await client.read(SNAPSHOT_STREAM, 1, limit=1)
    window = READ_PARTS
    while span.end > span.first:
        start = max(span.first, span.end - window)
        state = newest_state(await _read_texts(client, start, span.end))
        if state is not None or start == span.first:
            return state
        window *= 4
    return None
