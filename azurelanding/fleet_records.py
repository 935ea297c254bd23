"""Define and encode the records of the fleet's stream."""

import attrs
import msgspec

from azurelanding.decoding import make_json_decoder
from azurelanding.store import StoredRecordError


@attrs.frozen
class HostPlan:
    """A plan to drain a host, then to maintain or move it.

    ``worker`` is the incarnation of the host that the plan applies to. ``wave`` is the
    number of the wave for a maintenance, ``pool`` the new pool for a move. ``made_at``
    is in seconds since the epoch. ``is_ordered`` means that an accepted order has ended
    that incarnation. A plan with ``is_dropped`` records when the host may last have
    been ordered: ``closed_at``, in seconds since the epoch, is when it was ordered or
    dropped.
    """

    host: str
    worker: str
    made_at: float
    wave: int | None = None
    pool: str = ""
    is_ordered: bool = False
    is_dropped: bool = False
    closed_at: float = 0.0


@attrs.frozen
class WaveProgress:
    """The hosts of a wave whose maintenance has begun, and whether it is complete."""

    wave: int
    begun: frozenset[str] = frozenset()
    is_complete: bool = False


class FleetRecordError(StoredRecordError):
    """A record of the fleet's stream can't be decoded."""


DECODERS = {
    "host": make_json_decoder(HostPlan, FleetRecordError),
    "wave": make_json_decoder(WaveProgress, FleetRecordError),
}


def encode_record(record):
    """Return the key and the value of ``record``."""
    if isinstance(record, HostPlan):
        return f"host/{record.host}", msgspec.json.encode(record)
    return f"wave/{record.wave}", msgspec.json.encode(record, order="deterministic")


def decode_record(key, value):
    """Return the kind, the name and the record, which is ``None`` for a removed key.

    Raises ``FleetRecordError`` when the record can't be decoded.
    """
    kind, _, name = key.partition("/")
    if not value:
        return kind, name, None
    decode = DECODERS.get(kind)
    if decode is None:
        raise FleetRecordError(f"no record is of the kind {kind!r}")
    return kind, name, decode(value)
