"""Send requests to a site and record the history of what callers received."""

import anyio
import attrs
import msgspec

from azurelanding import records
from azurelanding.histories import CallerResult, LedgerRecord
from azurelanding.http_client import HttpClient, HttpClientError
from azurelanding.operators.client import OperatorsClient
from azurelanding.requests import Outcome

MAX_VIOLATION_CHARACTERS = 160


@attrs.frozen
class Call:
    """A request to send; ``timeout`` is in seconds.

    ``marker`` identifies the request in its body, its answer and the ledgers.
    ``repeatable`` requests may run more than once.
    """

    marker: str
    service: str
    timeout: float
    headers: tuple[tuple[str, str], ...] = ()
    repeatable: bool = False


def _decode_echo(content):
    try:
        return msgspec.json.decode(content)["echo"]
    except (msgspec.DecodeError, KeyError, TypeError):
        return None


async def send_call(client, call):
    """Send ``call`` and return its ``CallerResult``."""
    path = f"/services/{call.service}/bench"
    try:
        response = await client.send(
            "POST", path, call.marker.encode(), call.headers, call.timeout
        )
    except HttpClientError:
        return CallerResult(call.marker, None, repeatable=call.repeatable)
    headers = dict(response.headers)
    outcome = Outcome(headers[b"azurelanding-outcome"].decode())
    ran = outcome is Outcome.RAN
    return CallerResult(
        call.marker,
        outcome,
        headers[b"azurelanding-request-id"].decode(),
        _decode_echo(response.content) if ran else None,
        call.repeatable,
    )


class Callers:
    """Sends calls to the entries at ``addresses`` over persistent connections.

    ``history`` records the result of each call. ``timeout`` is in seconds.
    """

    def __init__(self, addresses, timeout):
        self.addresses = addresses
        self.timeout = timeout
        self.history = []

    async def run(self, calls, choose_address):
        """Send every call of ``calls``; ``choose_address(call)`` picks the address."""
        clients = {
            address: HttpClient(address, self.timeout) for address in self.addresses
        }
        for call in calls:
            self.history.append(await send_call(clients[choose_address(call)], call))
        for client in clients.values():
            await client.close()


async def publish_rules(site, text, slots):
    """Publish ``text`` and wait until every entry has at least ``slots`` slots."""
    client = OperatorsClient.from_config(site.operators_address)
    decision = await client.change(records.RulesPublished(text, 0), "bench")
    await client.close()
    if not decision.accepted:
        raise RuntimeError(f"the rules were refused: {decision.reason}")
    for daemon in site.entries:
        await site.wait_for_status(daemon, lambda report: report.slots >= slots)


async def set_executor_knobs(site, hosts, **knobs):
    """Set knobs of the executors ``hosts``, all at the same time."""
    async with anyio.create_task_group() as task_group:
        for host in hosts:
            task_group.start_soon(site.ask, host.address, "POST", "/knobs", knobs)


def read_ledger(site):
    """Return the ledger lines of all executors as ``LedgerRecord``s.

    The attempt number is removed from each request id.
    """
    return [
        LedgerRecord(line["body"], line["request_id"].partition(".")[0])
        for line in site.read_ledger_files()
    ]


def print_violations(violations, limit=5):
    """Print the count of each kind of violation, and its first ``limit`` ones."""
    for name, found in violations.items():
        print(f"{name}={len(found)}")
        for violation in found[:limit]:
            print(f"# {name}: {violation[:MAX_VIOLATION_CHARACTERS]}")


def print_criterion(name, passed):
    """Print and return whether the criterion ``name`` is met."""
    print(f"bar_{name}={'pass' if passed else 'fail'}")
    return passed
