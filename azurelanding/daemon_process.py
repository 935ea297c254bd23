"""Run an entry or a control daemon as a process."""

import signal

import anyio
import capnp

from azurelanding import log
from azurelanding.operators.command_line import CommandError, ExitCode
from azurelanding.settings import SettingsError, read_settings


def _raise_listen_error(settings, error):
    message = f"{settings.name} can't listen: {error}"
    raise CommandError(ExitCode.BAD_SETTINGS, message) from error


async def _run_daemon(make_daemon, settings):
    """Run a daemon until SIGTERM or SIGINT is received."""
    async with capnp.kj_loop():
        try:
            daemon = make_daemon(settings)
        except OSError as error:
            _raise_listen_error(settings, error)
        async with anyio.create_task_group() as task_group:
            try:
                await daemon.start(task_group)
            except OSError as error:
                _raise_listen_error(settings, error)
            with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
                async for _ in signals:
                    break
            await daemon.close()
            task_group.cancel_scope.cancel()


def run_daemon(make_daemon, path):
    """Run the daemon that ``make_daemon(settings)`` returns until it is stopped.

    Raises ``CommandError`` when the settings at ``path`` are invalid or an address
    in them can't be listened on.
    """
    try:
        settings = read_settings(path)
    except SettingsError as error:
        raise CommandError(ExitCode.BAD_SETTINGS, str(error)) from error
    log.configure(settings.log.level)
    try:
        anyio.run(_run_daemon, make_daemon, settings)
    except* CommandError as group:
        command_error = group.exceptions[0]
    else:
        return
    raise command_error
