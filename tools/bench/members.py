"""
Workers and usual workloads of the two members.
"""

from collections.abc import Mapping
from types import MappingProxyType

from hawthornpier.messages import Resources
from tools.bench.scenario import GIGABYTE, BatchLoad, FleetProfile, ServiceLoad

YAYASAN = FleetProfile(
    member='yayasan',
    failure_domains=('ipoh', 'melaka', 'kuching'),
    rack_size=8,
    capacity=Resources(
        processor_millis=32_000,
        memory_bytes=125 * GIGABYTE,
        slot_count=8,
    ),
)
PICKING = FleetProfile(
    member='picking',
    failure_domains=('moose_jaw', 'swift_current', 'morden'),
    rack_size=8,
    capacity=Resources(
        processor_millis=16_000,
        memory_bytes=62 * GIGABYTE,
        slot_count=8,
    ),
)
YAYASAN_TASK = Resources(
    processor_millis=3_500,
    memory_bytes=12 * GIGABYTE,
    slot_count=1,
)
PICKING_TASK = Resources(
    processor_millis=1_750,
    memory_bytes=6 * GIGABYTE,
    slot_count=1,
)
REQUEST = Resources(
    processor_millis=1_000,
    memory_bytes=GIGABYTE // 2,
    slot_count=1,
)

STOCK_CHECK = ServiceLoad(
    service='stock_check',
    rate_per_s=45,
    deadline_ms=1_500,
)
REPLACEMENT = ServiceLoad(
    service='replacement_order',
    rate_per_s=15,
    deadline_ms=2_000,
    weight=2,
)
CREW_QUERY = ServiceLoad(
    service='crew_query',
    rate_per_s=45,
    deadline_ms=2_000,
    weight=2,
)
GROWER_QUERY = ServiceLoad(
    service='grower_query',
    rate_per_s=15,
    deadline_ms=2_000,
)

# The fraction by which one running task lengthens a request on the same worker.
# The two services of a member suffer most from different workloads.
YAYASAN_INTERFERENCE = MappingProxyType(
    {
        ('stock_check', 'carving_plan'): 0.01,
        ('stock_check', 'catalogue'): 0.02,
        ('stock_check', 'rendering'): 0.15,
        ('stock_check', 'backup'): 0.3,
        ('replacement_order', 'carving_plan'): 0.01,
        ('replacement_order', 'catalogue'): 0.02,
        ('replacement_order', 'rendering'): 0.3,
        ('replacement_order', 'backup'): 0.1,
    }
)
PICKING_INTERFERENCE = MappingProxyType(
    {
        ('crew_query', 'bin_tally'): 0.01,
        ('crew_query', 'cold_watch'): 0.02,
        ('crew_query', 'yield_model'): 0.15,
        ('crew_query', 'archive'): 0.3,
        ('grower_query', 'bin_tally'): 0.01,
        ('grower_query', 'cold_watch'): 0.02,
        ('grower_query', 'yield_model'): 0.3,
        ('grower_query', 'archive'): 0.1,
    }
)


def backlog(
    mix: Mapping[str, float],
    demand: Resources,
    *,
    mean_ms: float = 8_000,
    declaration_error_factor: float = 1,
) -> tuple[BatchLoad, ...]:
    """
    Return batch workloads that always have queued tasks.

    Args:
        mix: Weight of each workload in the scheduler's limits.
        demand: Declared demand of each task.
        mean_ms: Mean work of a task.
        declaration_error_factor: Largest factor by which declared run times
            and actual CPU use are off, in both directions.
    """
    return tuple(
        BatchLoad(
            workload=workload,
            mean_ms=mean_ms,
            demand=demand,
            backlog_count=64,
            weight=weight,
            declaration_error_factor=declaration_error_factor,
        )
        for workload, weight in mix.items()
    )


YAYASAN_MIX = MappingProxyType(
    {'carving_plan': 5, 'catalogue': 3, 'rendering': 1, 'backup': 1},
)
PICKING_MIX = MappingProxyType(
    {'bin_tally': 5, 'cold_watch': 3, 'yield_model': 1, 'archive': 1},
)
