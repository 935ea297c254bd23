"""Send counts, gauges and timings to statsd."""

import statsd

from azurelanding.addresses import split_address


class Metrics:
    """Metrics of one daemon, sent as UDP datagrams if an address is set.

    >>> metrics = Metrics.from_config(MetricsSettings())
    >>> metrics.count("requests.preview.urgent.ran")
    """

    def __init__(self, client):
        self.client = client

    @classmethod
    def from_config(cls, settings):
        """Return metrics that are sent to the address in ``settings``, if any."""
        if settings.address is None:
            return cls(None)
        host, port = split_address(settings.address)
        return cls(statsd.StatsClient(host, port, prefix=settings.prefix))

    def count(self, name, amount=1):
        """Add ``amount`` to the counter ``name``."""
        if self.client is not None:
            self.client.incr(name, amount)

    def gauge(self, name, value):
        """Set the gauge ``name`` to ``value``."""
        if self.client is not None:
            self.client.gauge(name, value)

    def timing(self, name, seconds):
        """Add a duration in ``seconds`` to the timer ``name``."""
        if self.client is not None:
            self.client.timing(name, seconds * 1000.0)

    def close(self):
        """Close the socket; may be called twice."""
        if self.client is not None:
            self.client.close()
            self.client = None
