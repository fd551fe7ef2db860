"""
Steady load in the picking division, on workers with half the cores.
"""

from tools.bench import members
from tools.bench.scenario import Scenario

SCENARIO = Scenario(
    name='steady_picking',
    question='Does the steady day hold on workers with half the cores?',
    profile=members.PICKING,
    services=(members.CREW_QUERY, members.GROWER_QUERY),
    batches=members.backlog(members.PICKING_MIX, members.PICKING_TASK),
    interference=members.PICKING_INTERFERENCE,
)
