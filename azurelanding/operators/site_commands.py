"""The operators' commands for a site on the platform: site-check, site-status.

They read what the daemons read, the settings file and the store; they ask no daemon.
What a daemon needs is imported only where it is used, for the other commands' sake.
"""

import pathlib
import time

import anyio

from azurelanding import log
from azurelanding.operators.command_line import CommandError, ExitCode
from azurelanding.platform.settings import decode_settings
from azurelanding.settings import SettingsError
from azurelanding.store import StoreError


def _read_settings(path):
    try:
        return decode_settings(pathlib.Path(path).read_bytes())
    except OSError as error:
        message = f"{path}: {error.strerror}"
        raise CommandError(ExitCode.BAD_SETTINGS, message) from error
    except SettingsError as error:
        raise CommandError(ExitCode.BAD_SETTINGS, f"{path}: {error}") from error


def site_check(settings: str):
    """Check the settings file of a daemon on the platform.

    Example: ``azurelanding site-check settings.json``

    :param settings: path of the settings file
    """
    site = _read_settings(settings)
    print(f"{settings}: no fault ({site.name}, store at {site.store.address})")


def _print_waves(state):
    for number, wave in sorted(state.waves.items()):
        progress = state.fleet.progress(number)
        done = "completed" if progress.is_complete else "running"
        count = f"{len(progress.begun)} of {len(wave.hosts)}"
        print(f"wave {number}: {done}, {count} begun")


def _print_site(state):
    from azurelanding import site_report

    if state.configuration is None:
        print("no configuration yet")
        return
    print(f"configuration version {state.configuration.version}")
    duty = state.owners.get((site_report.FLEET_TOPIC, 0)) or "nobody"
    print(f"moves and maintenance: ordered by {duty}")
    for line in site_report.report_pools(state):
        print(
            f"pool {line.name}: controlled by {line.controller or 'nobody'}, "
            f"{line.workers} workers, {line.runs} runs, "
            f"{line.jobs} jobs, {line.waiting} of them not begun"
        )
    for plan in state.fleet.pending().values():
        target = f"wave {plan.wave}" if plan.wave is not None else f"pool {plan.pool}"
        print(f"host {plan.host} is emptied for {target}")
    _print_waves(state)


def _print_job(state, job):
    from azurelanding import site_report

    line = site_report.report_job(state, job, time.time())
    if line is None:
        raise CommandError(ExitCode.UNDECIDED, f"the store has no job {job}")
    print(f"job {line.id}: {line.phase}, {line.done} of {line.tasks} tasks done")
    print(f"  queue {line.queue}, pool {line.pool}")
    for task, worker in line.running.items():
        print(f"  {task} runs on {worker}")
    if line.waits_for:
        print(f"  waits for {line.waits_for}")


def site_status(settings: str, *, job: str | None = None):
    """Show who controls what on the platform, and what waits, from the store.

    Example: ``azurelanding site-status settings.json --job 5c0e7a21d94b36f8``

    Exits with 5 when the store can't be read and with 9 when it has no such job.

    :param settings: path of a daemon's settings file, which names the store
    :param job: show only the job with this id, and what it waits for
    """
    from azurelanding import site_report
    from azurelanding.platform.main import make_service_clients

    log.configure("critical")
    site = _read_settings(settings)
    try:
        state = anyio.run(site_report.read_site, site, make_service_clients(site))
    except StoreError as error:
        message = f"the store at {site.store.address} can't be read: {error}"
        raise CommandError(ExitCode.UNREACHABLE, message) from error
    if job is None:
        _print_site(state)
    else:
        _print_job(state, job)


COMMANDS = (site_check, site_status)
