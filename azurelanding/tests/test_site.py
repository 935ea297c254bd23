"""End-to-end tests of a site in which every daemon is a process of its own."""

import anyio
import testtools

from azurelanding import records
from azurelanding.http_client import HttpClient
from azurelanding.operators.client import OperatorsClient
from azurelanding.standins.site import LocalSite, SiteConfig

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
