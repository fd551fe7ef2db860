"""
The instruments of a process over the OpenTelemetry SDK.
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

GaugeReading = tuple[float, dict[str, str]]

# A member chooses the names of services and workloads.  The limit keeps a
# member with many names from using up the memory of the process.
_MAX_ATTRIBUTE_SET_COUNT = 200
_DEFAULT_EXPORT_INTERVAL_MS = 15_000


class MetricsError(HawthornpierError):
    """
    An instrument was used in a way that its definition does not allow.
    """


class Metrics:
    """
    Counts and observes; exports only what is switched on.

    Args:
        process_id: becomes ``service.instance.id`` of the exported data.
        is_prometheus_enabled: whether `render_prometheus` is available.
        otlp_endpoint: the URL that receives OTLP over HTTP, or empty.
        export_interval_ms: the interval of the OTLP export.
        max_attribute_set_count: the limit of attribute sets per instrument.
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
            # The daemon shuts down in its own order, without exit handlers.
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
        Add *amount*, in the unit of the counter; raises `MetricsError`.
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
        Take one value, in the unit of the histogram; raises `MetricsError`.
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
        Call *read* at each export for the gauge; raises `MetricsError`.
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
        Return the text for the scrape endpoint; raises `MetricsError`.
        """
        if self._registry is None:
            raise MetricsError('the scrape endpoint is switched off')
        from prometheus_client import generate_latest

        return generate_latest(self._registry)

    def shutdown(self) -> None:
        """
        Export what is pending and stop the exporters.
        """
        self._provider.shutdown()

    def _prometheus_reader(self) -> MetricReader:
        # The exporters take several megabytes, so they are imported only
        # when they are switched on.
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
