"""
A worker of Yayasan that fails all work shortly after its start.
"""

from tools.bench import members
from tools.bench.scenario import Fault, Scenario

SCENARIO = Scenario(
    name='failing_worker',
    question='How much work does a worker that fails everything ruin?',
    profile=members.YAYASAN,
    services=(members.STOCK_CHECK, members.REPLACEMENT),
    batches=members.backlog(members.YAYASAN_MIX, members.YAYASAN_TASK),
    interference=members.YAYASAN_INTERFERENCE,
    faults=(Fault(at_ms=30_000, kind='fail_all', workers=(5,)),),
)
