"""Count and time what the daemon does, to be read over HTTP as text."""

import prometheus_client

LATENCY_BUCKETS = (0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0, 10.0)
"""Upper bounds in seconds; from one append to a start that is far too late."""
PREFIX = "azurelanding_"
CONTENT_TYPE = prometheus_client.CONTENT_TYPE_LATEST


class ServedMetrics:
    """The counters, gauges and histograms of one daemon, made when first used."""

    def __init__(self):
        self.registry = prometheus_client.CollectorRegistry()
        self.known = {}

    def _get(self, name, make):
        if name not in self.known:
            words = name.replace("_", " ")
            self.known[name] = make(PREFIX + name, words, registry=self.registry)
        return self.known[name]

    def count(self, name, amount=1):
        """Add ``amount`` to the counter ``name``."""
        self._get(name, prometheus_client.Counter).inc(amount)

    def gauge(self, name, value):
        """Set the gauge ``name`` to ``value``."""
        self._get(name, prometheus_client.Gauge).set(value)

    def observe(self, name, seconds):
        """Add one duration to the histogram ``name``."""

        def make(full_name, words, registry):
            return prometheus_client.Histogram(
                full_name, words, registry=registry, buckets=LATENCY_BUCKETS
            )

        self._get(name, make).observe(seconds)

    def text(self):
        """Return all figures in the text format of Prometheus, as bytes."""
        return prometheus_client.generate_latest(self.registry)
