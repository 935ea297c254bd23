"""The operators' commands that look at the site: status, audit.

Each command exits with one of the codes of ``ExitCode``.
"""

import time

from azurelanding.operators.command_line import (
    DEFAULT_DAEMON,
    CommandError,
    ExitCode,
    ask,
    format_time,
    print_json,
)
from azurelanding.operators.status_texts import print_status


def status(*, daemon: str = DEFAULT_DAEMON, json: bool = False):
    """Show what is in force, what waits, and how the platform is.

    Example: ``azurelanding status --daemon 127.0.0.1:8090``

    :param daemon: operators' address of any daemon
    :param json: print the report as JSON
    """
    report = ask(daemon, lambda client: client.status())
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

    Exits with 9 when the log has no record with the id that is asked for.

    :param record: show only the record with this id
    :param all: show renewals of leases and marks of snapshots too
    :param daemon: operators' address of any daemon
    :param json: print the trail as JSON
    """
    include_housekeeping = all or record is not None
    lines = ask(daemon, lambda client: client.audit(include_housekeeping))
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
            f"{line.offset:6} {format_time(line.made_at)} {verdict}{line.summary}{change} "
            f"(asked by {line.asked_by}, written by {line.author})"
        )
    if record is not None and not lines:
        message = f"the log has no record {record}: not appended so far, or trimmed"
        raise CommandError(ExitCode.UNDECIDED, message)


COMMANDS = (status, audit)
