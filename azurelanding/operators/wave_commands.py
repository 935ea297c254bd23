"""The operators' commands for maintenance: plan, waves, why."""

import getpass

from azurelanding import records
from azurelanding.operators.command_line import (
    DEFAULT_DAEMON,
    CommandError,
    ExitCode,
    ask,
    print_json,
    raise_if_undecided,
)
from azurelanding.operators.wave_texts import print_wave


def _find_pool(reports, pool):
    for report in reports:
        if report.pool == pool:
            return report
    raise CommandError(ExitCode.REFUSED, f"there is no pool {pool}")


def _require_wave(report):
    if not report.wave:
        raise CommandError(ExitCode.REFUSED, f"pool {report.pool} has no wave")


def _print_plan(report):
    print(report.budget)
    if not report.declared:
        print(f"no maintenance is declared for pool {report.pool}")
    for number, step in enumerate(report.plan, start=1):
        pace = f"{step.at_once} at once" if step.at_once else "waits for the budget"
        print(f"step {number}, {step.label}: {', '.join(step.hosts)} ({pace})")


def plan(pool: str, *, daemon: str = DEFAULT_DAEMON, json: bool = False):
    """Show what a wave over a pool, or the rest of its open wave, will do.

    Example: ``azurelanding plan previews``

    :param pool: name of the pool
    :param daemon: operators' address of any daemon
    :param json: print the plan as JSON
    """
    report = _find_pool(ask(daemon, lambda client: client.waves()), pool)
    if json:
        print_json(report)
    else:
        _print_plan(report)


def _make_start(report):
    if not report.hosts:
        raise CommandError(ExitCode.REFUSED, f"pool {report.pool} has no hosts")
    return records.WaveStarted(report.pool, tuple(report.hosts), report.stops)


def _make_halt(report):
    _require_wave(report)
    return records.WaveHalted(report.pool, "halted by an operator", report.wave)


def _make_resume(report):
    _require_wave(report)
    return records.WaveResumed(report.pool, report.wave)


def _make_undo(report):
    _require_wave(report)
    return records.WaveUndone(report.pool, report.wave)


BODY_MAKERS = {
    "start": _make_start,
    "halt": _make_halt,
    "resume": _make_resume,
    "undo": _make_undo,
}


def waves(
    change: str = "",
    pool: str = "",
    *,
    by: str | None = None,
    daemon: str = DEFAULT_DAEMON,
    json: bool = False,
):
    """Show the waves, or start, halt, resume or undo the wave of a pool.

    Examples: ``azurelanding waves``, ``azurelanding waves halt previews``

    :param change: start, halt, resume or undo; nothing shows the waves
    :param pool: name of the pool to change
    :param by: who asks for the change; by default the name of the user
    :param daemon: operators' address of any daemon
    :param json: print the reports or the outcome as JSON
    """
    if change:
        _change_wave(change, pool, by, daemon, json)
        return
    reports = ask(daemon, lambda client: client.waves())
    if json:
        print_json(reports)
        return
    for report in reports:
        print_wave(report)


def _change_wave(change, pool, by, daemon, json):
    make_body = BODY_MAKERS.get(change)
    if make_body is None:
        expected = ", ".join(BODY_MAKERS)
        message = f"expected one of {expected}, got {change}"
        raise CommandError(ExitCode.BAD_USAGE, message)

    if not pool:
        raise CommandError(ExitCode.BAD_USAGE, f"name the pool whose wave to {change}")

    async def run(client):
        report = _find_pool(await client.waves(), pool)
        return await client.change(make_body(report), by or getpass.getuser())

    decided = ask(daemon, run)
    if json:
        print_json(decided)
    raise_if_undecided(decided)
    if not decided.accepted:
        raise CommandError(ExitCode.REFUSED, f"refused: {decided.reason}")
    if not json:
        print(f"wave of pool {pool}: {change} recorded at {decided.offset}")


def why(host: str, *, daemon: str = DEFAULT_DAEMON, json: bool = False):
    """Tell why a host is in its phase and what it waits for.

    Example: ``azurelanding why preview-3``

    :param host: name of the host
    :param daemon: operators' address of any daemon
    :param json: print the answer as JSON
    """
    reports = ask(daemon, lambda client: client.waves())
    for report in reports:
        if host in report.hosts:
            answer = {"host": host, "pool": report.pool, "why": report.hosts[host]}
            break
    else:
        raise CommandError(ExitCode.REFUSED, f"no pool has a host {host}")
    if json:
        print_json(answer)
    else:
        print(f"{host} of pool {answer['pool']}: {answer['why']}")


COMMANDS = (plan, waves, why)
