"""Send HTTP requests to one peer over a persistent connection."""

import anyio
import httpcore
import msgspec

from azurelanding.settings import split_address


class HttpClientError(Exception):
    """A request got no complete answer.

    ``sent`` says whether the request may have reached the peer.
    """

    def __init__(self, message, sent):
        super().__init__(message)
        self.sent = sent

    @property
    def timed_out(self):
        """Return whether the time for the request ran out."""
        return isinstance(self.__cause__, (TimeoutError, httpcore.TimeoutException))


class HttpClient:
    """A connection to one peer, opened on demand, for one request at a time.

    ``timeout`` limits each complete exchange, in seconds. The connection is closed
    after a failure, so that a late answer can't be taken for that of a later request.
    ``on_open()`` is called for each connection that is opened, and
    ``on_answer(target, response)`` for each complete answer.
    """

    def __init__(self, address, timeout, on_open=None):
        host, port = split_address(address)
        self.origin = httpcore.Origin(b"http", host.encode(), port)
        self.address = address
        self.timeout = timeout
        self.on_open = on_open
        self.on_answer = None
        self.lock = anyio.Lock()
        self.connection = None

    async def _drop_if_closed(self):
        """Drop the connection if the peer closed it while it was idle."""
        connection = self.connection
        if connection is not None and (
            connection.has_expired() or not connection.is_available()
        ):
            await self._drop()

    async def _exchange(self, method, target, headers, body):
        await self._drop_if_closed()
        if self.connection is None:
            self.connection = httpcore.AsyncHTTPConnection(self.origin)
            if self.on_open is not None:
                self.on_open()
        url = httpcore.URL(
            scheme=b"http",
            host=self.origin.host,
            port=self.origin.port,
            target=target.encode(),
        )
        host = ("Host", self.address)
        response = await self.connection.request(
            method, url, headers=[host, *headers], content=body
        )
        if self.on_answer is not None:
            self.on_answer(target, response)
        return response

    async def request(self, method, target, body=b"", headers=(), timeout=None):
        """Send a request and return the status and the body of the answer.

        ``timeout`` in seconds replaces that of the client. Raises
        ``HttpClientError`` when there is no complete answer in time.
        """
        response = await self.send(method, target, body, headers, timeout)
        return response.status, response.content

    async def send(self, method, target, body=b"", headers=(), timeout=None):
        """Send a request and return the ``httpcore.Response`` with its whole body.

        ``timeout`` in seconds replaces that of the client. Raises
        ``HttpClientError`` when there is no complete answer in time.
        """
        max_wait = self.timeout if timeout is None else timeout
        async with self.lock:
            try:
                with anyio.fail_after(max_wait):
                    return await self._exchange(method, target, headers, body)
            except (httpcore.ConnectError, httpcore.ConnectTimeout) as error:
                message = f"can't connect to {self.address}: {error}"
                raise HttpClientError(message, sent=False) from error
            except (
                httpcore.NetworkError,
                httpcore.ProtocolError,
                httpcore.TimeoutException,
                TimeoutError,
            ) as error:
                message = f"no answer from {self.address}: {error!r}"
                raise HttpClientError(message, sent=True) from error
            finally:
                if self.connection is not None and not self.connection.is_idle():
                    await self._drop()

    async def request_json(self, method, target, value=None):
        """Send ``value`` as JSON and return the status and the decoded answer.

        An empty body is sent for a ``value`` of ``None``, and an empty answer
        decodes to ``None``. Raises ``HttpClientError`` when there is no complete
        answer in time or it is not JSON.
        """
        body = b"" if value is None else msgspec.json.encode(value)
        headers = (("Content-Type", "application/json"),)
        status, content = await self.request(method, target, body, headers)
        try:
            decoded = msgspec.json.decode(content) if content else None
        except msgspec.DecodeError as error:
            message = f"{self.address} answered {target} with no JSON"
            raise HttpClientError(message, sent=True) from error
        return status, decoded

    async def _drop(self):
        connection, self.connection = self.connection, None
        with anyio.CancelScope(shield=True), anyio.move_on_after(1.0):
            await connection.aclose()

    async def close(self):
        """Close the connection. Closing it again does nothing."""
        if self.connection is not None:
            await self._drop()
