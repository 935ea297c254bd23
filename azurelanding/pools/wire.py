"""Encode requests to the platform's pools service and decode its answers.

``PUT /reboots/HOST/TOKEN`` requests a reboot and returns a ``Reboot``. A repeat
with the same token does not start another reboot and returns the current state.
"""

import msgspec

from azurelanding.decoding import make_json_decoder
from azurelanding.pools.reboots import Reboot


def reboot_path(host, token):
    """Return the path of the reboot ``token`` of ``host``."""
    return f"/reboots/{host}/{token}"


class RebootFormatError(ValueError):
    """The answer to the request of a reboot can't be read."""


decode_reboot = make_json_decoder(Reboot, RebootFormatError)


def encode_reboot(reboot):
    """Return the JSON of ``reboot``, for the stand-in."""
    return msgspec.json.encode(reboot)
