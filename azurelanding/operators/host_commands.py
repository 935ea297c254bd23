"""The operators' commands for hosts: hosts, drain, move.

Each command exits with one of the codes of ``ExitCode``.
"""

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


def hosts(*, daemon: str = DEFAULT_DAEMON, json: bool = False):
    """List the hosts with their pools and phases.

    Example: ``azurelanding hosts --json``

    :param daemon: operators' address of any daemon
    :param json: print the list as JSON
    """
    host_reports = ask(daemon, lambda client: client.hosts())
    if json:
        print_json(host_reports)
        return
    for host in host_reports:
        reason = f" ({host.reason})" if host.reason else ""
        print(
            f"{host.name:24} {host.pool:16} {host.phase:9} {host.zone:12} "
            f"{host.rack:12} {host.presence}{reason}"
        )


def _change_host(daemon, name, by, make_body):
    async def run(client):
        versions = {host.name: host.version for host in await client.hosts()}
        if name not in versions:
            raise CommandError(ExitCode.REFUSED, f"there is no host {name}")
        return await client.change(make_body(versions[name]), by or getpass.getuser())

    decided = ask(daemon, run)
    raise_if_undecided(decided)
    if not decided.accepted:
        raise CommandError(ExitCode.REFUSED, f"refused: {decided.reason}")
    return decided


def drain(
    host: str,
    *,
    reason: str = "drained by an operator",
    back: bool = False,
    by: str | None = None,
    daemon: str = DEFAULT_DAEMON,
    json: bool = False,
):
    """Stop new work on a host, or with ``--back`` let it serve again.

    Example: ``azurelanding drain preview-3 --reason "fan noise" --by Marisol``

    :param host: name of the host
    :param reason: why, for those who look at the host later
    :param back: let the host serve again
    :param by: who asks for the change; by default the name of the user
    :param daemon: operators' address of any daemon
    :param json: print the outcome as JSON
    """

    def make_body(version):
        if back:
            return records.HostReturned(host, version)
        return records.HostDraining(host, reason, version)

    decided = _change_host(daemon, host, by, make_body)
    if json:
        print_json(decided)
    else:
        print(f"host {host} {'serves again' if back else 'drains'}")


def move(
    host: str,
    pool: str,
    *,
    by: str | None = None,
    daemon: str = DEFAULT_DAEMON,
    json: bool = False,
):
    """Move a host to another pool.

    Example: ``azurelanding move storefront-2 previews --by Marisol``

    :param host: name of the host
    :param pool: name of the pool that shall own it
    :param by: who asks for the change; by default the name of the user
    :param daemon: operators' address of any daemon
    :param json: print the outcome as JSON
    """
    decided = _change_host(
        daemon, host, by, lambda version: records.HostAssigned(host, pool, version)
    )
    if json:
        print_json(decided)
    else:
        print(f"host {host} belongs to pool {pool}")


COMMANDS = (hosts, drain, move)
