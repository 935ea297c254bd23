"""Run azurelanding from the command line."""

import os
import signal
import sys

import anyio
import capnp
import defopt

from azurelanding import log
from azurelanding.control import ControlDaemon
from azurelanding.entry import EntryDaemon
from azurelanding.operators import (
    host_commands,
    rule_commands,
    site_commands,
    status_commands,
    task_commands,
    wave_commands,
)
from azurelanding.operators.command_line import (
    CommandError,
    ExitCode,
    report_error,
)
from azurelanding.settings import SettingsError, read_settings

COMMANDS = (
    *rule_commands.COMMANDS,
    *status_commands.COMMANDS,
    *host_commands.COMMANDS,
    *wave_commands.COMMANDS,
    *site_commands.COMMANDS,
    *task_commands.COMMANDS,
)


def _refuse_address(settings, error):
    message = f"{settings.name} can't listen: {error}"
    raise CommandError(ExitCode.BAD_SETTINGS, message) from error


async def _run_daemon(make_daemon, settings):
    """Run a daemon until it is told to stop by SIGTERM or SIGINT."""
    async with capnp.kj_loop():
        try:
            daemon = make_daemon(settings)
        except OSError as error:
            _refuse_address(settings, error)
        async with anyio.create_task_group() as task_group:
            try:
                await daemon.start(task_group)
            except OSError as error:
                _refuse_address(settings, error)
            with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
                async for _ in signals:
                    break
            await daemon.close()
            task_group.cancel_scope.cancel()


def _start(make_daemon, path):
    try:
        settings = read_settings(path)
    except SettingsError as error:
        raise CommandError(ExitCode.BAD_SETTINGS, str(error)) from error
    log.configure(settings.log.level)
    try:
        anyio.run(_run_daemon, make_daemon, settings)
    except* CommandError as group:
        refused = group.exceptions[0]
    else:
        return
    raise refused


def entry(*, settings: str):
    """Carry requests between callers and targets.

    Example: ``azurelanding entry --settings entry-1.yaml``

    :param settings: path of the YAML settings
    """
    _start(EntryDaemon, settings)


def control(*, settings: str):
    """Decide host moves, maintenance waves and task placement.

    Example: ``azurelanding control --settings control-1.yaml``

    :param settings: path of the YAML settings
    """
    _start(ControlDaemon, settings)


def main():
    """Run the command that the arguments name."""
    try:
        defopt.run([entry, control, *COMMANDS])
        sys.stdout.flush()
    except CommandError as error:
        sys.exit(report_error(error))
    except BrokenPipeError:
        os.dup2(os.open(os.devnull, os.O_WRONLY), sys.stdout.fileno())
        sys.exit(ExitCode.NO_OUTPUT)


if __name__ == "__main__":
    main()
