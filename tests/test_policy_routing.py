"""
Tests of shard routing and retry budgets.
"""

from collections import Counter

from hawthornpier.messages import ShardLoad
from hawthornpier.policy import (
    FailureClass,
    RetryBudget,
    RoutingSettings,
    ShardRouter,
    ShardSite,
)


def make_load(shard: str, free: int, queued: int = 0) -> ShardLoad:
    """
    Return the load of a shard with 16 slots.
    """
    return ShardLoad(
        shard=shard,
        epoch=1,
        free_slot_count=free,
        slot_count=16,
        queued_request_count=queued,
        queued_task_count=0,
        services=('s',),
    )


def make_router(link_bytes_per_s: float = 100_000) -> ShardRouter:
    """
    Return a router in failure domain f0 of region r0.

    Shards near0 to near3 are in the same failure domain, next is in another
    one of the region, and far in another region.
    """
    router = ShardRouter(
        site=ShardSite(shard='', failure_domain='f0', region='r0'),
        settings=RoutingSettings(link_bytes_per_s=link_bytes_per_s),
        seed=1,
    )
    router.replace_sites(
        [
            *(
                ShardSite(
                    shard=f'near{number}', failure_domain='f0', region='r0'
                )
                for number in range(4)
            ),
            ShardSite(shard='next', failure_domain='f1', region='r0'),
            ShardSite(shard='far', failure_domain='f2', region='r1'),
        ]
    )
    return router


def route(router: ShardRouter, *loads: ShardLoad, **options: object) -> str:
    """
    Route one request of 1000 bytes; return the shard, or '' if there is none.
    """
    arguments = {'service': 's', 'body_bytes': 1000, 'now_ms': 0, **options}
    return router.choose(loads, **arguments) or ''


class TestShardRouter:
    """
    Requests are routed to the shard with the shortest expected delay.
    """

    def test_distance_is_weighed_against_the_wait(self) -> None:
        """
        A more distant shard is used only if its shorter wait outweighs the
        network delay.
        """
        router = make_router()
        far = make_load('far', 16)
        assert route(router, make_load('near0', 2), far) == 'near0'
        assert route(router, make_load('near0', 0), far) == 'near0'
        assert route(router, make_load('near0', 0, queued=9), far) == 'far'
        busy = make_load('near0', 0, queued=9)
        assert route(router, busy, make_load('next', 3), far) == 'next'

    def test_link_budget_is_enforced(self) -> None:
        """
        Requests beyond the link budget stay in the region; the budget is
        replenished over time.
        """
        router = make_router(link_bytes_per_s=1000)
        loads = (make_load('near0', 0, queued=90), make_load('far', 16))
        chosen = [route(router, *loads) for _ in range(4)]
        assert chosen == ['far', 'far', 'near0', 'near0']
        assert route(router, *loads, now_ms=1000) == 'far'

    def test_stale_loads_cause_no_thundering_herd(self) -> None:
        """
        The shard with the lowest reported load does not get all requests.
        """
        router = make_router()
        loads = [make_load(f'near{number}', 4 + number) for number in range(4)]
        counts = Counter(route(router, *loads) for _ in range(400))
        assert counts['near3'] < 240
        assert len(counts) >= 3

    def test_excluded_shards_are_not_used(self) -> None:
        """
        A request goes only to shards that were not tried and offer the
        service.
        """
        router = make_router()
        loads = (make_load('near0', 9), make_load('near1', 1))
        assert route(router, *loads, tried={'near0'}) == 'near1'
        assert not route(router, *loads, tried={'near0', 'near1'})
        assert not route(router, *loads, service='unknown')


class TestRetryBudget:
    """
    Retries cannot multiply the load during an outage.
    """

    def test_retries_are_bounded_by_successes(self) -> None:
        """
        Without successes, retries stop; ten successes allow one retry.
        """
        budget = RetryBudget(seed=1)
        assert sum(budget.try_spend() for _ in range(100)) == 10
        for _ in range(20):
            budget.record_success()
        assert sum(budget.try_spend() for _ in range(100)) == 2

    def test_delays_grow_and_differ(self) -> None:
        """
        Delays grow with the attempts, up to a maximum, and are jittered so
        that the retries of many callers do not coincide.
        """
        budget = RetryBudget(seed=1)
        for failure in FailureClass:
            first = {budget.backoff_ms(failure, 0) for _ in range(20)}
            assert len(first) == 20
            assert max(first) < budget.backoff_ms(failure, 3)
        late = budget.backoff_ms(FailureClass.OVERLOADED, 99)
        assert late <= 5000
