"""
The policies that the settings choose.
"""

from hawthornpier.policy import (
    Headroom,
    Health,
    Interference,
    Mitigation,
    Placement,
    PolicySettings,
    QueueOrder,
    RoutingSettings,
    Scheduler,
    ShardRouter,
    ShardSite,
    Shedding,
    SizeEstimate,
)
from hawthornpier.settings import PolicySettings as PolicyChoices
from hawthornpier.settings import Settings


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


def make_router(settings: Settings, *, seed: int) -> ShardRouter:
    """
    Return the routing policy of an entry process.
    """
    process = settings.process
    cluster = settings.cluster
    router = ShardRouter(
        site=ShardSite(
            shard='',
            failure_domain=process.failure_domain,
            region=process.region,
        ),
        settings=RoutingSettings(
            link_bytes_per_s=settings.link.budget_bytes_per_s,
        ),
        seed=seed,
    )
    router.replace_sites(
        ShardSite(
            shard=f'{domain.name}/{number}',
            failure_domain=domain.name,
            region=domain.region,
        )
        for domain in cluster.failure_domains
        for number in range(cluster.shards_per_failure_domain)
    )
    return router
