"""
Tests of the detection of faulty workers and faulty jobs.
"""

import itertools

from policy_builders import (
    make_request,
    make_scheduler,
    make_task,
    of_kind,
)

from hawthornpier.messages import TaskResult
from hawthornpier.policy import (
    EvictTask,
    PlaceRequest,
    PlaceTask,
    RejectTask,
    RequestResult,
    Scheduler,
    ShedRequest,
)
from hawthornpier.policy._health import HealthTracker
from hawthornpier.policy._settings import Health


def run_task(scheduler: Scheduler, task_id: str, now_ms: int) -> str:
    """
    Run a task, which fails if placed on worker w0; return its worker.
    """
    scheduler.add_task(make_task(task_id), now_ms)
    placed = of_kind(scheduler.decide(now_ms), PlaceTask)
    worker_id = placed[0].worker_id
    result = TaskResult.FAILED if worker_id == 'w0' else TaskResult.DONE
    scheduler.end_task(task_id, result, now_ms)
    return worker_id


class TestHealth:
    """
    Faulty workers are distinguished from faulty jobs.
    """

    def test_failing_worker_is_quarantined_and_probed(self) -> None:
        """
        A worker that fails every task is quarantined after a few of them, and
        the intervals between its probes grow.
        """
        scheduler = make_scheduler(4)
        failed_ms = [
            now_ms
            for now_ms in range(0, 400_000, 100)
            if run_task(scheduler, f'job{now_ms}/0', now_ms) == 'w0'
        ]
        assert 6 <= len(failed_ms) <= 9
        gaps = [
            later - earlier
            for earlier, later in itertools.pairwise(failed_ms[4:])
        ]
        assert gaps[0] >= 30_000
        assert gaps == sorted(gaps)

    def test_failed_task_is_retried_on_another_worker(self) -> None:
        """
        A task is not placed again on a worker on which it failed.
        """
        scheduler = make_scheduler(3)
        workers = set()
        for now_ms in range(2):
            scheduler.add_task(make_task('j/0'), now_ms)
            placed = of_kind(scheduler.decide(now_ms), PlaceTask)
            workers.add(placed[0].worker_id)
            scheduler.end_task('j/0', TaskResult.FAILED, now_ms)
        assert len(workers) == 2

    def test_job_that_fails_on_every_worker_is_rejected(self) -> None:
        """
        A faulty job is rejected with that reason, and no worker is
        quarantined for its failures.
        """
        scheduler = make_scheduler(5)
        for now_ms in range(3):
            scheduler.add_task(make_task('bad/0'), now_ms)
            placed = of_kind(scheduler.decide(now_ms), PlaceTask)
            scheduler.end_task('bad/0', TaskResult.FAILED, now_ms)
            assert placed
        scheduler.add_task(make_task('bad/1'), 5)
        rejected = of_kind(scheduler.decide(5), RejectTask)
        assert rejected[0].reason == (
            'job bad failed on several healthy workers'
        )
        assert not scheduler._parts.health.unusable_workers()

    def test_single_failures_do_not_reject_a_job(self) -> None:
        """
        A job is not faulty if different tasks fail once each.
        """
        health = HealthTracker(choice=Health.QUARANTINE)
        for number in range(4):
            health.end_task(
                f'w{number}', f'j/{number}', 0, is_done=False, is_failed=True
            )
        assert not health.fault_reason('j/9')

    def test_probe_lost_with_its_worker_is_repeated(self) -> None:
        """
        A worker that is removed during its probe can be probed again.

        The probe never ends, so a worker that came back would otherwise stay
        quarantined for ever.
        """
        health = HealthTracker(choice=Health.QUARANTINE)
        for number in range(5):
            health.end_task(
                'w0', f'j{number}/0', 0, is_done=False, is_failed=True
            )
        assert not health.allows_task('w0', 'k/0', 29_000)
        assert health.allows_task('w0', 'k/0', 30_000)
        health.record_task_placement('w0')
        assert not health.allows_task('w0', 'k/1', 31_000)
        health.remove_worker('w0')
        assert health.allows_task('w0', 'k/1', 32_000)

    def test_failing_endpoint_is_ejected_and_probed(self) -> None:
        """
        An endpoint that fails every request is ejected after a few of them.
        """
        scheduler = make_scheduler(3)
        failed = 0
        for now_ms in range(0, 60_000, 20):
            request = make_request(f'r{now_ms}', deadline_ms=now_ms + 500)
            scheduler.add_request(request, now_ms)
            decisions = scheduler.decide(now_ms)
            assert not of_kind(decisions, ShedRequest)
            is_bad = of_kind(decisions, PlaceRequest)[0].worker_id == 'w0'
            failed += is_bad
            result = RequestResult.FAILED if is_bad else RequestResult.ANSWERED
            scheduler.end_request(request.request_id, result, 10, now_ms)
        assert 5 < failed < 15

    def test_shard_without_healthy_worker_runs_tasks(self) -> None:
        """
        The only worker is probed when its quarantine ends.

        Guards against a quarantine that never ends, because the slots of the
        workers that could be probed do not count.
        """
        scheduler = make_scheduler(1)
        for number in range(5):
            assert run_task(scheduler, f'j{number}/0', 0) == 'w0'
        scheduler.add_task(make_task('k/0'), 1)
        assert not of_kind(scheduler.decide(29_000), PlaceTask)
        assert 'in quarantine' in scheduler.explain('k/0')
        assert of_kind(scheduler.decide(30_000), PlaceTask)

    def test_requests_do_not_evict_from_ejected_endpoints(self) -> None:
        """
        Tasks keep running on a worker that takes no requests.

        Guards against evictions that free no slot for the waiting requests.
        """
        scheduler = make_scheduler(1, 8)
        for number in range(5):
            scheduler.add_request(make_request(f'r{number}'), 0)
            scheduler.decide(0)
            scheduler.end_request(f'r{number}', RequestResult.FAILED, 10, 0)
        scheduler.add_task(make_task('j/0'), 1)
        assert of_kind(scheduler.decide(1), PlaceTask)
        scheduler.add_request(make_request('late'), 2)
        assert not of_kind(scheduler.decide(2), EvictTask)
        assert of_kind(scheduler.decide(5_000), PlaceRequest)

    def test_failed_task_holds_back_no_others(self) -> None:
        """
        Tasks start on a worker on which another task failed.

        Guards against a failed task that counts as too large for all workers,
        or keeps its place before the other tasks of its workload.
        """
        scheduler = make_scheduler(2, 1)
        scheduler.add_task(make_task('j/0'), 0)
        scheduler.decide(0)
        scheduler.add_task(make_task('long/0', workload='c'), 1)
        scheduler.decide(1)
        scheduler.end_task('j/0', TaskResult.FAILED, 2)
        for task_id in ('j/0', 'j/1'):
            scheduler.add_task(make_task(task_id), 3)
        placed = of_kind(scheduler.decide(4), PlaceTask)
        assert [task.task_id for task in placed] == ['j/1']
        scheduler.end_task('j/1', TaskResult.DONE, 5)
        scheduler.add_task(make_task('z/0', workload='z'), 6)
        placed = of_kind(scheduler.decide(7), PlaceTask)
        assert [task.task_id for task in placed] == ['z/0']
