"""Command line of azurelanding.

The modules of a daemon are imported only by the command that runs it. Importing
them takes most of a second, which would slow down the other commands.
"""

import os
import sys

import defopt

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

COMMANDS = (
    *rule_commands.COMMANDS,
    *status_commands.COMMANDS,
    *host_commands.COMMANDS,
    *wave_commands.COMMANDS,
    *site_commands.COMMANDS,
    *task_commands.COMMANDS,
)


def entry(*, settings: str):
    """Run an entry daemon, which forwards requests of callers to targets.

    Example: ``azurelanding entry --settings entry-1.yaml``

    :param settings: path of the YAML settings
    """
    from azurelanding.daemon_process import run_daemon
    from azurelanding.entry import EntryDaemon

    run_daemon(EntryDaemon, settings)


def control(*, settings: str):
    """Run a control daemon, which decides host moves, maintenance and task placement.

    Example: ``azurelanding control --settings control-1.yaml``

    :param settings: path of the YAML settings
    """
    from azurelanding.control import ControlDaemon
    from azurelanding.daemon_process import run_daemon

    run_daemon(ControlDaemon, settings)


def main():
    """Run the command that the command-line arguments name."""
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
