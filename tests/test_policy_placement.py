"""
Tests of the capacity index, fair shares and limits.

G7 is a guarantee listed in README.md.
"""

import random

from policy_builders import (
    SLOT,
    make_scheduler,
    make_task,
    make_worker,
    of_kind,
)

from hawthornpier.messages import Resources
from hawthornpier.policy import PlaceTask, RejectTask, WorkloadLimits
from hawthornpier.policy._index import CapacityIndex


class TestCapacityIndex:
    """
    The index finds free workers at a cost independent of their number.
    """

    def test_most_free_workers_come_first(self) -> None:
        """
        The workers with the most free slots are probed first, which spreads
        the load.
        """
        index = CapacityIndex(source=random.Random(1))
        for number in range(8):
            index.update(f'w{number}', number % 4)
        probed = list(index.probe(1, 4))
        assert set(probed[:2]) == {'w3', 'w7'}
        assert set(probed[2:]) == {'w2', 'w6'}

    def test_probe_is_bounded(self) -> None:
        """
        The number of probed workers does not grow with the shard.
        """
        index = CapacityIndex(source=random.Random(1))
        for number in range(5000):
            index.update(f'w{number}', number % 9)
        assert len(list(index.probe(1, 32))) == 32

    def test_discarded_worker_is_not_found(self) -> None:
        """
        G7: nothing is placed on a discarded worker.

        An update or a repeated discard must not bring it back.
        """
        index = CapacityIndex(source=random.Random(1))
        for number in range(4):
            index.update(f'w{number}', 1)
        index.discard('w1')
        index.update('w3', 0)
        index.discard('w1')
        assert set(index.probe(0, 9)) == {'w0', 'w2', 'w3'}


class TestFairShares:
    """
    Members and workloads get shares by their weights, up to their limits.
    """

    def test_shares_follow_weights(self) -> None:
        """
        A member with twice the weight gets twice the slots.
        """
        scheduler = make_scheduler(6)
        scheduler.set_limits(
            [
                WorkloadLimits(name='a', member='a', weight=2),
                WorkloadLimits(name='c', member='c', weight=1),
            ]
        )
        for number in range(30):
            scheduler.add_task(make_task(f'a/{number}', member='a'), 0)
            scheduler.add_task(make_task(f'c/{number}', member='c'), 0)
        placed = of_kind(scheduler.decide(1), PlaceTask)
        count = sum(task.task_id.startswith('a/') for task in placed)
        assert (count, len(placed)) == (8, 12)

    def test_share_is_that_of_the_scarcest_resource(self) -> None:
        """
        The share of a member is that of the resource it uses most of.

        A member whose tasks use much memory gets fewer slots than one whose
        tasks do not.
        """
        scheduler = make_scheduler(4, slot_count=4)
        large = SLOT + Resources(memory_bytes=20)
        for number in range(20):
            scheduler.add_task(
                make_task(f'a/{number}', member='a', demand=large), 0
            )
            scheduler.add_task(make_task(f'c/{number}', member='c'), 0)
        placed = of_kind(scheduler.decide(1), PlaceTask)
        large_count = sum(task.task_id.startswith('a/') for task in placed)
        assert large_count < len(placed) - large_count

    def test_limit_is_enforced_and_explained(self) -> None:
        """
        A workload stays within its limit, and the explanation names it.
        """
        scheduler = make_scheduler(4)
        scheduler.set_limits(
            [
                WorkloadLimits(name='b', member='m', max_running_count=2),
            ]
        )
        for number in range(4):
            scheduler.add_task(make_task(f'j/{number}'), 0)
        assert len(of_kind(scheduler.decide(1), PlaceTask)) == 2
        waits = {scheduler.explain(f'j/{number}') for number in range(4)}
        assert waits == {'', 'max_running_count of b is 2'}

    def test_limit_does_not_hold_back_others(self) -> None:
        """
        A task that its limit holds back blocks no task of another member.

        Guards against a limit that counts as a lack of resources, for which
        tasks of the same size or larger need not be tried.
        """
        scheduler = make_scheduler(1)
        scheduler.set_limits(
            [
                WorkloadLimits(name='b', member='a', max_running_count=0),
            ]
        )
        scheduler.add_task(make_task('a/0', member='a'), 0)
        scheduler.add_task(make_task('b/0', member='m'), 0)
        placed = of_kind(scheduler.decide(1), PlaceTask)
        assert [task.task_id for task in placed] == ['b/0']

    def test_large_task_does_not_block_small_ones(self) -> None:
        """
        A task that fits on no worker now does not block its workload.
        """
        scheduler = make_scheduler(2)
        scheduler.add_task(make_task('old/0'), 0)
        scheduler.add_task(make_task('old/1'), 0)
        scheduler.decide(1)
        scheduler.add_task(make_task('big/0', demand=SLOT + SLOT), 2)
        scheduler.add_task(make_task('small/0'), 3)
        placed = of_kind(scheduler.decide(4), PlaceTask)
        assert [task.task_id for task in placed] == ['small/0']
        assert 'no worker has 2 slots free' in scheduler.explain('big/0')


class TestRejection:
    """
    Tasks that can never run are rejected; all others wait.
    """

    def test_reason_names_dimension_and_largest_worker(self) -> None:
        """
        The reason names the demanded amount and the largest worker's.
        """
        scheduler = make_scheduler(2)
        demand = SLOT + Resources(memory_bytes=99)
        scheduler.add_task(make_task('j/0', demand=demand), 0)
        rejected = of_kind(scheduler.decide(5000), RejectTask)
        assert rejected[0].reason == (
            'memory_bytes 109 exceeds the largest worker, which has 20'
        )

    def test_nothing_is_rejected_before_all_workers_are_known(self) -> None:
        """
        A new owner does not reject a task that fits on a worker that is not
        known yet.
        """
        scheduler = make_scheduler(1)
        demand = SLOT + SLOT + SLOT
        scheduler.add_task(make_task('j/0', demand=demand), 0)
        assert not scheduler.decide(100)
        scheduler.remove_worker('w0', 200)
        assert not scheduler.decide(90_000)

    def test_tasks_wait_for_lost_capacity(self) -> None:
        """
        A task that fits only on a worker that was lost is not rejected.
        """
        scheduler = make_scheduler(1)
        scheduler.add_worker(make_worker('large', 4), 0)
        scheduler.remove_worker('large', 1000)
        demand = SLOT + SLOT + SLOT
        scheduler.add_task(make_task('j/0', demand=demand), 2000)
        assert not of_kind(scheduler.decide(60_000), RejectTask)


class TestCancellation:
    """
    Bursts of cancellations do not grow the queue.
    """

    def test_cancelled_tasks_are_removed_from_the_queue(self) -> None:
        """
        Cancelled tasks take up no lasting memory and do not delay the next
        decision.
        """
        scheduler = make_scheduler(1)
        for number in range(5000):
            task_id = f'j/{number}'
            scheduler.add_task(make_task(task_id), 0)
            scheduler.cancel_task(task_id, 0)
        scheduler.add_task(make_task('kept/0'), 0)
        heaps = scheduler._parts.tasks._groups.values()
        assert sum(map(len, heaps)) < 200
        placed = of_kind(scheduler.decide(1), PlaceTask)
        assert [task.task_id for task in placed] == ['kept/0']
