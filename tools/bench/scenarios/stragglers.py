"""
Short tasks of Yayasan beside stragglers and long carving plans.
"""

from tools.bench import members
from tools.bench.scenario import BatchLoad, Scenario

SCENARIO = Scenario(
    name='stragglers',
    question='Does short work wait behind stragglers and long jobs?',
    profile=members.YAYASAN,
    services=(members.STOCK_CHECK, members.REPLACEMENT),
    batches=(
        # One task in 200 is a straggler and 50 times as long; stragglers are a
        # fifth of the work of this workload.
        BatchLoad(
            workload='catalogue',
            mean_ms=600,
            demand=members.YAYASAN_TASK,
            job_rate_per_s=3,
            job_size=8,
            straggler_fraction=0.005,
            is_short=True,
        ),
        BatchLoad(
            workload='carving_plan',
            mean_ms=40_000,
            demand=members.YAYASAN_TASK,
            backlog_count=64,
        ),
    ),
    interference=members.YAYASAN_INTERFERENCE,
)
