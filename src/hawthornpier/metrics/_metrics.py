"""
Recording and export of metrics with the OpenTelemetry SDK.
"""

import functools
from collections.abc import Callable, Iterable
from typing import TYPE_CHECKING

from opentelemetry.metrics import CallbackOptions, Observation
from opentelemetry.sdk.metrics import MeterProvider
from opentelemetry.sdk.metrics.export import MetricReader
from opentelemetry.sdk.metrics.view import (
    ExplicitBucketHistogramAggregation,
    View,
)
from opentelemetry.sdk.resources import Resource

from hawthornpier.errors import HawthornpierError
from hawthornpier.metrics._names import (
    DEFINITIONS,
    Definition,
    InstrumentKind,
    InstrumentName,
)

if TYPE_CHECKING:
    from prometheus_client import CollectorRegistry

# A value of a gauge and the attributes that it is exported with.
GaugeReading = tuple[float, dict[str, str]]

# Members choose the names of services and workloads, which are attributes.
# The limit keeps a member with many names from exhausting the memory of the
# process.
_MAX_ATTRIBUTE_SET_COUNT = 200
_DEFAULT_EXPORT_INTERVAL_MS = 15_000


class MetricsError(HawthornpierError):
    """
    An instrument is not of the kind that the method needs.

    `render_prometheus` also raises it if the Prometheus export is disabled.
    """


class Metrics:
    """
    The instruments of a process and their exporters.

    Args:
        process_id: The ``service.instance.id`` of the exported data.
        is_prometheus_enabled: Whether `render_prometheus` is available.
        otlp_endpoint: The URL to export to with OTLP over HTTP; no export if
            empty.
        export_interval_ms: The interval of the OTLP export.
        max_attribute_set_count: Limit on the attribute sets per instrument;
            further sets are combined into a single one.
    """

    def __init__(
        self,
        process_id: str,
        *,
        is_prometheus_enabled: bool = False,
        otlp_endpoint: str = '',
        export_interval_ms: int = _DEFAULT_EXPORT_INTERVAL_MS,
        max_attribute_set_count: int = _MAX_ATTRIBUTE_SET_COUNT,
    ) -> None:
        self._registry: CollectorRegistry | None = None
        readers: list[MetricReader] = []
        if is_prometheus_enabled:
            readers.append(self._prometheus_reader())
        if otlp_endpoint:
            readers.append(_otlp_reader(otlp_endpoint, export_interval_ms))
        self._provider = MeterProvider(
            metric_readers=readers,
            resource=Resource(
                {
                    'service.name': 'hawthornpier',
                    'service.instance.id': process_id,
                }
            ),
            views=[
                _view(name, definition, max_attribute_set_count)
                for name, definition in DEFINITIONS.items()
            ],
            # The daemon calls `shutdown` as a step of its own shutdown, so no
            # exit handler is needed.
            shutdown_on_exit=False,
        )
        self._meter = self._provider.get_meter('hawthornpier')
        self._counters = {
            name: self._meter.create_counter(
                name,
                unit=definition.unit,
                description=definition.description,
            )
            for name, definition in _definitions(InstrumentKind.COUNTER)
        }
        self._histograms = {
            name: self._meter.create_histogram(
                name,
                unit=definition.unit,
                description=definition.description,
            )
            for name, definition in _definitions(InstrumentKind.HISTOGRAM)
        }

    def count(
        self,
        name: InstrumentName,
        amount: float = 1,
        **attributes: str,
    ) -> None:
        """
        Add *amount* to a counter, in the unit of its definition.

        Raises:
            MetricsError: The instrument is not a counter.
        """
        counter = self._counters.get(name)
        if counter is None:
            raise MetricsError(f'{name} is not a counter')
        counter.add(amount, attributes)

    def observe(
        self,
        name: InstrumentName,
        value: float,
        **attributes: str,
    ) -> None:
        """
        Record a value in a histogram, in the unit of its definition.

        Raises:
            MetricsError: The instrument is not a histogram.
        """
        histogram = self._histograms.get(name)
        if histogram is None:
            raise MetricsError(f'{name} is not a histogram')
        histogram.record(value, attributes)

    def register_gauge(
        self,
        name: InstrumentName,
        read: Callable[[], Iterable[GaugeReading]],
    ) -> None:
        """
        Register a callback that returns the values of a gauge.

        Args:
            name: The gauge.
            read: Called at each export; returns a value, in the unit of the
                gauge's definition, for each attribute set.

        Raises:
            MetricsError: The instrument is not a gauge.
        """
        definition = DEFINITIONS[name]
        if definition.kind is not InstrumentKind.GAUGE:
            raise MetricsError(f'{name} is not a gauge')

        self._meter.create_observable_gauge(
            name,
            callbacks=[functools.partial(_observations, read)],
            unit=definition.unit,
            description=definition.description,
        )

    def render_prometheus(self) -> bytes:
        """
        Return all values in the text format of Prometheus.

        Raises:
            MetricsError: The Prometheus export is disabled.
        """
        if self._registry is None:
            raise MetricsError('the Prometheus export is disabled')
        from prometheus_client import generate_latest

        return generate_latest(self._registry)

    def shutdown(self) -> None:
        """
        Export pending values and stop the exporters.
        """
        self._provider.shutdown()

    def _prometheus_reader(self) -> MetricReader:
        # The exporter modules take several megabytes of memory, so they are
        # imported only if the export is enabled.
        from opentelemetry.exporter.prometheus import (
            PrometheusMetricReader,
        )
        from prometheus_client import CollectorRegistry

        self._registry = CollectorRegistry()
        return PrometheusMetricReader(
            scope_info_enabled=False,
            registry=self._registry,
        )


def _observations(
    read: Callable[[], Iterable[GaugeReading]],
    _options: CallbackOptions,
) -> Iterable[Observation]:
    return [Observation(amount, attributes) for amount, attributes in read()]


def _otlp_reader(endpoint: str, interval_ms: int) -> MetricReader:
    from opentelemetry.exporter.otlp.proto.http import (
        metric_exporter,
    )
    from opentelemetry.sdk.metrics.export import (
        PeriodicExportingMetricReader,
    )

    return PeriodicExportingMetricReader(
        metric_exporter.OTLPMetricExporter(endpoint=endpoint),
        export_interval_millis=interval_ms,
    )


def _definitions(
    kind: InstrumentKind,
) -> Iterable[tuple[InstrumentName, Definition]]:
    return (
        (name, definition)
        for name, definition in DEFINITIONS.items()
        if definition.kind is kind
    )


def _view(name: InstrumentName, definition: Definition, limit: int) -> View:
    aggregation = None
    if definition.bounds:
        aggregation = ExplicitBucketHistogramAggregation(definition.bounds)
    return View(
        instrument_name=name,
        attribute_keys=set(definition.attributes),
        aggregation=aggregation,
        aggregation_cardinality_limit=limit,
    )
