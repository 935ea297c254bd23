"""Test that a long list of hosts is read whole from an API that refuses some calls."""

import time

import anyio
import msgspec
import testtools

from azurelanding.host_calls import HostCallError
from azurelanding.http_server import send_reply
from azurelanding.platform import hosts
from azurelanding.platform.hosts import HostsClient
from azurelanding.tests.test_platform_calls import serve

PAGES = 12
READINGS_PER_WINDOW = 5
WINDOW_SECONDS = 0.3


class HostListTest(testtools.TestCase):
    """A list of ``PAGES`` pages, each with one host."""

    def list_hosts(self, is_served):
        """Return the names of the listed hosts, and the numbers of the served pages.

        ``is_served(number)`` returns whether the API serves a page now. It is asked
        once for each request.
        """
        served, found = [], []

        async def app(scope, receive, send):
            number = int(scope["query_string"].rpartition(b"=")[2] or 0)
            if not await is_served(number):
                await send_reply(send, 429, (), b"")
                return
            served.append(number)
            row = {"machine": f"m{number}", "pool": "p", "state": "up", "id": "w"}
            token = str(number + 1) if number + 1 < PAGES else ""
            page = {"machines": [row], "nextPageToken": token}
            await send_reply(send, 200, (), msgspec.json.encode(page))

        async def scenario(address):
            client = HostsClient.from_config(address, "daemon")
            try:
                found.extend(await client.list_hosts())
            finally:
                await client.close()

        serve(app, scenario)
        return found, served

    def test_list_with_more_pages_than_readings_are_allowed_is_complete(self):
        # Each attempt began with the first page and was refused before the last one.
        readings = []

        async def is_served(number):
            recent = time.monotonic() - WINDOW_SECONDS
            if sum(at > recent for at in readings) >= READINGS_PER_WINDOW:
                return False
            readings.append(time.monotonic())
            return True

        found, served = self.list_hosts(is_served)
        self.assertEqual([f"m{number}" for number in range(PAGES)], found)
        self.assertEqual(list(range(PAGES)), served)

    def test_pages_before_a_late_one_are_kept(self):
        self.patch(hosts, "CALL_TIMEOUT_SECONDS", 0.3)
        late = [7, 7]

        async def is_served(number):
            if number in late:
                late.remove(number)
                await anyio.sleep(0.6)
                return False
            return True

        found, served = self.list_hosts(is_served)
        self.assertEqual(PAGES, len(found))
        self.assertEqual(list(range(PAGES)), served)

    def test_list_is_given_up_if_the_first_page_is_refused(self):
        requested = []

        async def is_served(number):
            requested.append(number)
            return False

        error = self.assertRaises(ExceptionGroup, self.list_hosts, is_served)
        self.assertIsNotNone(error.split(HostCallError)[0])
        self.assertEqual([0], requested)
