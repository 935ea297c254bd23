"""Change the settings of a stand-in, its knobs, while it runs.

``POST /knobs`` with a JSON object sets the named attributes of the stand-in's knobs;
``GET /knobs`` returns all of them. Most knobs inject a fault.
"""

import attrs
import msgspec

from azurelanding import http_server

KNOBS_PATH = "/knobs"
MAX_BODY_BYTES = 8 << 20
JSON_HEADERS = (("Content-Type", "application/json"),)


async def send_json(send, status, value):
    """Send ``value`` as JSON; bytes are sent as they are."""
    body = value if isinstance(value, bytes) else msgspec.json.encode(value)
    await http_server.send_reply(send, status, JSON_HEADERS, body)


async def serve_knobs(knobs, scope, receive, send):
    """Serve a request to ``/knobs``, which reads or changes ``knobs``."""
    if scope["method"] == "POST":
        body = await http_server.read_body(receive, MAX_BODY_BYTES)
        changed = {**attrs.asdict(knobs), **msgspec.json.decode(body)}
        checked = msgspec.convert(changed, type(knobs))
        for name in changed:
            setattr(knobs, name, getattr(checked, name))
    await send_json(send, 200, attrs.asdict(knobs))
