"""
Tests of placement, shedding and headroom for services.

G1 and G2 are guarantees listed in README.md.
"""

from policy_builders import (
    SLOT,
    make_request,
    make_scheduler,
    make_task,
    make_worker,
    of_kind,
)

from hawthornpier.messages import TaskResult
from hawthornpier.policy import (
    EvictTask,
    Headroom,
    PlaceRequest,
    PlaceTask,
    PolicySettings,
    RequestResult,
    Scheduler,
    ShedReason,
    ShedRequest,
    WorkloadLimits,
)
from hawthornpier.policy._forecast import DemandForecast


def serve_sequentially(
    scheduler: Scheduler,
    count: int,
    duration_ms: int,
    start_ms: int = 0,
) -> int:
    """
    Serve requests one after the other; return when the last one ended.
    """
    now_ms = start_ms
    for number in range(count):
        request_id = f'old{start_ms}-{number}'
        scheduler.add_request(
            make_request(request_id, deadline_ms=now_ms + 9000), now_ms
        )
        assert of_kind(scheduler.decide(now_ms), PlaceRequest)
        now_ms += duration_ms
        scheduler.end_request(
            request_id, RequestResult.ANSWERED, duration_ms, now_ms
        )
    return now_ms


class TestShedding:
    """
    Requests that would miss their deadline are shed instead of queued.
    """

    def test_request_that_would_be_late_is_shed_at_arrival(self) -> None:
        """
        A request is shed on arrival if its expected wait and duration exceed
        its deadline.
        """
        scheduler = make_scheduler(1)
        now_ms = serve_sequentially(scheduler, 40, 100)
        for number in range(60):
            scheduler.add_request(
                make_request(f'r{number}', deadline_ms=now_ms + 600), now_ms
            )
        decisions = scheduler.decide(now_ms)
        shed = of_kind(decisions, ShedRequest)
        assert len(of_kind(decisions, PlaceRequest)) == 2
        assert 40 <= len(shed) < 58
        assert all(item.reason is ShedReason.DEADLINE for item in shed)
        assert min(item.retry_after_ms for item in shed) > 0

    def test_expired_request_is_never_placed(self) -> None:
        """
        A queued request is shed once its deadline has passed, so that it
        occupies no slot for a reply that is too late.
        """
        scheduler = make_scheduler(1)
        scheduler.add_request(make_request('r', deadline_ms=50), 0)
        assert [type(item) for item in scheduler.decide(50)] == [ShedRequest]

    def test_shard_without_workers_sheds_with_its_own_reason(self) -> None:
        """
        A shard without workers sheds requests at once, so that the entry
        process can try another shard.
        """
        scheduler = make_scheduler(0)
        scheduler.add_request(make_request('r'), 0)
        shed = of_kind(scheduler.decide(1), ShedRequest)
        assert shed[0].reason is ShedReason.NO_WORKER

    def test_slots_are_divided_by_weight(self) -> None:
        """
        During a surge of one service, another one still gets its share.
        """
        scheduler = make_scheduler(6)
        scheduler.set_limits(
            [
                WorkloadLimits(name='s', member='m', weight=1),
                WorkloadLimits(name='other', member='m', weight=3),
            ]
        )
        for number in range(40):
            scheduler.add_request(make_request(f'r{number}'), 0)
        for number in range(20):
            scheduler.add_request(
                make_request(f'o{number}', service='other'), 0
            )
        placed = of_kind(scheduler.decide(0), PlaceRequest)
        count = sum(item.request_id.startswith('o') for item in placed)
        assert (count, len(placed)) == (9, 12)


class TestHeadroom:
    """
    Slots are reserved for services, and more are freed on demand.
    """

    def test_slots_stay_reserved_after_a_surge(self) -> None:
        """
        Batch tasks may use the slots of a surge only after the forecast has
        decayed.
        """
        scheduler = make_scheduler(8)
        for number in range(8):
            scheduler.add_request(make_request(f'r{number}'), 0)
        scheduler.decide(0)
        scheduler.decide(2000)
        for number in range(8):
            scheduler.end_request(
                f'r{number}', RequestResult.ANSWERED, 2000, 2000
            )
        for number in range(20):
            scheduler.add_task(make_task(f'j/{number}'), 2000)
        assert len(of_kind(scheduler.decide(2001), PlaceTask)) <= 4
        waits = {scheduler.explain(f'j/{number}') for number in range(20)}
        assert any('reserved for services' in reason for reason in waits)
        placed = of_kind(scheduler.decide(200_000), PlaceTask)
        assert len(placed) >= 10

    def test_waiting_requests_evict_the_youngest_run(self) -> None:
        """
        A waiting request causes the eviction of the batch task that loses the
        least work, and then gets its slot.
        """
        scheduler = make_scheduler(1)
        scheduler.add_task(make_task('old/0'), 0)
        scheduler.decide(0)
        scheduler.add_task(make_task('young/0'), 5000)
        scheduler.decide(5000)
        scheduler.add_request(make_request('r', deadline_ms=9000), 6000)
        evicted = of_kind(scheduler.decide(6000), EvictTask)
        assert [item.task_id for item in evicted] == ['young/0']
        assert not of_kind(scheduler.decide(6001), EvictTask)
        scheduler.end_task('young/0', TaskResult.EVICTED, 6200)
        scheduler.add_task(make_task('young/0', done_work_ms=1000), 6200)
        placed = scheduler.decide(6200)
        assert of_kind(placed, PlaceRequest)
        assert not of_kind(placed, PlaceTask)

    def test_limited_service_evicts_nothing(self) -> None:
        """
        No batch task is evicted for requests that wait because of their own
        limit.
        """
        scheduler = make_scheduler(1)
        scheduler.set_limits(
            [
                WorkloadLimits(name='s', member='m', max_running_count=1),
            ]
        )
        scheduler.add_task(make_task('j/0'), 0)
        scheduler.decide(0)
        scheduler.add_request(make_request('r0'), 10)
        scheduler.add_request(make_request('r1'), 10)
        assert len(of_kind(scheduler.decide(10), PlaceRequest)) == 1
        assert not of_kind(scheduler.decide(20), EvictTask)

    def test_large_request_does_not_empty_the_shard(self) -> None:
        """
        A request that needs more slots than one eviction frees does not cause
        one eviction after the other.
        """
        scheduler = make_scheduler(8)
        for number in range(16):
            scheduler.add_task(make_task(f'j/{number}'), 0)
        assert len(of_kind(scheduler.decide(0), PlaceTask)) == 16
        scheduler.add_request(make_request('r', demand=SLOT + SLOT), 10)
        evicted = []
        for now_ms in range(10, 5000, 100):
            for step in of_kind(scheduler.decide(now_ms), EvictTask):
                evicted.append(step.task_id)
                scheduler.end_task(step.task_id, TaskResult.EVICTED, now_ms)
        assert len(evicted) <= 2

    def test_without_headroom_nothing_is_evicted(self) -> None:
        """
        The baseline of the benchmark reserves no slots and evicts no tasks.
        """
        scheduler = make_scheduler(
            1, settings=PolicySettings(headroom=Headroom.NONE)
        )
        scheduler.add_task(make_task('a/0'), 0)
        scheduler.add_task(make_task('b/0'), 0)
        assert len(of_kind(scheduler.decide(0), PlaceTask)) == 2
        scheduler.add_request(make_request('r'), 0)
        assert not scheduler.decide(1)

    def test_forecast_rises_fast_and_decays_slowly(self) -> None:
        """
        Half a half-life after a surge, most of its slots are still reserved.
        """
        forecast = DemandForecast(is_bursty=False)
        forecast.update(2, 0)
        for now_ms in range(100, 1100, 100):
            forecast.update(40, now_ms)
        high = forecast.level
        for now_ms in range(1100, 11_100, 100):
            forecast.update(2, now_ms)
        assert high > 40
        assert 0.6 * high < forecast.level < 0.8 * high


class TestAdoption:
    """
    A new owner adopts the work that already runs.
    """

    def test_adopted_work_is_charged(self) -> None:
        """
        G1: adopted work uses up the capacity of its worker.
        """
        scheduler = make_scheduler(1)
        scheduler.adopt_task(make_task('j/0'), 'w0', 0)
        scheduler.adopt_request(make_request('r0'), 'w0', 0)
        scheduler.add_request(make_request('r1'), 0)
        assert not of_kind(scheduler.decide(1), PlaceRequest)
        scheduler.end_request('r0', RequestResult.ANSWERED, 5, 2)
        assert of_kind(scheduler.decide(2), PlaceRequest)

    def test_queued_work_that_already_runs_is_not_placed_again(self) -> None:
        """
        G2: adopted work is removed from the queue.
        """
        scheduler = make_scheduler(2)
        scheduler.add_request(make_request('r0'), 0)
        scheduler.add_task(make_task('j/0'), 0)
        scheduler.adopt_request(make_request('r0'), 'w0', 1)
        scheduler.adopt_task(make_task('j/0'), 'w0', 1)
        assert scheduler.queued_counts() == (0, 0)
        assert not scheduler.decide(2)

    def test_adopted_work_beyond_capacity_blocks_the_worker(self) -> None:
        """
        G1: nothing is placed on a worker whose adopted work exceeds its
        capacity.
        """
        scheduler = make_scheduler(1)
        for number in range(3):
            scheduler.adopt_task(make_task(f'j/{number}'), 'w0', 0)
        scheduler.add_worker(make_worker('w1'), 0)
        scheduler.add_task(make_task('new/0'), 0)
        placed = of_kind(scheduler.decide(1), PlaceTask)
        assert [item.worker_id for item in placed] == ['w1']


class TestInitialReserve:
    """
    Slots are reserved before the first request.
    """

    def test_batch_work_leaves_a_slot_for_the_first_request(self) -> None:
        """
        The first request of a service with a latency target is placed at once
        although enough batch tasks are queued to fill a new shard.
        """
        scheduler = make_scheduler(2, slot_count=8)
        scheduler.set_limits(
            [WorkloadLimits(name='s', member='m', latency_target_ms=100)],
        )
        for number in range(40):
            scheduler.add_task(make_task(f'j/{number}'), 0)
        placed = of_kind(scheduler.decide(0), PlaceTask)
        scheduler.add_request(make_request('r'), 1)
        decisions = scheduler.decide(1)
        assert len(placed) == 15
        assert [type(each) for each in decisions] == [PlaceRequest]
