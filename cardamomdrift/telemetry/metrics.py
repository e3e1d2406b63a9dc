"""
Metrics
=======

OpenTelemetry instruments of one daemon.  They are read on demand, by a query to the
daemon or over HTTP, so that no thread exports them.
"""

import json
from functools import partial

from opentelemetry.metrics import Observation
from opentelemetry.sdk.metrics import MeterProvider
from opentelemetry.sdk.metrics.export import InMemoryMetricReader
from opentelemetry.sdk.metrics.view import ExplicitBucketHistogramAggregation, View
from opentelemetry.sdk.resources import Resource

PREFIX = "cardamomdrift."
# Seconds; bounds of the buckets of the request duration.
DURATION_BOUNDS = (
    0.001,
    0.002,
    0.005,
    0.01,
    0.02,
    0.05,
    0.1,
    0.2,
    0.5,
    1.0,
    2.0,
    5.0,
    10.0,
)


def _make_callback(read):
    def callback(_options):
        return [Observation(value, attributes) for value, attributes in read()]

    return callback


class Metrics:
    """Instruments of one daemon.

    Parameters
    ----------
    vm : str
    reader : MetricReader, optional
        The default is an in-memory reader, which `collect` uses.
    """

    def __init__(self, vm, reader=None):
        self._reader = reader or InMemoryMetricReader()
        view = View(
            instrument_name="cardamomdrift.request.duration",
            aggregation=ExplicitBucketHistogramAggregation(DURATION_BOUNDS),
        )
        self._provider = MeterProvider(
            metric_readers=[self._reader],
            resource=Resource({"service.name": "cardamomdrift", "host.name": vm}),
            views=[view],
            shutdown_on_exit=False,
        )
        meter = self._provider.get_meter("cardamomdrift")
        self._meter = meter
        self.duration = meter.create_histogram(
            "cardamomdrift.request.duration", unit="s", description="Time to the answer"
        )

    @property
    def meter(self):
        """OpenTelemetry meter to create further instruments."""
        return self._meter

    def observe_counter(self, name, unit, description, read):
        """Add a counter whose value is read when metrics are collected.

        Parameters
        ----------
        name, unit, description : str
        read : callable
            Returns pairs of a value and its attributes.
        """
        self._meter.create_observable_counter(
            name, callbacks=[_make_callback(read)], unit=unit, description=description
        )

    def observe_gauge(self, name, unit, description, read):
        """Add a gauge whose value is read at collection; see `observe_counter`."""
        self._meter.create_observable_gauge(
            name, callbacks=[_make_callback(read)], unit=unit, description=description
        )

    def observe_tables(self, counters, gauges, source):
        """Add the instruments of two tables.

        Parameters
        ----------
        counters, gauges : iterable of (name, unit, description, read)
            ``read`` takes the source and returns pairs of a value and its attributes.
        source : object
            The daemon, or the component of it that is observed.
        """
        for name, unit, description, read in counters:
            self.observe_counter(
                f"{PREFIX}{name}", unit, description, partial(read, source)
            )
        for name, unit, description, read in gauges:
            self.observe_gauge(
                f"{PREFIX}{name}", unit, description, partial(read, source)
            )

    def collect(self):
        """Return all metrics in OpenTelemetry's JSON format."""
        data = self._reader.get_metrics_data()
        return (
            b"{}" if data is None else json.dumps(json.loads(data.to_json())).encode()
        )

    def close(self):
        """Stop the instruments."""
        self._provider.shutdown()
