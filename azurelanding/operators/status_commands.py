"""The operators' commands that show the state and history of a site: status, audit.

Each command exits with one of the codes of ``ExitCode``.
"""

import time

from azurelanding.operators.command_line import (
    DEFAULT_DAEMON,
    CommandError,
    ExitCode,
    call_daemon,
    format_time,
    print_json,
)
from azurelanding.operators.status_texts import print_status


def status(*, daemon: str = DEFAULT_DAEMON, json: bool = False):
    """Show the rules in force, the platform's services, the pools and what waits.

    Example: ``azurelanding status --daemon 127.0.0.1:8090``

    :param daemon: operators' address of any daemon
    :param json: print the report as JSON
    """
    report = call_daemon(daemon, lambda client: client.status())
    if json:
        print_json(report)
        return
    print_status(report, time.time())


def audit(
    *,
    record: str | None = None,
    all: bool = False,  # noqa: A002
    daemon: str = DEFAULT_DAEMON,
    json: bool = False,
):
    """Show every change that the log still keeps, the oldest first.

    Example: ``azurelanding audit --daemon 127.0.0.1:8090``

    Exits with 9 when the log has no record with the given id.

    :param record: show only the record with this id
    :param all: also show records of lease renewals and snapshots
    :param daemon: operators' address of any daemon
    :param json: print the audit trail as JSON
    """
    include_housekeeping = all or record is not None
    lines = call_daemon(daemon, lambda client: client.audit(include_housekeeping))
    if record is not None:
        lines = [line for line in lines if line.record == record]
    if json:
        print_json(lines)
        return
    for line in lines:
        verdict = "" if line.accepted else "REFUSED "
        changed = line.before != line.after
        change = f" [{line.before} -> {line.after}]" if changed else ""
        print(
            f"{line.offset:6} {format_time(line.made_at)} "
            f"{verdict}{line.summary}{change} "
            f"(asked by {line.asked_by}, written by {line.author})"
        )
    if record is not None and not lines:
        message = f"the log has no record {record}: not appended so far, or trimmed"
        raise CommandError(ExitCode.UNDECIDED, message)


COMMANDS = (status, audit)
