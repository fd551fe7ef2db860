"""
Tests of the instruments and their export.
"""

import os
import pathlib
import subprocess
import sys

import pytest

from hawthornpier.metrics import (
    DEFINITIONS,
    InstrumentKind,
    InstrumentName,
    Metrics,
    MetricsError,
    render_reference,
)

_REFERENCE = pathlib.Path(__file__).parent.parent / 'docs' / 'metrics.md'

_IMPORT_CHECK = """
import sys
from hawthornpier.metrics import InstrumentName, Metrics
Metrics('p').count(InstrumentName.HEARTBEATS, result='ok')
loaded = [name for name in sys.modules if 'opentelemetry.exporter' in name]
assert not loaded, loaded
assert 'prometheus_client' not in sys.modules
"""


class TestDefinitions:
    """
    Every instrument has a definition and documentation.
    """

    def test_every_name_is_defined_and_documented(self) -> None:
        """
        Guards against an instrument that docs/metrics.md does not describe.
        """
        assert set(DEFINITIONS) == set(InstrumentName)
        assert _REFERENCE.read_text() == render_reference()


class TestMetrics:
    """
    Values are exported, with a limited number of attribute sets.
    """

    def test_scrape_shows_counters_histograms_and_gauges(self) -> None:
        """
        Guards against an instrument kind that is never exported.
        """
        metrics = Metrics('p1', is_prometheus_enabled=True)
        metrics.count(InstrumentName.REQUESTS, 2, outcome='answer', service='s')
        metrics.observe(InstrumentName.QUEUE_WAIT, 0.2, workload='w')
        metrics.register_gauge(
            InstrumentName.WORKERS, lambda: [(3, {'state': 'usable'})]
        )
        lines = metrics.render_prometheus().decode().splitlines()
        assert (
            'hawthornpier_requests_total{outcome="answer",service="s"} 2.0'
            in lines
        )
        assert 'hawthornpier_queue_wait_seconds_sum{workload="w"} 0.2' in lines
        assert 'hawthornpier_workers{state="usable"} 3.0' in lines

    def test_attribute_sets_are_bounded(self) -> None:
        """
        Guards against memory that grows with the names that members choose.
        """
        metrics = Metrics(
            'p1', is_prometheus_enabled=True, max_attribute_set_count=3
        )
        for index in range(50):
            metrics.count(
                InstrumentName.REQUESTS,
                outcome='answer',
                service=f's{index}',
                unlisted=str(index),
            )
        text = metrics.render_prometheus().decode()
        lines = [
            line
            for line in text.splitlines()
            if line.startswith('hawthornpier_requests_total')
        ]
        assert len(lines) == 4
        assert sum(float(line.split()[-1]) for line in lines) == 50
        assert 'unlisted' not in text

    @pytest.mark.parametrize('kind', list(InstrumentKind))
    def test_wrong_kind_is_refused(self, kind: InstrumentKind) -> None:
        """
        Guards against values that are lost in an instrument of another kind.
        """
        name = next(
            name
            for name, definition in DEFINITIONS.items()
            if definition.kind is not kind
        )
        metrics = Metrics('p1')
        uses = {
            InstrumentKind.COUNTER: lambda: metrics.count(name),
            InstrumentKind.HISTOGRAM: lambda: metrics.observe(name, 1),
            InstrumentKind.GAUGE: lambda: metrics.register_gauge(name, list),
        }
        with pytest.raises(MetricsError):
            uses[kind]()

    def test_exporters_are_imported_only_on_demand(self) -> None:
        """
        Guards against memory used by exporters that are not enabled.
        """
        subprocess.run(
            [sys.executable, '-c', _IMPORT_CHECK],
            check=True,
            env={'PYTHONPATH': os.pathsep.join(sys.path)},
        )
        with pytest.raises(MetricsError):
            Metrics('p1').render_prometheus()
