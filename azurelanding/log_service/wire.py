"""Encode requests to and decode answers from the platform's log service.

An append is ``POST /streams/NAME`` with the payload as body; its answer is
``{"offset": 7}``. A read is ``GET /streams/NAME?from=7&limit=100&wait=1``; its
answer is a ``Batch``. A record is a JSON object in a versioned envelope.
"""

import attrs
import msgspec

from azurelanding import claims, records
from azurelanding.decoding import make_json_decoder

FORMAT = 1
MAX_RECORD_BYTES = 1 << 20


class RecordFormatError(ValueError):
    """An answer or a record is unreadable, or of a newer format."""


@attrs.frozen
class Entry:
    """One payload in a stream of the log."""

    offset: int
    data: str


@attrs.frozen
class Batch:
    """The answer to a read.

    ``first`` is the oldest offset kept, ``end`` the offset of the next append.
    """

    first: int
    end: int
    entries: tuple[Entry, ...] = ()


@attrs.frozen
class Appended:
    """The answer to an append."""

    offset: int


@attrs.frozen
class SnapshotPart:
    """One part of a snapshot of the state before offset ``next_offset``.

    ``index`` counts from 0 to ``count`` - 1; ``data`` is base64 text.
    """

    v: int
    id: str
    next_offset: int
    index: int
    count: int
    data: str


@attrs.frozen
class _Envelope:
    v: int
    kind: str
    id: str
    author: str
    asked_by: str
    made_at: float
    body: msgspec.Raw
    until: int = 0


def encode_envelope(record, until=0):
    """Return ``record`` in its envelope, as the text of a log entry.

    A record counts only up to offset ``until``, or at any offset if that is 0.
    """
    envelope = _Envelope(
        FORMAT,
        record.kind,
        record.id,
        record.author,
        record.asked_by,
        record.made_at,
        msgspec.Raw(msgspec.json.encode(record.body)),
        until,
    )
    return msgspec.json.encode(envelope).decode()


def decode_envelope(text, body_types, adopted=FORMAT):
    """Return the envelope in ``text`` and its body.

    ``body_types`` has the type of the body by kind, ``adopted`` is the newest format
    in use. Raises ``RecordFormatError`` when the record is of a newer format than
    ``adopted`` or ``FORMAT``, or can't be read.
    """
    if len(text) > MAX_RECORD_BYTES:
        raise RecordFormatError(f"{len(text)} bytes are over {MAX_RECORD_BYTES}")
    envelope = _decode_envelope_message(text)
    if envelope.v > min(adopted, FORMAT):
        raise RecordFormatError(f"format {envelope.v} is newer than {adopted}")
    body_type = body_types.get(envelope.kind)
    if body_type is None:
        raise RecordFormatError(f"unknown kind {envelope.kind!r}")
    decode_body = make_json_decoder(body_type, RecordFormatError)
    return envelope, decode_body(envelope.body)


def encode_record(record):
    """Return ``record`` as the text of an entry of the fleet's stream."""
    return encode_envelope(record, record.until)


def decode_record(text, adopted=FORMAT):
    """Return the ``Record`` in the ``text`` of an entry of the fleet's stream.

    Raises ``RecordFormatError`` as ``decode_envelope`` does.
    """
    envelope, body = decode_envelope(text, records.BODY_TYPES, adopted)
    return records.Record(
        envelope.id,
        envelope.author,
        envelope.asked_by,
        envelope.made_at,
        body,
        envelope.until,
    )


def encode_part(part):
    """Return the ``SnapshotPart`` ``part`` as the text of a log entry."""
    return msgspec.json.encode(part).decode()


def decode_part(text):
    """Return the ``SnapshotPart`` in the ``text`` of a log entry.

    Raises ``RecordFormatError`` when this version can't read it.
    """
    part = _decode_part_message(text)
    if part.v > FORMAT:
        raise RecordFormatError(f"format {part.v} is newer than {FORMAT}")
    if not 0 <= part.index < part.count:
        raise RecordFormatError(f"no part {part.index} in a series of {part.count}")
    return part


@attrs.frozen
class _ClaimBatchMessage:
    """A ``ClaimBatch`` in the log, with each claim and release as a short array."""

    v: int
    id: str
    author: str
    address: str
    made_at: float
    claims: tuple[tuple[str, str, str, float], ...] = ()
    releases: tuple[tuple[str, str], ...] = ()


_decode_envelope_message = make_json_decoder(_Envelope, RecordFormatError)
_decode_part_message = make_json_decoder(SnapshotPart, RecordFormatError)
_decode_claims_message = make_json_decoder(_ClaimBatchMessage, RecordFormatError)
_decode_batch_message = make_json_decoder(Batch, RecordFormatError)
_decode_appended_message = make_json_decoder(Appended, RecordFormatError)


def encode_claims(batch):
    """Return the ``ClaimBatch`` ``batch`` as the text of a log entry."""
    message = _ClaimBatchMessage(
        FORMAT,
        batch.id,
        batch.author,
        batch.address,
        batch.made_at,
        tuple((c.key, c.id, c.digest, c.issued_at) for c in batch.claims),
        tuple((release.key, release.id) for release in batch.releases),
    )
    return msgspec.json.encode(message).decode()


def decode_claims(text):
    """Return the ``ClaimBatch`` in the ``text`` of a log entry.

    Raises ``RecordFormatError`` when this version can't read it.
    """
    message = _decode_claims_message(text)
    if message.v > FORMAT:
        raise RecordFormatError(f"format {message.v} is newer than {FORMAT}")
    owner = (message.author, message.address)
    return claims.ClaimBatch(
        message.id,
        *owner,
        message.made_at,
        tuple(claims.Claim(*fields, *owner) for fields in message.claims),
        tuple(claims.Release(*fields) for fields in message.releases),
    )


def decode_batch(content):
    """Return the ``Batch`` in the content of the answer to a read."""
    return _decode_batch_message(content)


def decode_appended(content):
    """Return the offset in the content of the answer to an append."""
    return _decode_appended_message(content).offset


def encode(value):
    """Return ``value`` as the JSON of an answer, for the stand-in log service."""
    return msgspec.json.encode(value)
