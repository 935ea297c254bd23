"""End-to-end tests of a site in which every daemon is a process of its own."""

import contextlib
import socket

import anyio
import testtools

from azurelanding import records
from azurelanding.addresses import split_address
from azurelanding.http_client import HttpClient
from azurelanding.operators.client import OperatorsClient
from azurelanding.standins.site import LocalSite, SiteConfig, SiteError

RULES = """
pool previews hosts=preview-* spare=yes  # Marisol
service preview pool=previews deadline=5s idempotent=yes  # Marisol
service order pool=previews deadline=15s keyed=yes  # Ines
"""


async def publish(site, text, base=0):
    """Publish ``text`` through the first control daemon."""
    client = OperatorsClient.from_config(site.operators_address)
    result = await client.change(records.RulesPublished(text, base), "Marisol")
    await client.close()
    return result


async def call(address, path, body=b"", headers=()):
    """Send a request as a caller; return the status, the outcome and the body."""
    client = HttpClient(address, timeout=10.0)
    response = await client.send("POST", path, body, headers)
    await client.close()
    outcome = dict(response.headers)[b"azurelanding-outcome"].decode()
    return response.status, outcome, response.content


class SiteTest(testtools.TestCase):
    """Requests through two entries, with rules published through the log."""

    async def serve_requests_through_two_entries(self):
        site = LocalSite.from_config(SiteConfig(entries=2, controls=1))
        try:
            await site.start()
            result = await publish(site, RULES)
            self.assertTrue(result.accepted)
            for daemon in site.entries:
                await site.wait_for_status(daemon, lambda report: report.slots >= 2)
                answer = await call(daemon.callers, "/services/preview/a", b"one")
                self.assertEqual((200, "ran"), answer[:2])
                self.assertIn(b"one", answer[2])
            await self.repeat_through_two_entries(site)
            ledgers = await site.ledgers()
            lines = [line for ledger in ledgers.values() for line in ledger["lines"]]
            self.assertEqual(3, len(lines))
        finally:
            await site.close()

    async def repeat_through_two_entries(self, site):
        """Send one keyed request through both entries; it must run only once."""
        key = (("Idempotency-Key", "order-1"),)
        answers = {
            await call(daemon.callers, "/services/order/a", b"two", key)
            for daemon in site.entries
        }
        self.assertEqual([(200, "ran")], [answer[:2] for answer in answers])

    def test_serves_requests_through_two_entries(self):
        anyio.run(self.serve_requests_through_two_entries)


class StartTest(testtools.TestCase):
    """What the error says when a daemon does not become ready."""

    async def error_of(self, hinder):
        site = LocalSite.from_config(SiteConfig(entries=1, controls=0))
        daemon = site.daemons["entry-1"]
        try:
            with hinder(site, daemon) as timeout:
                await site.start_daemon("entry-1")
                await site.wait_for_status(daemon, lambda report: False, timeout)
        except SiteError as error:
            return str(error)
        finally:
            await site.close()

    def test_process_that_has_ended_is_not_waited_for(self):
        @contextlib.contextmanager
        def occupied_address(site, daemon):
            host, port = split_address(daemon.operators)
            with socket.create_server((host, port)):
                yield 20.0

        error = anyio.run(self.error_of, occupied_address)
        self.assertIn("its process ended with exit code", error)
        self.assertIn("can't listen", error)

    def test_process_that_waits_for_a_processor_is_waited_for(self):
        # It was given up after a time that a busy machine needs for its imports alone.
        async def main():
            site = LocalSite.from_config(SiteConfig(entries=1, controls=0))
            daemon = site.daemons["entry-1"]
            try:
                await site.start_daemon("entry-1")
                return await site.wait_for_status(daemon, lambda report: True, 0.05)
            finally:
                await site.close()

        self.assertEqual("entry-1", anyio.run(main).name)

    def test_process_that_does_not_answer_shows_what_it_does(self):
        @contextlib.contextmanager
        def no_condition_met(site, daemon):
            yield 4.0

        error = anyio.run(self.error_of, no_condition_met)
        self.assertRegex(
            error, r"runs in state \w, has used [\d.]+ s of processor time"
        )
        self.assertIn("Fatal Python error: Aborted", error)
