"""Run the daemon on the platform."""

import functools
import secrets
import signal
import sys

import anyio
import attrs
import structlog

from azurelanding import log, served_metrics
from azurelanding.http_server import HttpServer
from azurelanding.platform import callers, operator, settings
from azurelanding.platform.advice import AdviceClient
from azurelanding.platform.hosts import HostsClient
from azurelanding.platform.store import StoreClient
from azurelanding.platform.workers import WorkerClient, decode_worker_entry
from azurelanding.settings import SettingsError
from azurelanding.site_daemon import ServiceClients, SiteDaemon

logger = structlog.get_logger()

METRICS_PORT = 7075
"""The port of the deploy file's ``metrics``."""
NOTICE_SECONDS = 2.2
"""How long callers still come after readiness fails: two looks, a second apart."""
STOP_SHARE = 0.75
"""Part of the time until a process is killed in which it stops by itself."""
EXIT_BAD_SETTINGS = 2


@attrs.frozen
class CallerLimits:
    """Bounds of callers' requests; times are in seconds, ``max_body`` in bytes.

    An answer is given after ``timeout_share`` of the caller's patience at the
    latest, so that it arrives in time.
    """

    max_timeout: float = 3.0
    timeout_share: float = 0.85
    retry_after: int = 1
    max_body: int = 262_144


def decode_operator_record(record):
    """Return what the operator's record stands for, or ``None``."""
    if not record.value:
        return None
    if record.key == operator.CONFIG_KEY:
        return operator.decode_configuration(record.value)
    if record.key.startswith(operator.WAVE_PREFIX):
        return operator.decode_wave(record.key, record.value)
    return None


def _if_any(address, make_client):
    """Return a maker of clients for ``address``, ``None`` where there is none."""
    return functools.partial(make_client, address) if address else None


def make_service_clients(site):
    """Return the clients and decoders for the peers of ``site``."""
    return ServiceClients(
        make_store=functools.partial(StoreClient.from_config, site.store),
        make_worker_client=WorkerClient.from_config,
        make_hosts=_if_any(site.hosts_address, HostsClient.from_config),
        make_advice=_if_any(site.advice_address, AdviceClient.from_config),
        decode_operator=decode_operator_record,
        decode_worker=lambda record: decode_worker_entry(record.key, record.value),
        encode_wave=operator.encode_wave_status,
        operator_topic="operator",
        workers_topic="workers",
        status_topic="status",
    )


def _make_servers(site, daemon):
    app = callers.make_app(daemon.service, daemon.find_queue, CallerLimits())
    ready = callers.make_readiness_app(daemon.is_ready)
    figures = callers.make_metrics_app(daemon.metrics, served_metrics.CONTENT_TYPE)
    return [
        HttpServer.from_config(site.callers_address, app, http="httptools"),
        HttpServer.from_config(site.readiness_address, ready, http="httptools"),
        HttpServer.from_config(f"{site.metrics_ip}:{METRICS_PORT}", figures),
    ]


async def _stop(daemon, servers):
    """Leave the control, answer who still comes, then close."""
    logger.info("daemon stopping", name=daemon.name)
    with anyio.move_on_after(daemon.site.timing.grace * STOP_SHARE):
        await daemon.leave()
        await anyio.sleep(NOTICE_SECONDS)
        for server in servers:
            await server.close()


async def _run(site):
    daemon = SiteDaemon(site, make_service_clients(site), secrets.token_hex(3))
    servers = _make_servers(site, daemon)
    async with anyio.create_task_group() as task_group:
        await daemon.start(task_group)
        for server in servers:
            server.start(task_group)
        watched = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)
        with anyio.open_signal_receiver(*watched) as signals:
            async for number in signals:
                if number != signal.SIGHUP:
                    break
                _reload(daemon)
            await _stop(daemon, servers)
        task_group.cancel_scope.cancel()
    await daemon.close()


def _reload(daemon):
    """Read the settings anew; unreadable ones leave the last in force."""
    try:
        changed = settings.read_settings()
    except SettingsError as error:
        logger.warning("changed settings unreadable", reason=str(error))
        return
    daemon.apply(changed)


def main():
    """Run the daemon until it is told to stop."""
    log.configure("info", log.NonBlockingOutput(sys.stdout.fileno()))
    try:
        site = settings.read_settings()
    except SettingsError as error:
        logger.error("settings refused", reason=str(error))
        sys.exit(EXIT_BAD_SETTINGS)
    anyio.run(_run, site)
