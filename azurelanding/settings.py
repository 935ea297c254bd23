"""Read and check the settings of a daemon.

Settings are a YAML file. The types below are the one table of defaults; a file
need name only what differs:

    name: entry-1
    availability_zone: fresno-a
    callers: {address: 127.0.0.1:8080}
    entries: {address: 127.0.0.1:7001, fellows: [127.0.0.1:7002]}
    log_service: {address: 127.0.0.1:9001}
    host_list: {address: 127.0.0.1:9002}
    pools: {address: 127.0.0.1:9003}
"""

import ipaddress
import math
import pathlib
import typing

import attrs
import msgspec
import structlog
import yaml

from azurelanding.rules_parser import suggest

logger = structlog.get_logger()

LOG_LEVELS = ("debug", "info", "warning", "error")


class SettingsError(Exception):
    """The settings can't be used; the message names the setting and the fault."""


def _refuse(attribute, expected, value):
    raise ValueError(f"{attribute.name}: expected {expected}, got {value!r}")


def is_address(text):
    """Tell whether ``text`` is an IP number and a port."""
    host, _, port = text.rpartition(":")
    try:
        ipaddress.ip_address(host.strip("[]"))
    except ValueError:
        return False
    return port.isascii() and port.isdecimal() and int(port) < 1 << 16


def check_address(_instance, attribute, value):
    """Raise ``ValueError`` unless ``value`` is an IP number and a port."""
    if not is_address(value):
        _refuse(attribute, "IP:PORT such as 127.0.0.1:8080", value)


def check_addresses(_instance, attribute, value):
    """Raise ``ValueError`` unless ``value`` is a series of addresses."""
    for address in value:
        check_address(None, attribute, address)


def check_positive(_instance, attribute, value):
    """Raise ``ValueError`` unless ``value`` is finite and above zero."""
    if not 0 < value < math.inf:
        _refuse(attribute, "a number above 0", value)


def check_name(_instance, attribute, value):
    """Raise ``ValueError`` unless ``value`` is a name without white space."""
    if not value or any(character.isspace() for character in value):
        _refuse(attribute, "a name without white space", value)


def check_level(_instance, attribute, value):
    """Raise ``ValueError`` unless ``value`` is a level of the log."""
    if value not in LOG_LEVELS:
        _refuse(attribute, f"one of {', '.join(LOG_LEVELS)}", value)


def split_address(address):
    """Return the host and port of an address such as ``127.0.0.1:80``.

    >>> split_address("[::1]:80")
    ('::1', 80)
    """
    host, _, port = address.rpartition(":")
    return host.strip("[]"), int(port)


def _seconds(default):
    return attrs.field(default=default, validator=check_positive)


@attrs.frozen
class CallersSettings:
    """Where callers connect and what they may send; sizes are in bytes.

    A sender that needs longer than ``header_timeout`` seconds for the headers or
    ``body_timeout`` seconds for the body of a request is refused.
    On stopping, the health address fails for ``notice`` seconds before the
    listening ends, and requests in flight get ``drain_timeout`` seconds.
    """

    address: str = attrs.field(default="127.0.0.1:8080", validator=check_address)
    max_header: int = attrs.field(default=16 << 10, validator=check_positive)
    header_timeout: float = _seconds(10.0)
    body_timeout: float = _seconds(10.0)
    notice: float = _seconds(1.0)
    drain_timeout: float = _seconds(60.0)


@attrs.frozen
class OperatorsSettings:
    """Where the operators' command line connects."""

    address: str = attrs.field(default="127.0.0.1:8090", validator=check_address)


@attrs.frozen
class EntriesSettings:
    """Where fellow daemons connect, and the fellows to begin with.

    ``period`` is the shortest time in seconds between two exchanges with one
    fellow, ``rate`` the most exchanges a second with all of them while there is
    no news. A fellow silent for ``silence`` seconds counts as gone, or after
    longer where the rate makes the heartbeats slower.
    """

    address: str = attrs.field(default="127.0.0.1:7000", validator=check_address)
    fellows: tuple[str, ...] = attrs.field(default=(), validator=check_addresses)
    period: float = _seconds(0.5)
    rate: float = _seconds(4.0)
    silence: float = _seconds(3.0)


@attrs.frozen
class TargetsSettings:
    """How executors are used.

    ``slots`` is how many requests an executor runs at once. The times are in
    seconds; a connection idle for ``trust`` is not used again for a request
    that must not be repeated.
    """

    slots: int = attrs.field(default=8, validator=check_positive)
    connect_timeout: float = _seconds(1.0)
    retry_pause: float = _seconds(0.5)
    trust: float = _seconds(0.02)


@attrs.frozen
class LogServiceSettings:
    """The platform's log service; times are in seconds."""

    address: str = attrs.field(default="127.0.0.1:9001", validator=check_address)
    timeout: float = _seconds(2.0)
    poll: float = _seconds(1.0)
    retry_pause: float = _seconds(0.2)
    batch: float = _seconds(0.2)


@attrs.frozen
class ClaimsSettings:
    """How requests that must not be repeated are claimed; times are in seconds.

    A key is kept for ``window`` from its issue and refused after it. Appends of
    claims are at least ``commit_interval`` apart. Answers are kept for
    ``answer_keep``, up to ``answer_bytes`` in all, for callers that ask again
    with the same key. With ``require_issued`` a key must tell its issue time.
    """

    window: float = _seconds(3600.0)
    commit_interval: float = _seconds(0.025)
    answer_keep: float = _seconds(300.0)
    answer_bytes: int = attrs.field(default=64 << 20, validator=check_positive)
    require_issued: bool = False


@attrs.frozen
class HostListSettings:
    """The platform's host list; times are in seconds."""

    address: str = attrs.field(default="127.0.0.1:9002", validator=check_address)
    timeout: float = _seconds(2.0)
    period: float = _seconds(1.0)


@attrs.frozen
class PoolsSettings:
    """The platform's pools, which reboot hosts; ``timeout`` is in seconds."""

    address: str = attrs.field(default="127.0.0.1:9003", validator=check_address)
    timeout: float = _seconds(2.0)


@attrs.frozen
class WorkersSettings:
    """How workers are followed; times are in seconds.

    A report is waited for up to ``wait``. A task that was heard nothing about
    from here for ``lease`` is stopped by its worker. ``period`` passes between
    two passes of placement.
    """

    wait: float = _seconds(20.0)
    lease: float = _seconds(60.0)
    timeout: float = _seconds(2.0)
    retry_pause: float = _seconds(0.5)
    period: float = _seconds(0.25)


@attrs.frozen
class MetricsSettings:
    """Where statsd listens; no metrics are sent without an address."""

    address: str | None = attrs.field(
        default=None, validator=attrs.validators.optional(check_address)
    )
    prefix: str = "azurelanding"


@attrs.frozen
class LogSettings:
    """The lowest level that is logged: debug, info, warning or error."""

    level: str = attrs.field(default="info", validator=check_level)


@attrs.frozen
class Settings:
    """All settings of one daemon."""

    name: str = attrs.field(validator=check_name)
    availability_zone: str = attrs.field(validator=check_name)
    region: str = "default"
    callers: CallersSettings = attrs.field(factory=CallersSettings)
    operators: OperatorsSettings = attrs.field(factory=OperatorsSettings)
    entries: EntriesSettings = attrs.field(factory=EntriesSettings)
    targets: TargetsSettings = attrs.field(factory=TargetsSettings)
    log_service: LogServiceSettings = attrs.field(factory=LogServiceSettings)
    claims: ClaimsSettings = attrs.field(factory=ClaimsSettings)
    host_list: HostListSettings = attrs.field(factory=HostListSettings)
    pools: PoolsSettings = attrs.field(factory=PoolsSettings)
    workers: WorkersSettings = attrs.field(factory=WorkersSettings)
    metrics: MetricsSettings = attrs.field(factory=MetricsSettings)
    log: LogSettings = attrs.field(factory=LogSettings)


def _drop_unknown(values, settings_type, path=""):
    """Return ``values`` without the names that no setting has; warn of each."""
    fields = typing.get_type_hints(settings_type)
    known = {}
    for name, value in values.items():
        if name not in fields:
            hint = suggest(str(name), fields).lstrip("; ")
            logger.warning("unknown setting", setting=f"{path}{name}", hint=hint)
        elif isinstance(value, dict) and attrs.has(fields[name]):
            known[name] = _drop_unknown(value, fields[name], f"{path}{name}.")
        else:
            known[name] = value
    return known


def _describe(error):
    """Return the message of a conversion error with the path of the setting."""
    problem, _, place = str(error).partition(" - at `$")
    place = place.strip("`.")
    if problem.startswith(("Expected", "Object")):
        return f"{place}: {problem}".lstrip(": ")
    return f"{place}.{problem}".lstrip(".")


def parse_settings(text):
    """Return ``Settings`` from YAML text and warn of unknown names.

    Raises ``SettingsError`` when the text is no YAML mapping, when a value has
    the wrong type or range, or when a setting without default is missing.
    """
    try:
        values = yaml.safe_load(text)
    except yaml.YAMLError as error:
        raise SettingsError(f"the settings are not YAML: {error}") from error
    if not isinstance(values, dict):
        raise SettingsError("the settings must be a mapping of names to values")
    try:
        return msgspec.convert(_drop_unknown(values, Settings), Settings)
    except (msgspec.ValidationError, ValueError) as error:
        raise SettingsError(_describe(error)) from error


def read_settings(path):
    """Return the ``Settings`` in the file at ``path``.

    Raises ``SettingsError`` also when the file can't be read.
    """
    try:
        text = pathlib.Path(path).read_text()
    except (OSError, UnicodeDecodeError) as error:
        raise SettingsError(f"{path}: {error}") from error
    try:
        return parse_settings(text)
    except SettingsError as error:
        raise SettingsError(f"{path}: {error}") from error
