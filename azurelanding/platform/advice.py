"""Ask the platform's advice service which executors may run a step."""

import http

import msgspec

from azurelanding.http_client import HttpClient, HttpClientError
from azurelanding.start_permits import AdviceError

MOST_WORKERS = 100
"""The most workers that one call may name."""
SLACK_SECONDS = 1.5
"""Added to the stated time of an answer, for calls that wait in the service's line."""


class AdviceClient:
    """One connection to the advice service, one call at a time."""

    def __init__(self, connection):
        self.connection = connection

    @classmethod
    def from_config(cls, address):
        """Return a client of the service at ``address``."""
        return cls(HttpClient(address, SLACK_SECONDS))

    async def request_permits(self, job, occurrence, number, workers, advice):
        """Return tickets by worker for those that may run a step.

        ``advice`` states how long the service takes. Raises ``AdviceError``.
        """
        values = {"step": f"{job}.{occurrence}.{number}", "workers": list(workers)}
        timeout = SLACK_SECONDS + advice.decision + advice.per_worker * len(workers)
        headers = (("Content-Type", "application/json"),)
        try:
            status, content = await self.connection.request(
                "POST", "/v1/advise", msgspec.json.encode(values), headers, timeout
            )
            if status != http.HTTPStatus.OK:
                raise AdviceError(f"advice refused with {status}")
            return dict(msgspec.json.decode(content)["good"])
        except (HttpClientError, msgspec.DecodeError, KeyError, ValueError) as error:
            raise AdviceError(f"no advice: {error!r}") from error

    async def close(self):
        """Close the connection; may be called twice."""
        await self.connection.close()
