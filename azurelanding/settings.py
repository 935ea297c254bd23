"""Read and validate the settings of a daemon.

Settings are a YAML file. The classes below define the defaults, so a file needs
to name only what differs:

    name: entry-1
    availability_zone: fresno-a
    callers: {address: 127.0.0.1:8080}
    entries: {address: 127.0.0.1:7001, fellows: [127.0.0.1:7002]}
    log_service: {address: 127.0.0.1:9001}
    host_list: {address: 127.0.0.1:9002}
    pools: {address: 127.0.0.1:9003}
"""

import math
import pathlib
import typing

import attrs
import msgspec
import structlog
import yaml

from azurelanding.addresses import is_address
from azurelanding.rules_parser import suggest
from azurelanding.site import SettingsError

logger = structlog.get_logger()

LOG_LEVELS = ("debug", "info", "warning", "error")


def _raise_invalid(attribute, expected, value):
    raise ValueError(f"{attribute.name}: expected {expected}, got {value!r}")


def check_address(_instance, attribute, value):
    """Raise ``ValueError`` unless ``value`` is an IP address and a port."""
    if not is_address(value):
        _raise_invalid(attribute, "IP:PORT such as 127.0.0.1:8080", value)


def check_addresses(_instance, attribute, value):
    """Raise ``ValueError`` unless ``value`` holds only IP addresses with ports."""
    for address in value:
        check_address(None, attribute, address)


def check_positive(_instance, attribute, value):
    """Raise ``ValueError`` unless ``value`` is finite and greater than 0."""
    if not 0 < value < math.inf:
        _raise_invalid(attribute, "a number above 0", value)


def check_name(_instance, attribute, value):
    """Raise ``ValueError`` unless ``value`` is a name without white space."""
    if not value or any(character.isspace() for character in value):
        _raise_invalid(attribute, "a name without white space", value)


def check_level(_instance, attribute, value):
    """Raise ``ValueError`` unless ``value`` is one of ``LOG_LEVELS``."""
    if value not in LOG_LEVELS:
        _raise_invalid(attribute, f"one of {', '.join(LOG_LEVELS)}", value)


def _seconds_field(default):
    return attrs.field(default=default, validator=check_positive)


@attrs.frozen
class CallersSettings:
    """The address for callers and the limits of their requests; sizes are in bytes.

    A request whose headers take longer than ``header_timeout`` seconds or whose
    body takes longer than ``body_timeout`` seconds is refused. When the daemon
    stops, its health check fails for ``notice`` seconds before it stops listening,
    and requests in flight get ``drain_timeout`` seconds to finish.
    """

    address: str = attrs.field(default="127.0.0.1:8080", validator=check_address)
    max_header: int = attrs.field(default=16 << 10, validator=check_positive)
    header_timeout: float = _seconds_field(10.0)
    body_timeout: float = _seconds_field(10.0)
    notice: float = _seconds_field(1.0)
    drain_timeout: float = _seconds_field(60.0)


@attrs.frozen
class OperatorsSettings:
    """The address to which the operators' commands connect."""

    address: str = attrs.field(default="127.0.0.1:8090", validator=check_address)


@attrs.frozen
class EntriesSettings:
    """The address for peer daemons, and the addresses of the peers (``fellows``).

    ``period`` is the minimum time in seconds between two exchanges with one peer,
    ``rate`` the maximum number of heartbeats a second with all peers together. A
    peer that was silent for ``silence`` seconds counts as down; the time is longer
    where ``rate`` makes heartbeats less frequent.
    """

    address: str = attrs.field(default="127.0.0.1:7000", validator=check_address)
    fellows: tuple[str, ...] = attrs.field(default=(), validator=check_addresses)
    period: float = _seconds_field(0.5)
    rate: float = _seconds_field(4.0)
    silence: float = _seconds_field(3.0)


@attrs.frozen
class TargetsSettings:
    """The connections to executors and their slots; times are in seconds.

    ``slots`` is the number of requests that an executor runs concurrently. A connection
    that was idle for ``trust`` is not reused for a request that must not be
    repeated.
    """

    slots: int = attrs.field(default=8, validator=check_positive)
    connect_timeout: float = _seconds_field(1.0)
    retry_pause: float = _seconds_field(0.5)
    trust: float = _seconds_field(0.02)


@attrs.frozen
class LogServiceSettings:
    """The platform's log service; times are in seconds.

    A read waits up to ``poll`` for new records. ``batch`` is the pause after a
    read that caught up, so that the next one brings several records.
    """

    address: str = attrs.field(default="127.0.0.1:9001", validator=check_address)
    timeout: float = _seconds_field(2.0)
    poll: float = _seconds_field(1.0)
    retry_pause: float = _seconds_field(0.2)
    batch: float = _seconds_field(0.2)


@attrs.frozen
class ClaimsSettings:
    """How requests that must not be repeated are claimed; times are in seconds.

    A key is stored until ``window`` after it was issued, and refused from then on.
    Claims are appended at least ``commit_interval`` apart. Answers are cached for
    ``answer_keep``, up to ``answer_bytes`` in total, for callers that repeat a
    request with the same key. With ``require_issued``, a request must state when
    its key was issued.
    """

    window: float = _seconds_field(3600.0)
    commit_interval: float = _seconds_field(0.025)
    answer_keep: float = _seconds_field(300.0)
    answer_bytes: int = attrs.field(default=64 << 20, validator=check_positive)
    require_issued: bool = False


@attrs.frozen
class HostListSettings:
    """The platform's host list, read every ``period``; times are in seconds."""

    address: str = attrs.field(default="127.0.0.1:9002", validator=check_address)
    timeout: float = _seconds_field(2.0)
    period: float = _seconds_field(1.0)


@attrs.frozen
class PoolsSettings:
    """The platform's pool service, which reboots hosts; ``timeout`` is in seconds."""

    address: str = attrs.field(default="127.0.0.1:9003", validator=check_address)
    timeout: float = _seconds_field(2.0)


@attrs.frozen
class WorkersSettings:
    """The connections to workers, and the leases of workers; times are in seconds.

    A request for a worker's report waits up to ``wait`` for a new one. A worker
    that had no contact with the daemon for ``lease`` stops its tasks. ``period`` is
    the time between two placement passes.
    """

    wait: float = _seconds_field(20.0)
    lease: float = _seconds_field(60.0)
    timeout: float = _seconds_field(2.0)
    retry_pause: float = _seconds_field(0.5)
    period: float = _seconds_field(0.25)


@attrs.frozen
class MetricsSettings:
    """The address of statsd; without one, no metrics are sent."""

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
    """Return ``values`` without unknown settings; log a warning for each of them."""
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


def _describe_error(error):
    """Return the message of a conversion error with the path of the setting."""
    problem, _, path = str(error).partition(" - at `$")
    path = path.strip("`.")
    if problem.startswith(("Expected", "Object")):
        return f"{path}: {problem}".lstrip(": ")
    return f"{path}.{problem}".lstrip(".")


def parse_settings(text):
    """Return the ``Settings`` in YAML text; log a warning for each unknown setting.

    Raises ``SettingsError`` when the text is not a YAML mapping, when a value has
    the wrong type or is out of range, or when a required setting is missing.
    """
    try:
        values = yaml.safe_load(text)
    except (yaml.YAMLError, RecursionError, ValueError) as error:
        raise SettingsError(f"the settings are not YAML: {error}") from error
    if not isinstance(values, dict):
        raise SettingsError("the settings must be a mapping of names to values")
    try:
        return msgspec.convert(_drop_unknown(values, Settings), Settings)
    except (ValueError, OverflowError, RecursionError) as error:
        raise SettingsError(_describe_error(error)) from error


def read_settings(path):
    """Return the ``Settings`` in the file at ``path``.

    Raises ``SettingsError`` when the file can't be read or is invalid.
    """
    try:
        text = pathlib.Path(path).read_text()
    except (OSError, UnicodeDecodeError) as error:
        raise SettingsError(f"{path}: {error}") from error
    try:
        return parse_settings(text)
    except SettingsError as error:
        raise SettingsError(f"{path}: {error}") from error
