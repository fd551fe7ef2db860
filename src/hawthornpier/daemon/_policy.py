"""
The scheduling policy that the settings choose.
"""

from hawthornpier.policy import (
    Headroom,
    Health,
    Interference,
    Mitigation,
    Placement,
    PolicySettings,
    QueueOrder,
    Scheduler,
    Shedding,
    SizeEstimate,
)
from hawthornpier.settings import PolicySettings as PolicyChoices


def make_policy(choices: PolicyChoices, *, seed: int) -> Scheduler:
    """
    Return a scheduler for one shard.
    """
    settings = PolicySettings(
        placement=Placement(choices.placement.value),
        queue_order=QueueOrder(choices.queue.value),
        size_estimate=SizeEstimate(choices.sizes.value),
        interference=Interference(choices.interference.value),
        shedding=Shedding(choices.shedding.value),
        headroom=Headroom(choices.headroom.value),
        mitigation=Mitigation(choices.mitigation.value),
        health=Health(choices.health.value),
    )
    return Scheduler(settings=settings, seed=seed)
