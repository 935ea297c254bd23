"""Request reports from a worker and send it orders."""

import http

from azurelanding.http_client import HttpClient, HttpClientError
from azurelanding.workers import wire


class WorkerError(Exception):
    """The worker did not send a usable answer."""


class StaleEpochError(WorkerError):
    """The worker has received a newer epoch or newer orders, or was restarted."""


class WorkerClient:
    """Two persistent connections to a worker.

    One is for report requests, which may wait at the worker, the other for orders.
    """

    def __init__(self, reports, orders):
        self.reports = reports
        self.orders = orders

    @classmethod
    def from_config(cls, address, settings):
        """Return a client of the worker at ``address``, given as ``IP:PORT``."""
        return cls(
            HttpClient(address, settings.timeout), HttpClient(address, settings.timeout)
        )

    async def _exchange(self, client, path, value, timeout):
        body = wire.encode(value)
        try:
            status, content = await client.request("POST", path, body, timeout=timeout)
            if status == http.HTTPStatus.CONFLICT:
                raise StaleEpochError(f"{client.address} refused epoch {value.epoch}")
            if status != http.HTTPStatus.OK:
                raise WorkerError(
                    f"{client.address} answered {path} with status {status}"
                )
            return wire.decode_report(content)
        except (HttpClientError, wire.ReportFormatError) as error:
            raise WorkerError(
                f"request {path} to {client.address} failed: {error}"
            ) from error

    async def report(self, request):
        """Return a ``Report``; the worker waits up to ``request.wait`` s for a change.

        Raises ``StaleEpochError`` if the worker refuses the epoch, and
        ``WorkerError`` if there is no usable answer.
        """
        timeout = self.reports.timeout + request.wait
        return await self._exchange(self.reports, wire.REPORT_PATH, request, timeout)

    async def order(self, orders):
        """Send ``orders`` and return a ``Report`` of the attempts that they name.

        Raises ``StaleEpochError`` if the worker refused all of them, and
        ``WorkerError`` if it is unknown whether any of them was carried out.
        """
        return await self._exchange(self.orders, wire.ORDERS_PATH, orders, None)

    async def close(self):
        """Close both connections; may be called twice."""
        await self.reports.close()
        await self.orders.close()
