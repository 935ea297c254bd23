"""Decode the answers of the platform's host list.

``GET /hosts?since=VERSION`` returns a ``HostListing``: the hosts that changed
after that version, or all hosts if ``whole`` is true.
"""

import attrs
import msgspec

from azurelanding.decoding import make_json_decoder
from azurelanding.hosts import Host


@attrs.frozen
class HostListing:
    """The changes of the host list up to ``version``, or the whole list.

    ``gone`` names hosts that were removed from the list.
    """

    version: int
    whole: bool
    hosts: tuple[Host, ...] = ()
    gone: tuple[str, ...] = ()


class ListingFormatError(ValueError):
    """A host list can't be read."""


decode_listing = make_json_decoder(HostListing, ListingFormatError)


def encode_listing(listing):
    """Return the JSON of ``listing``, for the stand-in."""
    return msgspec.json.encode(listing)
