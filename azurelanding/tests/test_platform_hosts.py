"""Test how the list of hosts is read from the platform."""

import urllib.parse

import msgspec
import testtools

from azurelanding.host_calls import HostCallError
from azurelanding.http_server import send_reply
from azurelanding.platform.hosts import HostsClient
from azurelanding.tests.test_platform_calls import serve

PAGE_COUNT = 12


class PagedHosts:
    """A host API of one host a page, which refuses the readings in ``refused``."""

    def __init__(self, refused):
        self.refused = refused
        self.readings = 0

    async def app(self, scope, receive, send):
        """Answer one reading of the list."""
        self.readings += 1
        if self.readings in self.refused:
            await send_reply(send, 429, (), b"{}")
            return
        query = urllib.parse.parse_qs(scope["query_string"].decode())
        page = int(query.get("pageToken", ["0"])[0])
        row = {"machine": f"h{page}", "pool": "cuts", "state": "up", "id": f"w{page}"}
        values = {"machines": [row]}
        if page + 1 < PAGE_COUNT:
            values["nextPageToken"] = str(page + 1)
        await send_reply(send, 200, (), msgspec.json.encode(values))


class HostListTest(testtools.TestCase):
    """The list of a fleet that takes many pages."""

    def list_hosts(self, hosts):
        """Return the names of the hosts that the client lists, or the error."""
        results = []

        async def scenario(address):
            client = HostsClient.from_config(address, "d0")
            try:
                results.append(list(await client.list_hosts()))
            except HostCallError as error:
                results.append(error)
            await client.close()

        serve(hosts.app, scenario)
        return results[0]

    def test_list_that_is_refused_in_the_middle_is_completed(self):
        # Each refusal threw all pages away, so a long list was never complete.
        hosts = PagedHosts({5, 10})
        names = [f"h{page}" for page in range(PAGE_COUNT)]
        self.assertEqual(names, self.list_hosts(hosts))
        self.assertEqual(PAGE_COUNT + 2, hosts.readings)

    def test_list_that_is_refused_for_long_fails(self):
        hosts = PagedHosts(range(3, 100))
        error = self.list_hosts(hosts)
        self.assertIn("refused with status 429", str(error))
        self.assertEqual(6, hosts.readings)
