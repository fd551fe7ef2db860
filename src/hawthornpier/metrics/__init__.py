"""
Counters, histograms and gauges of an entry process.
"""

from hawthornpier.metrics._metrics import GaugeReading, Metrics, MetricsError
from hawthornpier.metrics._names import (
    DEFINITIONS,
    Definition,
    InstrumentKind,
    InstrumentName,
    render_reference,
)

__all__ = [
    'DEFINITIONS',
    'Definition',
    'GaugeReading',
    'InstrumentKind',
    'InstrumentName',
    'Metrics',
    'MetricsError',
    'render_reference',
]
