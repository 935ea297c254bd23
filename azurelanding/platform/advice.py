"""Request start permits for steps from the platform's advice service."""

import http

import msgspec

from azurelanding.decoding import Name, Text, listed, make_json_decoder, message_type
from azurelanding.http_client import HttpClient, HttpClientError
from azurelanding.start_permits import AdviceError

MAX_WORKERS_PER_REQUEST = 100
"""Limit of the advice service on the workers in one request."""
TIMEOUT_MARGIN_SECONDS = 1.5
"""Added to the service's stated response time, for an answer that is late."""

AnswerMessage = message_type("AnswerMessage", {"good": listed(tuple[Name, Text])})
decode_answer = make_json_decoder(AnswerMessage, AdviceError)


class AdviceClient:
    """Client of the advice service: one connection, one request at a time.

    ``turn`` is a lock that the clients of a daemon share. Hold it during a request: the
    service serves the requests of a host one after another.
    """

    def __init__(self, connection, turn):
        self.connection = connection
        self.turn = turn

    @classmethod
    def from_config(cls, address, turn):
        """Return a client for the service at ``address``."""
        return cls(HttpClient(address, TIMEOUT_MARGIN_SECONDS), turn)

    async def request_permits(self, job, occurrence, step, workers, advice):
        """Return the start permits by worker, for the workers that may run a step.

        ``advice`` states how long the service takes. Raises ``AdviceError`` when it
        does not answer, or not in the expected form.
        """
        values = {"step": f"{job}.{occurrence}.{step}", "workers": list(workers)}
        timeout = (
            TIMEOUT_MARGIN_SECONDS + advice.decision + advice.per_worker * len(workers)
        )
        headers = (("Content-Type", "application/json"),)
        try:
            status, content = await self.connection.request(
                "POST", "/v1/advise", msgspec.json.encode(values), headers, timeout
            )
            if status != http.HTTPStatus.OK:
                raise AdviceError(f"the advice service answered with status {status}")
            return dict(decode_answer(content)["good"])
        except HttpClientError as error:
            raise AdviceError(f"no answer from the advice service: {error}") from error

    async def close(self):
        """Close the connection; may be called twice."""
        await self.connection.close()
