"""Stand in for the platform's pools: reboot hosts and update the host list."""

import http

import anyio
import attrs

from azurelanding.hosts import Presence
from azurelanding.pools import wire
from azurelanding.pools.reboots import Reboot, RebootState
from azurelanding.standins import knobs as knobs_module

HISTORY_PATH = "/history"


@attrs.define
class PoolsKnobs:
    """The reboot time, in seconds, and the injected faults of the pools.

    Hosts in ``fail`` never return from a reboot.
    """

    down: bool = False
    reboot_time: float = 1.0
    fail: tuple[str, ...] = ()


@attrs.define
class RebootLine:
    """One reboot, with its times in seconds of the monotonic clock."""

    host: str
    token: str
    started_at: float
    finished_at: float | None = None


class Pools:
    """Reboots hosts of ``host_list``; each reboot is a task of ``task_group``."""

    def __init__(self, host_list, task_group):
        self.knobs = PoolsKnobs()
        self.host_list = host_list
        self.task_group = task_group
        self.reboots = {}
        self.history = []

    async def _run(self, reboot):
        line = RebootLine(reboot.host, reboot.token, anyio.current_time())
        self.history.append(line)
        host = self.host_list.find(reboot.host)
        if host is not None:
            self.host_list.put([attrs.evolve(host, presence=Presence.LEAVING)])
        await anyio.sleep(self.knobs.reboot_time)
        failed = reboot.host in self.knobs.fail
        if host is not None and not failed:
            self.host_list.put([host])
        state = RebootState.FAILED if failed else RebootState.DONE
        line.finished_at = anyio.current_time()
        self.reboots[reboot.token] = attrs.evolve(reboot, state=state)

    def request_reboot(self, host, token):
        """Return the ``Reboot`` with ``token``; its first call starts it."""
        if token not in self.reboots:
            reboot = Reboot(host, token, RebootState.REBOOTING)
            self.reboots[token] = reboot
            self.task_group.start_soon(self._run, reboot)
        return self.reboots[token]

    async def app(self, scope, receive, send):
        """Serve reboots, their history and the knobs over HTTP."""
        path = scope["path"]
        if path == knobs_module.KNOBS_PATH:
            await knobs_module.serve_knobs(self.knobs, scope, receive, send)
        elif path == HISTORY_PATH:
            await knobs_module.send_json(send, http.HTTPStatus.OK, self.history)
        elif self.knobs.down:
            await knobs_module.send_json(send, http.HTTPStatus.SERVICE_UNAVAILABLE, {})
        else:
            host, token = path.removeprefix("/reboots/").split("/")
            reply = wire.encode_reboot(self.request_reboot(host, token))
            await knobs_module.send_json(send, http.HTTPStatus.OK, reply)
