"""Show the metrics of a process through OpenTelemetry's exporters.

The series become the SDK's own data, which its exporter turns into the
Prometheus text; names and units follow OpenTelemetry's conventions. The SDK
is imported at the start of a process: doing so at the first scrape stopped
the loop, and with it all statements, for 0.1 s.
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
    """Turn series into the text that Prometheus scrapes."""

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
        self._started = time.time_ns()
        self._registry = CollectorRegistry()
        self._reader = PrometheusMetricReader(
            scope_info_enabled=False, registry=self._registry
        )
        # The reader would ask a meter provider, which there is none of: our
        # instruments are too many for the SDK's cost of recording.
        self._reader._collector._callback = None

    def text(self, series: Iterable[Series]) -> bytes:
        """Return the series in the Prometheus text format."""
        self._reader._receive_metrics(self.data(series))
        return generate_latest(self._registry)

    def data(self, series: Iterable[Series]) -> MetricsData:
        """Return the series as OpenTelemetry's data, for any exporter."""
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
                        self._distribution(point, now)
                        for point in series.points
                    ],
                    aggregation_temporality=AggregationTemporality.CUMULATIVE,
                )
            case Kind.COUNTER:
                return Sum(
                    data_points=self._numbers(series.points, now),
                    aggregation_temporality=AggregationTemporality.CUMULATIVE,
                    is_monotonic=True,
                )
            case Kind.GAUGE:
                return Gauge(data_points=self._numbers(series.points, now))

    def _numbers(self, points: list[Point], now: int) -> list[NumberDataPoint]:
        return [
            NumberDataPoint(
                attributes=point.attributes,
                start_time_unix_nano=self._started,
                time_unix_nano=now,
                value=point.value,
            )
            for point in points
            if not isinstance(point.value, Distribution)
        ]

    def _distribution(self, point: Point, now: int) -> HistogramDataPoint:
        assert isinstance(point.value, Distribution)
        counts = point.value.counts
        return HistogramDataPoint(
            attributes=point.attributes,
            start_time_unix_nano=self._started,
            time_unix_nano=now,
            count=sum(counts),
            sum=point.value.total,
            bucket_counts=counts,
            explicit_bounds=BOUNDS,
            min=0.0,
            max=0.0,
        )
