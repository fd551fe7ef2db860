"""
Steady load at Yayasan.
"""

from tools.bench import members
from tools.bench.scenario import Scenario

SCENARIO = Scenario(
    name='steady_day',
    question='What do services lose beside batch work that fills the rest?',
    profile=members.YAYASAN,
    services=(members.STOCK_CHECK, members.REPLACEMENT),
    batches=members.backlog(members.YAYASAN_MIX, members.YAYASAN_TASK),
    interference=members.YAYASAN_INTERFERENCE,
)
