"""Decode messages from outside into checked values, or fail with one error.

Each message has a type whose fields have bounds. Whatever arrives, a decoder returns a
value of that type or raises the error of its layer: for other types and bytes that
aren't JSON, but also for values nested too deeply to be read and for numbers that no
calculation could use.

>>> decode = make_json_decoder(list[Count], ValueError)
>>> decode(b"[1, 2]")
[1, 2]
"""

import functools
import typing
from typing import Annotated

import msgspec

MAX_COUNT = 1 << 53
"""Largest whole number that any reader of JSON holds exactly."""
MAX_TEXT_CHARACTERS = 1024
"""Longest name or address that any peer uses, and some."""
MAX_DURATION_MS = 366 * 86_400_000
MAX_TIME_MS = 1 << 47
"""A time since the epoch beyond any clock's, and a sum of two is still exact."""
MAX_ITEMS = 100_000
"""Longest list in one message; more than five times the hosts of the largest fleet."""

Count = Annotated[int, msgspec.Meta(ge=0, le=MAX_COUNT)]
PositiveCount = Annotated[int, msgspec.Meta(ge=1, le=MAX_COUNT)]
Amount = Annotated[float, msgspec.Meta(ge=0.0, le=float(MAX_COUNT))]
DurationMs = Annotated[float, msgspec.Meta(ge=0.0, le=float(MAX_DURATION_MS))]
TimeMs = Annotated[float, msgspec.Meta(ge=0.0, le=float(MAX_TIME_MS))]
Text = Annotated[str, msgspec.Meta(max_length=MAX_TEXT_CHARACTERS)]
Name = Annotated[str, msgspec.Meta(min_length=1, max_length=MAX_TEXT_CHARACTERS)]

FAULTS = (ValueError, TypeError, OverflowError, RecursionError)
"""What decoding raises for input of any kind; ``msgspec`` raises a ``ValueError``."""


def message_type(name, fields):
    """Return the type of a JSON object with ``fields``, which maps names to types.

    Names are those of the wire. Fields that aren't named here are ignored.
    """
    return typing.TypedDict(name, fields)


def listed(item_type):
    """Return the type of a list of ``item_type`` whose length has a bound."""
    return Annotated[list[item_type], msgspec.Meta(max_length=MAX_ITEMS)]


@functools.cache
def make_json_decoder(message_type, error_class):
    """Return a function that decodes JSON into ``message_type``.

    It raises ``error_class`` for all other content.
    """
    decoder = msgspec.json.Decoder(message_type)

    def decode(content):
        try:
            return decoder.decode(content)
        except FAULTS as error:
            raise error_class(str(error) or repr(error)) from error

    return decode
