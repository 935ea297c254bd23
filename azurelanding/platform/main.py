"""Run the daemon as a service of the platform."""

import functools
import secrets
import signal
import sys

import anyio
import attrs
import structlog

from azurelanding import log, process_signals, served_metrics
from azurelanding.bounded_http import make_protocol
from azurelanding.configuration import RequestLimits
from azurelanding.http_server import HttpServer
from azurelanding.platform import callers, operator, settings
from azurelanding.platform.advice import AdviceClient
from azurelanding.platform.hosts import HostsClient
from azurelanding.platform.store import ClientGroup, StoreClient
from azurelanding.platform.traffic import count_received
from azurelanding.platform.workers import WorkerClient, decode_worker_entry
from azurelanding.served_metrics import ServedMetrics
from azurelanding.server_load import HttpLimits, ServerLoad
from azurelanding.site import SettingsError
from azurelanding.site_daemon import ServiceClients, SiteDaemon

logger = structlog.get_logger()

METRICS_PORT = 7075
"""Port that the deploy file names under ``metrics``."""
SHUTDOWN_DELAY_SECONDS = 2.2
"""Time to keep serving after readiness fails: callers still arrive for two readiness
checks, which are a second apart."""
CLEAN_STOP_SHARE = 0.75
"""Share of the grace period that a clean stop may take; after all of it the process is
killed."""
EXIT_BAD_SETTINGS = 2
CALLERS_SHARE = 0.2
"""Share of the descriptors that callers' connections may have, and of the memory that
what they have sent may take."""
OTHERS_SHARE = 0.05
"""The same for the readiness check, and for the metrics."""
RECEIVED_SHARE = 1 / 3
"""What bytes may take that a server has not read yet, by what it may hold itself."""
MAX_RECEIVE_BUFFER_BYTES = 65_536


@attrs.frozen
class CallerLimits:
    """Limits of callers' requests; times are in seconds, ``max_body`` in bytes.

    ``max_timeout`` is the longest timeout of a request. Each request is answered
    within ``timeout_share`` of its timeout, so that the answer arrives in time.
    ``retry_after`` is sent with a refusal.
    """

    max_timeout: float = 3.0
    timeout_share: float = 0.85
    retry_after: int = 1
    max_body: int = 262_144


def decode_operator_record(record):
    """Return the ``Configuration`` or ``WaveRequest`` in a record of the operator.

    Returns ``None`` for other records and deleted keys. Raises ``StoredRecordError``
    for invalid ones.
    """
    if not record.value:
        return None
    if record.key == operator.CONFIG_KEY:
        return operator.decode_configuration(record.value)
    if record.key.startswith(operator.WAVE_PREFIX):
        return operator.decode_wave(record.value)
    return None


def _bind_address(address, make_client, **options):
    """Bind ``make_client`` to ``address``; return ``None`` without an address."""
    return functools.partial(make_client, address, **options) if address else None


def make_service_clients(site):
    """Return the client factories, codecs and topics for the peers of ``site``."""
    return ServiceClients(
        make_store=functools.partial(
            StoreClient.from_config, site.store, site.link_rate, ClientGroup()
        ),
        make_worker_client=WorkerClient.from_config,
        make_hosts=_bind_address(site.hosts_address, HostsClient.from_config),
        make_advice=_bind_address(
            site.advice_address, AdviceClient.from_config, turn=anyio.Lock()
        ),
        decode_operator=decode_operator_record,
        decode_worker=lambda record: decode_worker_entry(record.key, record.value),
        encode_wave=operator.encode_wave_status,
        operator_topic="operator",
        workers_topic="workers",
        status_topic="status",
    )


def _choose_receive_buffer(load):
    """Return the bytes that the system may hold for each connection of a server.

    The connections that wait to be accepted count too.
    """
    connections = load.max_connections + load.accepted_at_once
    fair = int(load.max_bytes * RECEIVED_SHARE / connections)
    return min(MAX_RECEIVE_BUFFER_BYTES, fair)


def _make_servers(site, daemon):
    context = callers.HandlerContext(
        daemon.service,
        daemon.find_queue,
        daemon.check_key,
        daemon.is_confirmed,
        CallerLimits(),
    )
    callers_app = callers.make_app(context)
    find_limits = make_limits_finder(daemon.operator)
    readiness_app = callers.make_readiness_app(daemon.is_ready)
    metrics_app = callers.make_metrics_app(daemon.metrics, served_metrics.CONTENT_TYPE)
    servers = []
    for address, app, share, headers in (
        (site.callers_address, callers_app, CALLERS_SHARE, callers.READ_HEADERS),
        (site.readiness_address, readiness_app, OTHERS_SHARE, frozenset()),
        (f"{site.metrics_ip}:{METRICS_PORT}", metrics_app, OTHERS_SHARE, frozenset()),
    ):
        max_connections = max(1, int(site.descriptors * share))
        load = ServerLoad(max_connections, site.memory * share, daemon.metrics)
        protocol = make_protocol(find_limits, load, kept_headers=headers)
        servers.append(
            HttpServer.from_config(
                address,
                app,
                receive_buffer=_choose_receive_buffer(load),
                http=protocol,
                backlog=load.accepted_at_once,
            )
        )
    return servers


def make_limits_finder(operator_fold):
    """Return a function that returns the ``HttpLimits`` by the configuration."""

    @functools.lru_cache(maxsize=1)
    def decide(limits):
        return HttpLimits(
            max_header=limits.max_header,
            header_timeout=limits.header_timeout,
            idle_timeout=limits.idle_timeout,
        )

    def find_limits():
        configuration = operator_fold.configuration
        return decide(
            RequestLimits() if configuration is None else configuration.request_limits
        )

    return find_limits


async def _stop(daemon, servers):
    """Hand over the pools, answer callers that still arrive, then close."""
    logger.info("daemon stopping", name=daemon.name)
    with anyio.move_on_after(daemon.site.timing.grace * CLEAN_STOP_SHARE):
        await daemon.leave()
        await anyio.sleep(SHUTDOWN_DELAY_SECONDS)
        for server in servers:
            await server.close()


async def _run(site):
    metrics = ServedMetrics()
    service_clients = count_received(make_service_clients(site), metrics)
    daemon = SiteDaemon(site, service_clients, secrets.token_hex(3), metrics)
    servers = _make_servers(site, daemon)
    with anyio.open_signal_receiver(*process_signals.HANDLED_SIGNALS) as signals:
        async with anyio.create_task_group() as task_group:
            await daemon.start(task_group)
            for server in servers:
                server.start(task_group)
            await _serve_until_stopped(daemon, signals)
            await _stop(daemon, servers)
            task_group.cancel_scope.cancel()
        await daemon.close()
        process_signals.block()


async def _serve_until_stopped(daemon, signals):
    """Reload the settings at each SIGHUP, until another signal arrives."""
    for number in process_signals.received():
        if number != signal.SIGHUP:
            return
        _reload(daemon)
    async for number in signals:
        if number != signal.SIGHUP:
            return
        _reload(daemon)


def _reload(daemon):
    """Read the settings again; the previous ones stay in force if they are invalid."""
    try:
        changed = settings.read_settings()
    except SettingsError as error:
        logger.warning(
            "changed settings invalid, previous ones stay in force",
            reason=str(error),
        )
        return
    daemon.apply(changed)


def main():
    """Run the daemon until SIGTERM or SIGINT.

    SIGHUP makes it read its settings again, once it has started. Exits with 2 when the
    settings are invalid at the start.
    """
    log.configure("info", log.NonBlockingOutput(sys.stdout.fileno()))
    try:
        site = settings.read_settings()
    except SettingsError as error:
        logger.error("settings refused", reason=str(error))
        sys.exit(EXIT_BAD_SETTINGS)
    anyio.run(_run, site)
