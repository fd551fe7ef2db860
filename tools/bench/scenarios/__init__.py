"""
Scenarios of the benchmark, one per module, in the order of the report.
"""

from tools.bench.scenarios import (
    cancellation_burst,
    dawn_surge,
    declared_sizes,
    failing_worker,
    hail,
    noisy_waves,
    rack_loss,
    steady_day,
    steady_picking,
    stragglers,
)

SCENARIOS = (
    steady_day.SCENARIO,
    steady_picking.SCENARIO,
    dawn_surge.SCENARIO,
    stragglers.SCENARIO,
    noisy_waves.SCENARIO,
    hail.SCENARIO,
    declared_sizes.SCENARIO,
    failing_worker.SCENARIO,
    rack_loss.SCENARIO,
    cancellation_burst.SCENARIO,
)
