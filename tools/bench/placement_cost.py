"""
CPU time of one placement by the number of workers in a shard.
"""

import time

from hawthornpier.messages import Resources, TaskResult
from hawthornpier.policy import (
    PolicySettings,
    Scheduler,
    TaskDemand,
    WorkerInfo,
)
from tools.bench.variants import VARIANTS

WORKER_COUNTS = (24, 240, 2_400, 22_000)
_PLACEMENT_COUNT = 400
_ROUND_COUNT = 5
_DEMAND = Resources(
    processor_millis=1_000,
    memory_bytes=1_000,
    slot_count=1,
)


def measure() -> dict[str, dict[str, float]]:
    """
    Return the CPU time in us to queue, place and end one task.

    The outer key is the variant, the inner one the number of workers.

    Three quarters of all slots are occupied before, as on a busy day.
    """
    return {
        name: {
            str(count): _placement_us(VARIANTS[name], count)
            for count in WORKER_COUNTS
        }
        for name in ('ours', 'first_fit')
    }


def _placement_us(settings: PolicySettings, worker_count: int) -> float:
    scheduler = Scheduler(settings=settings, seed=1)
    for number in range(worker_count):
        _add_worker(scheduler, number)
    _occupy_slots(scheduler, worker_count)
    return min(
        _time_round(scheduler, round_number)
        for round_number in range(_ROUND_COUNT)
    )


def _add_worker(scheduler: Scheduler, number: int) -> None:
    scheduler.add_worker(
        WorkerInfo(
            worker_id=f'w{number}',
            region='region',
            failure_domain='domain',
            rack=f'rack{number // 8}',
            capacity=Resources(
                processor_millis=32_000,
                memory_bytes=125_000,
                slot_count=8,
            ),
        ),
        0,
    )


def _occupy_slots(scheduler: Scheduler, worker_count: int) -> None:
    for number in range(worker_count * 6):
        scheduler.adopt_task(
            _task(f'old/{number}'),
            f'w{number % worker_count}',
            0,
        )


def _time_round(scheduler: Scheduler, round_number: int) -> float:
    started = time.process_time()
    for number in range(_PLACEMENT_COUNT):
        now_ms = round_number * _PLACEMENT_COUNT + number
        task = _task(f'new{round_number}/{number}')
        scheduler.add_task(task, now_ms)
        decisions = scheduler.decide(now_ms)
        if len(decisions) != 1:
            raise RuntimeError(f'expected one placement, got {decisions}')
        scheduler.end_task(task.task_id, TaskResult.DONE, now_ms)
    elapsed = time.process_time() - started
    return elapsed * 1_000_000 / _PLACEMENT_COUNT


def _task(task_id: str) -> TaskDemand:
    return TaskDemand(
        task_id=task_id,
        member='member',
        workload='workload',
        demand=_DEMAND,
        declared_work_ms=1_000,
    )
