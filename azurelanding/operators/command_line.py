"""Shared by all operators' commands: exit codes, requests to a daemon, printing."""

import datetime
import enum
import sys

import anyio
import msgspec

from azurelanding.addresses import is_address
from azurelanding.operators.client import (
    AnswerLostError,
    DaemonRefusedError,
    DaemonUnreachableError,
    OperatorsClient,
)

DEFAULT_DAEMON = "127.0.0.1:8090"
AUDIT_HINT = "see azurelanding audit"


class ExitCode(enum.IntEnum):
    """Exit codes of the commands."""

    OK = 0
    NO_OUTPUT = 1
    BAD_USAGE = 2
    BAD_RULES = 3
    REFUSED = 4
    UNREACHABLE = 5
    NOT_EVERYWHERE = 6
    DIFFERENT = 7
    BAD_SETTINGS = 8
    UNDECIDED = 9


class CommandError(Exception):
    """A command failed; ``code`` is its exit code."""

    def __init__(self, code, message):
        super().__init__(message)
        self.code = code


def print_json(value):
    """Print ``value`` as one line of JSON."""
    print(msgspec.json.encode(value).decode())


def call_daemon(daemon, operation, hint=AUDIT_HINT):
    """Run ``operation(client)`` with a client of ``daemon`` and return its result.

    ``hint`` is added to the error if the answer to a change was lost.
    Raises ``CommandError`` if ``daemon`` is not an address or the operation fails.
    """
    if not is_address(daemon):
        message = f"daemon: expected IP:PORT such as {DEFAULT_DAEMON}, got {daemon}"
        raise CommandError(ExitCode.BAD_USAGE, message)

    async def run():
        client = OperatorsClient.from_config(daemon)
        try:
            return await operation(client)
        finally:
            await client.close()

    try:
        return anyio.run(run)
    except DaemonUnreachableError as error:
        raise CommandError(ExitCode.UNREACHABLE, str(error)) from error
    except AnswerLostError as error:
        message = f"{error}; the change may have been made: {hint}"
        raise CommandError(ExitCode.UNDECIDED, message) from error
    except DaemonRefusedError as error:
        raise CommandError(ExitCode.REFUSED, str(error)) from error


def format_time(seconds):
    """Return ``seconds`` since the epoch as a readable date and time in UTC."""
    moment = datetime.datetime.fromtimestamp(seconds, datetime.UTC)
    return moment.strftime("%Y-%m-%d %H:%M:%SZ")


def raise_if_undecided(result):
    """Raise ``CommandError`` if it is not known whether a change was accepted."""
    if result.undecided:
        hint = f"ask later: azurelanding audit --record {result.record}"
        raise CommandError(ExitCode.UNDECIDED, f"{result.reason}; {hint}")


def report_error(error):
    """Print ``error`` to standard error, if it has a text, and return its code."""
    if str(error):
        print(error, file=sys.stderr)
    return int(error.code)
