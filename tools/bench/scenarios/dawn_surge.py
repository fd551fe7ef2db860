"""
Surge of requests at dawn in the picking division.
"""

from dataclasses import replace

from tools.bench import members
from tools.bench.scenario import Scenario

SCENARIO = Scenario(
    name='dawn_surge',
    question='Are requests served when ten times as many come within 3 s?',
    profile=members.PICKING,
    services=(
        replace(
            members.CREW_QUERY,
            rate_curve=((30_000, 1), (33_000, 10), (43_000, 10), (50_000, 1)),
        ),
        replace(
            members.GROWER_QUERY,
            rate_curve=((30_000, 1), (33_000, 10), (43_000, 10), (50_000, 1)),
        ),
    ),
    batches=members.backlog(
        members.PICKING_MIX,
        members.PICKING_TASK,
        mean_ms=30_000,
    ),
    interference=members.PICKING_INTERFERENCE,
    peak_window_ms=(30_000, 46_000),
)
