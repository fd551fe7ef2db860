"""
Tests of the log of the times that tasks wait.
"""

import pytest
from fake_store import virtual_tests
from fleet_world import World

from hawthornpier.fleet import WorkerEntry
from hawthornpier.fleet._room import FreeRoom, find_shortage
from hawthornpier.fleet._worker_state import WorkerState
from hawthornpier.steps import StepPlan


def room_of(*free):
    """
    Return the free room of workers with this many free cores and GB each.
    """
    workers = [
        WorkerState(
            WorkerEntry(
                worker_id=f'w{number}',
                service='desk',
                address='w:80',
                failure_domain='z',
                processor_millis=cores * 1_000,
                memory_mb=memory_gb * 1_000,
                accelerator_count=0,
                incarnation_ms=1,
            ),
        )
        for number, (cores, memory_gb) in enumerate(free)
    ]
    return FreeRoom(workers, for_best_effort=False)


class TestShortage:
    """
    A lack of room is told by its cause.
    """

    @pytest.mark.parametrize(
        ('before', 'after', 'expected'),
        [
            (((8, 8),), ((8, 8),), 'excluded'),
            (((8, 8),), ((2, 8),), 'overtaken'),
            (((8, 2), (2, 8)), ((8, 2), (2, 8)), 'fragmented'),
            (((3, 9), (3, 9)), ((3, 9), (3, 9)), 'fragmented'),
            (((2, 9), (2, 9)), ((2, 9), (2, 9)), 'full'),
        ],
    )
    def test_causes_are_told_apart(self, before, after, expected):
        """
        Guards against a log that only tells that there is no room.
        """
        plan = StepPlan(task_count=1, processor_millis=5_000, memory_mb=5_000)
        cause = find_shortage(
            plan, before=room_of(*before), after=room_of(*after)
        )
        assert cause == expected


@virtual_tests(World)
class TestWaits:
    """
    The log divides the wait of each class of work by cause.
    """

    options = {'worker_count': 1}

    async def test_wait_for_room_is_told_from_others(self, world):
        """
        Guards against a class that starts late without a cause in the log.
        """
        first, second = (
            StepPlan(task_count=1, processor_millis=6_000),
            StepPlan(task_count=1, processor_millis=5_000, after=(0,)),
        )
        await world.wait_first_owner()
        blocking = world.plan(first, work_ms=3_000)
        waiting = world.plan(first, second, work_ms=200)
        await world.any_node().entry.submit(blocking)
        await world.run_for(100)
        await world.any_node().entry.submit(waiting)
        await world.run_for(6_000)
        lines = [
            fields['classes'].get('orders:plain', {})
            for _, kind, fields in world.log_lines
            if kind == 'wait_times'
        ]
        sums = {
            cause: sum(line.get('wait_ms', {}).get(cause, 0) for line in lines)
            for cause in ('intake', 'pass', 'room', 'order', 'confirmation')
        }
        assert sum(line.get('placed', 0) for line in lines) == 3
        assert 2_700 < sums.pop('room') < 3_100
        assert sum(sums.values()) < 300
        shortages = [line['shortage_ms'] for line in lines if line]
        assert sum(each.get('full', 0) for each in shortages) > 2_000
        assert len(lines) < 9
