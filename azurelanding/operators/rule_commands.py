"""The operators' commands for the rules file: check, diff, publish.

Each command exits with one of the codes of ``ExitCode``.
"""

import difflib
import getpass
import pathlib

import anyio

from azurelanding import records, rules_parser
from azurelanding.operators.client import DaemonUnreachableError
from azurelanding.operators.command_line import (
    DEFAULT_DAEMON,
    CommandError,
    ExitCode,
    ask,
    print_json,
    raise_if_undecided,
)

POLL_SECONDS = 0.1


def _read_file(path):
    try:
        return pathlib.Path(path).read_text()
    except (OSError, UnicodeDecodeError) as error:
        raise CommandError(ExitCode.BAD_USAGE, f"{path}: {error}") from error


def _check_text(path, text):
    try:
        return rules_parser.read_rules(text)
    except rules_parser.RulesError as error:
        lines = "\n".join(f"{path}: {fault}" for fault in error.exceptions)
        raise CommandError(ExitCode.BAD_RULES, lines) from error


def check(rules: str, *, json: bool = False):
    """Check a rules file without publishing it.

    Example: ``azurelanding check examples/telar.rules``

    :param rules: path of the rules file
    :param json: print counts as JSON
    """
    rule_set = _check_text(rules, _read_file(rules))
    counts = {
        kind: len(getattr(rule_set, section))
        for kind, section in rules_parser.RULE_SET_FIELDS.items()
    }
    if json:
        print_json(counts)
    else:
        told = ", ".join(f"{count} {kind}" for kind, count in counts.items())
        print(f"{rules}: no fault ({told})")


def diff(rules: str, *, daemon: str = DEFAULT_DAEMON, json: bool = False):
    """Show how a rules file differs from the rules in force.

    Exits with 7 when it does. Example: ``azurelanding diff telar.rules``

    :param rules: path of the rules file
    :param daemon: operators' address of any daemon
    :param json: print the difference as JSON
    """
    text = _read_file(rules)
    report = ask(daemon, lambda client: client.rules())
    lines = list(
        difflib.unified_diff(
            report.text.splitlines(),
            text.splitlines(),
            f"in force (version {report.version}, {report.asked_by})",
            rules,
            lineterm="",
        )
    )
    if json:
        print_json({"version": report.version, "diff": lines})
    else:
        print("\n".join(lines) or "no difference")
    if lines:
        raise CommandError(ExitCode.DIFFERENT, "")


async def _wait_everywhere(client, offset, timeout):
    """Return the names of live daemons that do not have ``offset`` in force."""
    late = []
    with anyio.move_on_after(timeout):
        while True:
            report = await client.status()
            late = [m.name for m in report.members if m.rules_version < offset]
            if not late:
                return []
            await anyio.sleep(POLL_SECONDS)
    return late


def publish(
    rules: str,
    *,
    base: int | None = None,
    by: str | None = None,
    daemon: str = DEFAULT_DAEMON,
    timeout: float = 10.0,
    json: bool = False,
):
    """Publish a rules file and wait until every live daemon has it in force.

    Example: ``azurelanding publish telar.rules --base 41 --by Marisol``

    :param rules: path of the rules file
    :param base: version that the file was edited from; by default the one in force
    :param by: who asks for the change; by default the name of the user
    :param daemon: operators' address of any daemon
    :param timeout: seconds to wait until the rules are in force everywhere
    :param json: print the outcome as JSON
    """
    text = _read_file(rules)
    _check_text(rules, text)

    async def run(client):
        current = await client.rules()
        edited_from = current.version if base is None else base
        body = records.RulesPublished(text, edited_from)
        decided = await client.change(body, by or getpass.getuser())
        if not decided.accepted:
            return decided, await client.rules(), []
        try:
            late = await _wait_everywhere(client, decided.offset, timeout)
        except DaemonUnreachableError as error:
            message = f"version {decided.offset} counts, but where it is is not known"
            raise CommandError(
                ExitCode.NOT_EVERYWHERE, f"{message}: {error}"
            ) from error
        return decided, current, late

    decided, current, late = ask(daemon, run)
    if json:
        print_json({"decided": decided, "late": late})
    raise_if_undecided(decided)
    if not decided.accepted:
        raise CommandError(ExitCode.REFUSED, _explain_refusal(decided, current, text))
    if late:
        message = f"version {decided.offset} is not yet in force at {', '.join(late)}"
        raise CommandError(ExitCode.NOT_EVERYWHERE, message)
    if not json:
        replaced = f"version {current.version} of {current.asked_by}"
        place = f", in place of {replaced}" if current.version else ""
        print(f"version {decided.offset} is in force everywhere{place}")


def _explain_refusal(decided, current, text):
    lines = [f"refused: {decided.reason}"]
    if decided.winner and current.text == text:
        lines.append(f"your file is the one in force, asked for by {decided.winner}")
    elif decided.winner:
        lines.append(f"the rules in force were asked for by {decided.winner}:")
        lines += difflib.unified_diff(
            text.splitlines(),
            current.text.splitlines(),
            "your file",
            f"in force (version {current.version})",
            lineterm="",
        )
    return "\n".join(lines)


COMMANDS = (check, diff, publish)
