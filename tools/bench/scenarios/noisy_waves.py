"""
Waves of batch tasks at Yayasan that interfere with its services.
"""

from tools.bench import members
from tools.bench.scenario import BatchLoad, Scenario

_WAVES = tuple(
    BatchLoad(
        workload=workload,
        mean_ms=6_000,
        demand=members.YAYASAN_TASK,
        job_rate_per_s=12,
        job_size=8,
        from_ms=from_ms,
        until_ms=from_ms + 3_000,
        weight=20,
    )
    for workload, from_ms in (
        ('rendering', 10_000),
        ('backup', 25_000),
        ('rendering', 40_000),
    )
)

SCENARIO = Scenario(
    name='noisy_waves',
    question='Do services notice waves of tasks that interfere with them?',
    profile=members.YAYASAN,
    services=(members.STOCK_CHECK, members.REPLACEMENT),
    batches=(
        *members.backlog(
            {'carving_plan': 1, 'catalogue': 1},
            members.YAYASAN_TASK,
        ),
        *_WAVES,
    ),
    interference=members.YAYASAN_INTERFERENCE,
)
