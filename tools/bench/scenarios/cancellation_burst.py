"""
Cancellation of thousands of queued tasks at Yayasan, three times.
"""

from dataclasses import replace

from tools.bench.scenario import Fault
from tools.bench.scenarios import steady_day

SCENARIO = replace(
    steady_day.SCENARIO,
    name='cancellation_burst',
    question='Does the cancellation of thousands of queued tasks do harm?',
    batches=tuple(
        replace(batch, backlog_count=2_000)
        for batch in steady_day.SCENARIO.batches
    ),
    faults=tuple(
        Fault(at_ms=at_ms, kind='cancel', workload='catalogue')
        for at_ms in (25_000, 35_000, 45_000)
    ),
)
