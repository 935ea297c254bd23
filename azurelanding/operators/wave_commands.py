"""The operators' commands for maintenance: plan, waves, why."""

import getpass

from azurelanding import records
from azurelanding.operators.command_line import (
    DEFAULT_DAEMON,
    CommandError,
    ExitCode,
    call_daemon,
    print_json,
    raise_if_undecided,
)
from azurelanding.operators.wave_texts import print_wave


def _find_report(reports, pool):
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
    """Show the steps of a wave over a pool, or the remaining steps of its open wave.

    Example: ``azurelanding plan previews``

    :param pool: name of the pool
    :param daemon: operators' address of any daemon
    :param json: print the plan as JSON
    """
    report = _find_report(call_daemon(daemon, lambda client: client.waves()), pool)
    if json:
        print_json(report)
    else:
        _print_plan(report)


def _make_start_body(report):
    if not report.hosts:
        raise CommandError(ExitCode.REFUSED, f"pool {report.pool} has no hosts")
    return records.WaveStarted(report.pool, tuple(report.hosts), report.stops)


def _make_halt_body(report):
    _require_wave(report)
    return records.WaveHalted(report.pool, "halted by an operator", report.wave)


def _make_resume_body(report):
    _require_wave(report)
    return records.WaveResumed(report.pool, report.wave)


def _make_undo_body(report):
    _require_wave(report)
    return records.WaveUndone(report.pool, report.wave)


BODY_MAKERS = {
    "start": _make_start_body,
    "halt": _make_halt_body,
    "resume": _make_resume_body,
    "undo": _make_undo_body,
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

    :param change: start, halt, resume or undo; without it the waves are shown
    :param pool: name of the pool to change
    :param by: who asks for the change; by default the name of the user
    :param daemon: operators' address of any daemon
    :param json: print the reports or the outcome as JSON
    """
    if change:
        _change_wave(change, pool, by, daemon, json)
        return
    reports = call_daemon(daemon, lambda client: client.waves())
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
        report = _find_report(await client.waves(), pool)
        return await client.change(make_body(report), by or getpass.getuser())

    result = call_daemon(daemon, run)
    if json:
        print_json(result)
    raise_if_undecided(result)
    if not result.accepted:
        raise CommandError(ExitCode.REFUSED, f"refused: {result.reason}")
    if not json:
        print(f"wave of pool {pool}: {change} recorded at {result.offset}")


def why(host: str, *, daemon: str = DEFAULT_DAEMON, json: bool = False):
    """Show why a host is in its phase and what it waits for.

    Example: ``azurelanding why preview-3``

    :param host: name of the host
    :param daemon: operators' address of any daemon
    :param json: print the answer as JSON
    """
    reports = call_daemon(daemon, lambda client: client.waves())
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
