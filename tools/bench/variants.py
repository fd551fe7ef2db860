"""
Variants of the policy settings that the benchmark compares.
"""

from dataclasses import replace
from types import MappingProxyType

from hawthornpier.policy import (
    Headroom,
    Health,
    Interference,
    Mitigation,
    Placement,
    PolicySettings,
    QueueOrder,
    Shedding,
    SizeEstimate,
)

OURS = PolicySettings()

# Each variant except "ours" and "all_baselines" replaces a single mechanism by
# its baseline, which also switches off our implementation of the mechanism.
VARIANTS = MappingProxyType(
    {
        'ours': OURS,
        'first_fit': replace(OURS, placement=Placement.FIRST_FIT),
        'round_robin': replace(OURS, placement=Placement.ROUND_ROBIN),
        'fifo': replace(OURS, queue_order=QueueOrder.FIFO),
        'declared_sizes': replace(
            OURS,
            size_estimate=SizeEstimate.DECLARED_SIZES,
        ),
        'no_interference': replace(
            OURS,
            interference=Interference.NO_INTERFERENCE,
        ),
        'no_shedding': replace(OURS, shedding=Shedding.NO_SHEDDING),
        'no_headroom': replace(OURS, headroom=Headroom.NONE),
        'evict_only': replace(OURS, mitigation=Mitigation.EVICT_ONLY),
        'no_mitigation': replace(OURS, mitigation=Mitigation.NONE),
        'no_quarantine': replace(OURS, health=Health.NONE),
        'all_baselines': PolicySettings(
            placement=Placement.FIRST_FIT,
            queue_order=QueueOrder.FIFO,
            size_estimate=SizeEstimate.DECLARED_SIZES,
            interference=Interference.NO_INTERFERENCE,
            shedding=Shedding.NO_SHEDDING,
            headroom=Headroom.NONE,
            mitigation=Mitigation.NONE,
            health=Health.NONE,
        ),
    }
)
