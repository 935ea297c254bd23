"""Parse and check the addresses of peers: an IP address or a name, and a port."""

import functools
import ipaddress
import re

MAX_PORT = (1 << 16) - 1
MAX_CACHED_ADDRESSES = 4096
"""Entries of workers are read again with each heartbeat."""
HOST_PATTERN = re.compile(r"[0-9A-Za-z._:-]{1,253}")
PORT_PATTERN = re.compile(r"[0-9]{1,5}")


def split_address(address):
    """Return the host and port of an address such as ``127.0.0.1:80``.

    >>> split_address("[::1]:80")
    ('::1', 80)
    """
    host, _, port = address.rpartition(":")
    return host.strip("[]"), int(port)


def _is_port(text):
    return PORT_PATTERN.fullmatch(text) is not None and int(text) <= MAX_PORT


def is_address(text):
    """Return whether ``text`` is an IP address and a port."""
    host, _, port = text.rpartition(":")
    host = host.strip("[]")
    if HOST_PATTERN.fullmatch(host) is None or not _is_port(port):
        return False
    try:
        ipaddress.ip_address(host)
    except ValueError:
        return False
    return True


@functools.lru_cache(maxsize=MAX_CACHED_ADDRESSES)
def is_peer_address(text):
    """Return whether ``text`` is an IP address and the port of a peer, which isn't 0.

    >>> is_peer_address("10.0.0.1:80"), is_peer_address("10.0.0.1:0")
    (True, False)
    """
    return is_address(text) and split_address(text)[1] > 0


def is_reachable(text):
    """Return whether ``text`` is an IP address or a host's name, and a peer's port."""
    host, _, port = text.rpartition(":")
    is_host = HOST_PATTERN.fullmatch(host.strip("[]")) is not None
    return is_host and _is_port(port) and int(port) > 0
