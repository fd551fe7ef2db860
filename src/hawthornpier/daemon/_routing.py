"""
The routing policy of an entry process, created from the settings.
"""

from hawthornpier.policy import RoutingSettings, ShardRouter, ShardSite
from hawthornpier.settings import Settings


def make_router(settings: Settings, *, seed: int) -> ShardRouter:
    """
    Return the routing policy with the sites of all shards.
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
