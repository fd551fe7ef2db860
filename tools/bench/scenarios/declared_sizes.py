"""
Tasks of Yayasan whose declarations are off by up to a factor of 4.
"""

from tools.bench import members
from tools.bench.scenario import BatchLoad, Scenario

SCENARIO = Scenario(
    name='declared_sizes',
    question='Do declarations that are off by 4 both ways do harm?',
    profile=members.YAYASAN,
    services=(members.STOCK_CHECK, members.REPLACEMENT),
    batches=(
        BatchLoad(
            workload='catalogue',
            mean_ms=600,
            demand=members.YAYASAN_TASK,
            job_rate_per_s=3,
            declaration_error_factor=4,
            is_short=True,
        ),
        *members.backlog(
            {'carving_plan': 3, 'rendering': 1},
            members.YAYASAN_TASK,
            mean_ms=20_000,
            declaration_error_factor=4,
        ),
    ),
    interference=members.YAYASAN_INTERFERENCE,
)
