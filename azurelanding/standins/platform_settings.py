"""Write the settings and the environment that the platform gives to a process."""

import os

import msgspec

from azurelanding.platform.settings import SETTINGS_PATH_VARIABLE


def encode_settings(name, ip, store_address, partitions, **fields):
    """Return the settings of the daemon ``name`` on the address ``ip``, as JSON.

    ``fields`` are further ones in the platform's own names.
    """
    settings = {
        "nodeName": name,
        "zone": "a",
        "ip": ip,
        "listen": {"frontend": f"{ip}:7171", "readiness": f"{ip}:7172"},
        "platform": {"address": store_address, "parts": partitions},
    }
    return msgspec.json.encode({**settings, **fields})


def environment(path):
    """Return the environment of a process whose settings are at ``path``."""
    return {**os.environ, SETTINGS_PATH_VARIABLE: str(path)}


def encode_configuration(version, routes):
    """Return the operator's configuration as JSON.

    ``routes`` are triples of the name of a queue, its host and the name of its pool.
    The path prefix of a queue is its name up to the first colon.
    """
    values = {
        "version": version,
        "routes": [
            {
                "name": name,
                "host": host,
                "pathPrefix": f"/{name.partition(':')[0]}/",
                "service": pool,
                "timeoutMs": 3000,
            }
            for name, host, pool in routes
        ],
        "services": [{"name": pool} for pool in sorted({pool for *_, pool in routes})],
    }
    return msgspec.json.encode(values)
