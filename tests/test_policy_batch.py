"""
Tests of urgent tasks, short tasks and stragglers.
"""

from policy_builders import (
    SLOT,
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
    PolicySettings,
    QueueOrder,
    Scheduler,
    SizeEstimate,
)
from hawthornpier.policy._sizes import SizeEstimator


def run_short_tasks(scheduler: Scheduler, count: int, run_ms: int) -> int:
    """
    Run short tasks one after the other, so that their run time is learned.

    Returns:
        The time at which the last task ended.
    """
    now_ms = 0
    for number in range(count):
        task_id = f'known/{number}'
        scheduler.add_task(
            make_task(task_id, workload='short', declared_work_ms=run_ms),
            now_ms,
        )
        assert of_kind(scheduler.decide(now_ms), PlaceTask)
        now_ms += run_ms
        scheduler.end_task(task_id, TaskResult.DONE, now_ms)
    return now_ms


class TestUrgentTasks:
    """
    Urgent tasks start first and preempt other tasks if no slot is free.
    """

    def test_urgent_task_goes_first(self) -> None:
        """
        Ordinary tasks that were queued earlier do not delay an urgent task.
        """
        scheduler = make_scheduler(1)
        for number in range(5):
            scheduler.add_task(make_task(f'j/{number}'), 0)
        scheduler.add_task(make_task('u/0', is_urgent=True), 0)
        placed = of_kind(scheduler.decide(0), PlaceTask)
        assert placed[0].task_id == 'u/0'

    def test_preempted_worker_is_kept_for_the_urgent_task(self) -> None:
        """
        A slot freed by preemption goes to the urgent task, not to a request or
        another task, and urgent tasks are never preempted themselves.
        """
        scheduler = make_scheduler(1)
        scheduler.add_task(make_task('u/0', is_urgent=True), 0)
        scheduler.add_task(make_task('j/0'), 0)
        scheduler.decide(0)
        scheduler.add_task(make_task('u/1', is_urgent=True), 100)
        evicted = of_kind(scheduler.decide(100), EvictTask)
        assert [item.task_id for item in evicted] == ['j/0']
        scheduler.end_task('j/0', TaskResult.EVICTED, 300)
        scheduler.add_request(make_request('r'), 300)
        scheduler.add_task(make_task('j/1'), 300)
        decisions = scheduler.decide(300)
        assert not of_kind(decisions, PlaceRequest)
        placed = of_kind(decisions, PlaceTask)
        assert [item.task_id for item in placed] == ['u/1']

    def test_partly_freed_worker_is_kept(self) -> None:
        """
        If an urgent task needs two slots, an ordinary task does not start on
        the one that becomes free first.
        """
        scheduler = make_scheduler(1)
        scheduler.add_task(make_task('j/0'), 0)
        scheduler.add_task(make_task('j/1'), 0)
        scheduler.decide(0)
        scheduler.add_task(
            make_task('u/0', demand=SLOT + SLOT, is_urgent=True), 100
        )
        assert len(of_kind(scheduler.decide(100), EvictTask)) == 2
        scheduler.end_task('j/0', TaskResult.EVICTED, 200)
        scheduler.add_task(make_task('j/2'), 200)
        assert not of_kind(scheduler.decide(200), PlaceTask)
        scheduler.end_task('j/1', TaskResult.EVICTED, 300)
        placed = of_kind(scheduler.decide(300), PlaceTask)
        assert [item.task_id for item in placed] == ['u/0']

    def test_reserved_worker_is_not_preempted_again(self) -> None:
        """
        A second urgent task does not preempt on a worker that is reserved for
        the first one.
        """
        scheduler = make_scheduler(1)
        scheduler.add_task(make_task('j/0'), 0)
        scheduler.add_task(make_task('j/1'), 0)
        scheduler.decide(0)
        for number in range(2):
            scheduler.add_task(make_task(f'u/{number}', is_urgent=True), 100)
        evicted = of_kind(scheduler.decide(100), EvictTask)
        assert len(evicted) == 1
        scheduler.end_task(evicted[0].task_id, TaskResult.EVICTED, 200)
        decisions = scheduler.decide(200)
        placed = of_kind(decisions, PlaceTask)
        assert [item.task_id for item in placed] == ['u/0']
        assert len(of_kind(decisions, EvictTask)) == 1

    def test_two_urgent_tasks_preempt_two_workers(self) -> None:
        """
        Two urgent tasks preempt at once if two workers run ordinary tasks.
        """
        scheduler = make_scheduler(2, slot_count=1)
        scheduler.add_task(make_task('j/0'), 0)
        scheduler.add_task(make_task('j/1'), 0)
        scheduler.decide(0)
        for number in range(2):
            scheduler.add_task(make_task(f'u/{number}', is_urgent=True), 100)
        evicted = of_kind(scheduler.decide(100), EvictTask)
        assert {item.task_id for item in evicted} == {'j/0', 'j/1'}

    def test_cancelled_urgent_task_releases_its_reservation(self) -> None:
        """
        A worker reserved for a cancelled urgent task runs other tasks again.
        """
        scheduler = make_scheduler(1, slot_count=1)
        scheduler.add_task(make_task('j/0'), 0)
        scheduler.decide(0)
        scheduler.add_task(make_task('u/0', is_urgent=True), 100)
        scheduler.decide(100)
        scheduler.cancel_task('u/0', 200)
        scheduler.end_task('j/0', TaskResult.EVICTED, 300)
        scheduler.add_task(make_task('j/1'), 300)
        assert of_kind(scheduler.decide(300), PlaceTask)


class TestShortTasks:
    """
    Long tasks do not delay short ones.
    """

    def test_long_tasks_leave_slots_to_short_ones(self) -> None:
        """
        A short task that arrives after many long ones starts at once.
        """
        scheduler = make_scheduler(4, slot_count=8)
        now_ms = run_short_tasks(scheduler, 30, 100)
        for number in range(60):
            task = make_task(
                f'long/{number}', workload='long', declared_work_ms=60_000
            )
            scheduler.add_task(task, now_ms)
        scheduler.decide(now_ms)
        scheduler.add_task(make_task('t/0', workload='short'), now_ms + 10)
        placed = of_kind(scheduler.decide(now_ms + 10), PlaceTask)
        assert [item.task_id for item in placed] == ['t/0']
        assert 'long tasks occupy all' in scheduler.explain('long/59')

    def test_stragglers_are_evicted_for_waiting_short_tasks(self) -> None:
        """
        Tasks that were expected to be short, but run long, are evicted.
        """
        scheduler = make_scheduler(1, slot_count=8)
        now_ms = run_short_tasks(scheduler, 30, 100)
        for number in range(20):
            scheduler.add_task(
                make_task(f't/{number}', workload='short'), now_ms
            )
        count = len(of_kind(scheduler.decide(now_ms), PlaceTask))
        assert count >= 7
        assert not of_kind(scheduler.decide(now_ms + 300), EvictTask)
        evicted: list[EvictTask] = []
        for later_ms in range(1000, 6000, 100):
            decisions = scheduler.decide(now_ms + later_ms)
            evicted.extend(of_kind(decisions, EvictTask))
        assert 1 <= len(evicted) < count
        assert 'reserved for short tasks' in evicted[0].reason

    def test_least_attained_service_goes_first(self) -> None:
        """
        A task that already ran for long does not delay one that never ran.
        """
        for order, first in (
            (QueueOrder.ATTAINED_SERVICE, 'fresh/0'),
            (QueueOrder.FIFO, 'old/0'),
        ):
            scheduler = make_scheduler(
                1, slot_count=1, settings=PolicySettings(queue_order=order)
            )
            scheduler.add_task(make_task('old/0', done_work_ms=9000), 0)
            scheduler.add_task(make_task('fresh/0'), 1)
            placed = of_kind(scheduler.decide(2), PlaceTask)
            assert [item.task_id for item in placed] == [first]


class TestSizeEstimator:
    """
    Learned run times replace declared ones.
    """

    def test_learned_sizes_replace_wrong_declarations(self) -> None:
        """
        A workload whose declared run time is far too low is classified as
        long, unless the settings use declared sizes.
        """
        task = make_task('j/0', workload='long', declared_work_ms=100)
        known = {}
        for source in SizeEstimate:
            sizes = SizeEstimator(source=source)
            for _ in range(40):
                sizes.add_completed(make_task('s/0', declared_work_ms=100), 100)
            for _ in range(10):
                sizes.add_completed(task, 5000)
            known[source] = sizes.is_long(task)
        assert known == {
            SizeEstimate.LEARNED: True,
            SizeEstimate.DECLARED_SIZES: False,
        }
