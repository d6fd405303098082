"""Export the metrics of a process through OpenTelemetry's exporters.

The series are converted to the SDK's data, which its exporter renders as
Prometheus text. Names and units follow OpenTelemetry's conventions. The SDK
is imported at the start of a process, because an import at the first scrape
blocks the event loop, and with it all statements, for 0.1 s.
"""

from __future__ import annotations

from collections.abc import Iterable
import time

from opentelemetry.exporter.prometheus import PrometheusMetricReader
from opentelemetry.sdk.metrics.export import AggregationTemporality
from opentelemetry.sdk.metrics.export import Gauge
from opentelemetry.sdk.metrics.export import Histogram
from opentelemetry.sdk.metrics.export import HistogramDataPoint
from opentelemetry.sdk.metrics.export import Metric
from opentelemetry.sdk.metrics.export import MetricsData
from opentelemetry.sdk.metrics.export import NumberDataPoint
from opentelemetry.sdk.metrics.export import ResourceMetrics
from opentelemetry.sdk.metrics.export import ScopeMetrics
from opentelemetry.sdk.metrics.export import Sum
from opentelemetry.sdk.resources import Resource
from opentelemetry.sdk.util.instrumentation import InstrumentationScope
from prometheus_client import CollectorRegistry
from prometheus_client import generate_latest

from bamboospring import __version__
from bamboospring.metrics import BOUNDS
from bamboospring.metrics import Distribution
from bamboospring.metrics import Kind
from bamboospring.metrics import Point
from bamboospring.metrics import Series

__all__ = ["Exporter"]


class Exporter:
    """Renders series as text for Prometheus."""

    def __init__(self, *, vm: str, availability_zone: str) -> None:
        self._resource = Resource(
            {
                "service.name": "bamboospring",
                "service.version": __version__,
                "service.instance.id": vm,
                "cloud.availability_zone": availability_zone,
            }
        )
        self._scope = InstrumentationScope("bamboospring", __version__)
        self._started_ns = time.time_ns()
        self._registry = CollectorRegistry()
        self._reader = PrometheusMetricReader(
            scope_info_enabled=False, registry=self._registry
        )
        # Without a callback the reader does not collect from a meter provider.
        # There is none, because recording every value with the SDK's
        # instruments is too expensive.
        self._reader._collector._callback = None

    def text(self, series: Iterable[Series]) -> bytes:
        """Return the series in the Prometheus text format."""
        self._reader._receive_metrics(self.data(series))
        return generate_latest(self._registry)

    def data(self, series: Iterable[Series]) -> MetricsData:
        """Return the series as OpenTelemetry data, for any exporter."""
        now = time.time_ns()
        metrics = [self._metric(each, now) for each in series if each.points]
        return MetricsData(
            resource_metrics=[
                ResourceMetrics(
                    resource=self._resource,
                    scope_metrics=[
                        ScopeMetrics(
                            scope=self._scope, metrics=metrics, schema_url=""
                        )
                    ],
                    schema_url="",
                )
            ]
        )

    def _metric(self, series: Series, now: int) -> Metric:
        return Metric(
            name=series.name,
            description=series.description,
            unit=series.unit,
            data=self._points(series, now),
        )

    def _points(self, series: Series, now: int) -> Sum | Gauge | Histogram:
        match series.kind:
            case Kind.HISTOGRAM:
                return Histogram(
                    data_points=[
                        self._histogram_point(point, now)
                        for point in series.points
                    ],
                    aggregation_temporality=AggregationTemporality.CUMULATIVE,
                )
            case Kind.COUNTER:
                return Sum(
                    data_points=self._number_points(series.points, now),
                    aggregation_temporality=AggregationTemporality.CUMULATIVE,
                    is_monotonic=True,
                )
            case Kind.GAUGE:
                return Gauge(
                    data_points=self._number_points(series.points, now)
                )

    def _number_points(
        self, points: list[Point], now: int
    ) -> list[NumberDataPoint]:
        return [
            NumberDataPoint(
                attributes=point.attributes,
                start_time_unix_nano=self._started_ns,
                time_unix_nano=now,
                value=point.value,
            )
            for point in points
            if not isinstance(point.value, Distribution)
        ]

    def _histogram_point(self, point: Point, now: int) -> HistogramDataPoint:
        assert isinstance(point.value, Distribution)
        counts = point.value.counts
        return HistogramDataPoint(
            attributes=point.attributes,
            start_time_unix_nano=self._started_ns,
            time_unix_nano=now,
            count=sum(counts),
            sum=point.value.total,
            bucket_counts=counts,
            explicit_bounds=BOUNDS,
            min=0.0,
            max=0.0,
        )
