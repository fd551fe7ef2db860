"""
Dawn at the picking division.
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
            curve=((40_000, 1), (43_000, 10), (53_000, 10), (60_000, 1)),
        ),
        replace(
            members.GROWER_QUERY,
            curve=((40_000, 1), (43_000, 10), (53_000, 10), (60_000, 1)),
        ),
    ),
    batches=members.backlog(members.PICKING_MIX, members.PICKING_TASK),
    interference=members.PICKING_INTERFERENCE,
    peak_ms=(40_000, 56_000),
)
