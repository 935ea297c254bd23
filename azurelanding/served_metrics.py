"""Collect metrics that are served over HTTP in the text format of Prometheus."""

import re

import prometheus_client

LATENCY_BUCKETS_SECONDS = (0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0, 10.0, 20.0)
"""Upper bounds in seconds: from the time of one append to a very late task start."""
METRIC_PREFIX = "azurelanding_"
UNSERVED_CHARACTERS = re.compile(r"[^a-zA-Z0-9_]")
CONTENT_TYPE = prometheus_client.CONTENT_TYPE_LATEST


class ServedMetrics:
    """The counters, gauges and histograms of one daemon, created when first used."""

    def __init__(self):
        self.registry = prometheus_client.CollectorRegistry()
        self.metrics = {}

    def _metric(self, name, create):
        # Names of pools and accounts are the operator's, who may use any characters.
        name = UNSERVED_CHARACTERS.sub("_", name)
        if name not in self.metrics:
            description = name.replace("_", " ")
            self.metrics[name] = create(
                METRIC_PREFIX + name, description, registry=self.registry
            )
        return self.metrics[name]

    def count(self, name, amount=1):
        """Add ``amount`` to the counter ``name``."""
        self._metric(name, prometheus_client.Counter).inc(amount)

    def gauge(self, name, value):
        """Set the gauge ``name`` to ``value``."""
        self._metric(name, prometheus_client.Gauge).set(value)

    def observe(self, name, seconds):
        """Add a duration in ``seconds`` to the histogram ``name``."""

        def create(full_name, description, registry):
            return prometheus_client.Histogram(
                full_name,
                description,
                registry=registry,
                buckets=LATENCY_BUCKETS_SECONDS,
            )

        self._metric(name, create).observe(seconds)

    def text(self):
        """Return all metrics in the text format of Prometheus, as bytes."""
        return prometheus_client.generate_latest(self.registry)
