"""Define and encode the records of the fleet's stream."""

import typing

import attrs
import msgspec

from azurelanding.account_limits import AccountDivision, PoolGrant
from azurelanding.decoding import Amount, Count, Name, make_json_decoder, message_type
from azurelanding.store import StoredRecordError
from azurelanding.tasks import Resources


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


class AmountRow(typing.NamedTuple):
    """The cores, memory in bytes and accelerators of an amount."""

    cores: Amount
    memory: Count
    accelerators: Count


DivisionMessage = message_type(
    "DivisionMessage",
    {
        "account": Name,
        "version": Count,
        "maximum": AmountRow,
        "pools": dict[Name, tuple[AmountRow, AmountRow, Count]],
    },
)
_decode_division_message = make_json_decoder(DivisionMessage, FleetRecordError)


def decode_division(value):
    """Decode an ``AccountDivision``; raise ``FleetRecordError`` if it is invalid."""
    values = _decode_division_message(value)
    pools = {
        pool: PoolGrant(Resources(*amount), Resources(*ceiling), changed)
        for pool, (amount, ceiling, changed) in values["pools"].items()
    }
    maximum = Resources(*values["maximum"])
    return AccountDivision(values["account"], values["version"], maximum, pools)


def _encode_division(division):
    """Return the JSON of a division; its grants are rows, as there may be many."""
    rows = {
        pool: (attrs.astuple(grant.amount), attrs.astuple(grant.ceiling), grant.changed)
        for pool, grant in division.pools.items()
    }
    maximum = attrs.astuple(division.maximum)
    values = {"account": division.account, "version": division.version}
    return msgspec.json.encode({**values, "maximum": maximum, "pools": rows})


DECODERS = {
    "division": decode_division,
    "host": make_json_decoder(HostPlan, FleetRecordError),
    "wave": make_json_decoder(WaveProgress, FleetRecordError),
}


def encode_record(record):
    """Return the key and the value of ``record``."""
    if isinstance(record, HostPlan):
        return f"host/{record.host}", msgspec.json.encode(record)
    if isinstance(record, AccountDivision):
        return f"division/{record.account}", _encode_division(record)
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
