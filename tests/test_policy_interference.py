"""
Tests of the interference model and of mitigation.
"""

import math
import random

from policy_builders import (
    make_report,
    make_request,
    make_scheduler,
    make_task,
    of_kind,
)

from hawthornpier.messages import LatencySample, TaskResult
from hawthornpier.policy import (
    EvictTask,
    Mitigation,
    PlaceRequest,
    PlaceTask,
    PolicySettings,
    RequestResult,
    Scheduler,
    ThrottleTask,
    WorkloadLimits,
)
from hawthornpier.policy._interference import (
    CoResidencyHistory,
    InterferenceModel,
)


def train_model(
    interference_model: InterferenceModel, slowdown: float, count: int
) -> None:
    """
    Train a model with samples beside a hostile and a harmless workload.
    """
    source = random.Random(1)
    for _ in range(count):
        residents = {
            'hostile': float(source.randrange(3)),
            'harmless': float(source.randrange(5)),
        }
        work = 4 + slowdown * residents['hostile'] + source.gauss(0, 0.4)
        sample = LatencySample(
            service='s', duration_ms=math.exp(work), ended_ms=0
        )
        interference_model.learn(sample, residents)


def slowdown_percent(
    interference_model: InterferenceModel, workload: str
) -> float:
    """
    Return the estimated log slowdown of service s, times 100.
    """
    return 100 * interference_model.pair_slowdown('s', workload)


class TestInterferenceModel:
    """
    The slowdown of a service is attributed to the workload that causes it.
    """

    def test_hostile_and_harmless_workloads_are_distinguished(self) -> None:
        """
        A harmless workload gets no share of the slowdown that another
        workload on the same worker causes.
        """
        interference_model = InterferenceModel()
        train_model(interference_model, 0.3, 1500)
        assert 20 < slowdown_percent(interference_model, 'hostile') < 40
        assert slowdown_percent(interference_model, 'harmless') < 6

    def test_few_samples_change_little(self) -> None:
        """
        After a few samples, the estimate is still far below the measured
        slowdown.
        """
        interference_model = InterferenceModel()
        train_model(interference_model, 2, 16)
        unknown = interference_model.pair_slowdown('other', 'hostile')
        assert unknown == interference_model.pair_slowdown('s', 'unseen')
        assert unknown < interference_model.pair_slowdown('s', 'hostile') < 1

    def test_old_samples_lose_their_weight(self) -> None:
        """
        The estimate falls after a workload stopped causing a slowdown.
        """
        interference_model = InterferenceModel()
        train_model(interference_model, 0.3, 2000)
        train_model(interference_model, 0, 12_000)
        assert slowdown_percent(interference_model, 'hostile') < 8

    def test_history_returns_the_residents_at_a_past_time(self) -> None:
        """
        Reports lag, so a sample must not be attributed to tasks that started
        after its request.
        """
        history = CoResidencyHistory()
        history.record({'early': 1}, 1000)
        history.record({'late': 1}, 3000)
        assert history.at(2999) == {'early': 1}
        assert history.at(3000) == {'late': 1}
        assert history.at(999) is None


def make_scheduler_with_hostile_task(settings: PolicySettings) -> Scheduler:
    """
    Return a scheduler with one worker that runs a known hostile task.
    """
    scheduler = make_scheduler(1, slot_count=4, settings=settings)
    train_model(scheduler._parts.interference_model, 0.8, 800)
    scheduler.add_task(make_task('j/0', workload='hostile'), 0)
    scheduler.add_task(make_task('k/0', workload='harmless'), 0)
    assert len(of_kind(scheduler.decide(0), PlaceTask)) == 2
    return scheduler


def serve_and_report(scheduler: Scheduler, now_ms: int) -> list[object]:
    """
    Serve one request, process a worker report and return the decisions.
    """
    scheduler.add_request(make_request(f'r{now_ms}', deadline_ms=10**6), now_ms)
    scheduler.decide(now_ms)
    scheduler.end_request(f'r{now_ms}', RequestResult.ANSWERED, 9, now_ms)
    scheduler.observe(make_report('w0', now_ms - 2000, []), now_ms)
    return list(scheduler.decide(now_ms))


class TestMitigationLadder:
    """
    Batch tasks that slow a service down are throttled, then evicted.
    """

    def test_worst_task_is_throttled_before_it_is_evicted(self) -> None:
        """
        The hostile task is throttled before any eviction, and the harmless
        task is never affected.
        """
        scheduler = make_scheduler_with_hostile_task(PolicySettings())
        decisions = serve_and_report(scheduler, 1000)
        assert [type(decision) for decision in decisions] == [ThrottleTask]
        assert not serve_and_report(scheduler, 2000)
        for now_ms in range(3000, 9000, 1000):
            decisions.extend(serve_and_report(scheduler, now_ms))
        tasks = {
            decision.task_id
            for decision in decisions
            if isinstance(decision, ThrottleTask | EvictTask)
        }
        assert tasks == {'j/0'}

    def test_throttling_ends_when_the_service_is_gone(self) -> None:
        """
        A task is no longer throttled once no service uses its worker.
        """
        scheduler = make_scheduler_with_hostile_task(PolicySettings())
        assert of_kind(serve_and_report(scheduler, 1000), ThrottleTask)
        scheduler.observe(make_report('w0', 40_000, []), 42_000)
        decisions = of_kind(scheduler.decide(42_000), ThrottleTask)
        assert [decision.is_throttled for decision in decisions] == [False]

    def test_no_mitigation_for_a_service_within_its_target(self) -> None:
        """
        Batch work is not throttled for a service that meets its target.
        """
        for target_ms, count in ((100, 0), (10, 1)):
            scheduler = make_scheduler_with_hostile_task(PolicySettings())
            scheduler.set_limits(
                [
                    WorkloadLimits(
                        name='s', member='m', latency_target_ms=target_ms
                    ),
                ]
            )
            for _ in range(40):
                scheduler._request_dispatcher.learn('m', 's', 9)
            decisions = serve_and_report(scheduler, 1000)
            assert len(of_kind(decisions, ThrottleTask)) == count

    def test_baselines_omit_steps(self) -> None:
        """
        The baselines of the benchmark lack throttling or any mitigation.
        """
        for choice, kinds in (
            (Mitigation.EVICT_ONLY, [EvictTask]),
            (Mitigation.NONE, []),
        ):
            scheduler = make_scheduler_with_hostile_task(
                PolicySettings(mitigation=choice)
            )
            decisions = serve_and_report(scheduler, 1000)
            assert [type(decision) for decision in decisions] == kinds

    def test_hostile_task_and_service_are_placed_apart(self) -> None:
        """
        Requests are not placed beside a hostile task, nor the task beside the
        service's recent requests.
        """
        scheduler = make_scheduler(2, slot_count=4)
        train_model(scheduler._parts.interference_model, 0.8, 800)
        scheduler.adopt_task(make_task('j/0', workload='hostile'), 'w0', 0)
        for number in range(3):
            scheduler.add_request(make_request(f'r{number}'), 0)
        placed = of_kind(scheduler.decide(0), PlaceRequest)
        assert {item.worker_id for item in placed} == {'w1'}
        scheduler.end_task('j/0', TaskResult.EVICTED, 10)
        scheduler.add_task(make_task('j/0', workload='hostile'), 10)
        for number in range(3):
            scheduler.end_request(f'r{number}', RequestResult.ANSWERED, 9, 10)
        again = of_kind(scheduler.decide(10), PlaceTask)
        assert [item.worker_id for item in again] == ['w0']
