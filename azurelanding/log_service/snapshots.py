"""Write snapshots of the fleet's state to a separate stream and read them.

A snapshot is written in parts that share an id, and it is complete only when all
of them are in the stream. Parts of several writers may be interleaved.
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
from azurelanding.decoding import FAULTS
from azurelanding.log_service import wire
from azurelanding.log_service.client import (
    LogServiceError,
    LogUnavailableError,
    PayloadRefusedError,
)

logger = structlog.get_logger()

SNAPSHOT_STREAM = "snapshots"
PART_BYTES = 192 << 10
MAX_PART_ATTEMPTS = 5
PARTS_PER_READ = 16
COMPRESSION_LEVEL = 1
DERIVED_FIELDS = frozenset({"rules"})
MAX_STATE_BYTES = 64 << 20
"""Longest state; eight times that of the largest fleet."""


class SnapshotError(ValueError):
    """A snapshot can't be read; the message says why."""


def encode_state(state):
    """Return ``state`` as compressed JSON."""
    values = {
        field.name: getattr(state, field.name)
        for field in attrs.fields(fleet.FleetState)
        if field.name not in DERIVED_FIELDS
    }
    return zlib.compress(msgspec.json.encode(values), COMPRESSION_LEVEL)


def decode_state(data):
    """Return the ``FleetState`` in the compressed JSON ``data``.

    Raises ``SnapshotError`` when the data is damaged or of another version.
    """
    try:
        decompressor = zlib.decompressobj()
        text = decompressor.decompress(data, MAX_STATE_BYTES)
        if not decompressor.eof:
            raise SnapshotError(f"cut, or longer than {MAX_STATE_BYTES} bytes")
        raw = msgspec.json.decode(text, type=dict[str, msgspec.Raw])
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
        *FAULTS,
        KeyError,
        rules_parser.RulesError,
    ) as error:
        raise SnapshotError(f"snapshot unreadable: {error!r}") from error


def split_state(data):
    """Return ``data`` in parts of at most ``PART_BYTES``, at least one part."""
    starts = range(0, max(len(data), 1), PART_BYTES)
    return [data[start : start + PART_BYTES] for start in starts]


def make_parts(state):
    """Return the ``SnapshotPart``s of a new snapshot of ``state``."""
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


def _decode_parts(parts):
    """Return the state in ``parts``, the parts of a complete snapshot by index."""
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
    snapshots = collections.defaultdict(dict)
    for text in texts:
        try:
            part = wire.decode_part(text)
        except wire.RecordFormatError as error:
            logger.warning("unreadable snapshot part skipped", reason=str(error))
            continue
        snapshots[part.id][part.index] = part
    complete = [parts for parts in snapshots.values() if _is_complete(parts)]
    for parts in sorted(complete, key=_next_offset_of, reverse=True):
        try:
            return _decode_parts(parts)
        except SnapshotError as error:
            logger.warning("unreadable snapshot skipped", reason=str(error))
    return None


async def _append_part(client, part, retry_pause):
    text = wire.encode_part(part)
    for _ in range(MAX_PART_ATTEMPTS):
        try:
            await client.append(SNAPSHOT_STREAM, text)
            return
        except PayloadRefusedError:
            raise
        except LogServiceError:
            await anyio.sleep(retry_pause)
    raise LogUnavailableError(f"part {part.index} of a snapshot could not be appended")


async def write_snapshot(client, state, retry_pause):
    """Append a snapshot of ``state``, waiting ``retry_pause`` seconds after a failure.

    Raises ``LogServiceError`` when a part can't be appended; the snapshot is then
    incomplete and no reader uses it. A duplicate of a part is harmless.
    """
    for part in make_parts(state):
        await _append_part(client, part, retry_pause)


async def _read_texts(client, start, end):
    texts = []
    while start < end:
        batch = await client.read(SNAPSHOT_STREAM, start, limit=PARTS_PER_READ)
        if not batch.entries:
            break
        texts += [entry.data for entry in batch.entries]
        start = batch.entries[-1].offset + 1
    return texts


async def read_newest(client):
    """Return the state of the newest complete snapshot, or ``None``.

    The stream is searched from its end, so the time doesn't grow with its length.
    Raises ``LogServiceError`` when the stream can't be read.
    """
    bounds = await client.read(SNAPSHOT_STREAM, 1, limit=1)
    window = PARTS_PER_READ
    while bounds.end > bounds.first:
        start = max(bounds.first, bounds.end - window)
        state = newest_state(await _read_texts(client, start, bounds.end))
        if state is not None or start == bounds.first:
            return state
        window *= 4
    return None
