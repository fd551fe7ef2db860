"""
CPU time of the policy per request or task, by the size of the shard.
"""

import collections
import statistics
import time
from collections.abc import Callable, Iterator

from capacity.measurement import Measurement
from capacity.shard import DEMAND, make_worker, new_scheduler

from hawthornpier.messages import TaskResult
from hawthornpier.policy import (
    PlaceRequest,
    PlaceTask,
    RequestDemand,
    RequestResult,
    Scheduler,
    TaskDemand,
)

# Adds, places and ends requests or tasks and returns how many were placed.  The
# arguments are the scheduler, the number to add and the time in ms.
_Round = Callable[[Scheduler, int, int], int]

_WORKER_COUNTS = (8, 64, 512)
_ROUND_COUNT = 15
_DEEP_QUEUE_LENGTH = 5_000
# Half of the slots, so that every request and task is placed at once.
_PLACEMENTS_PER_WORKER = 4
_TICK_MS = 1_000


def measure() -> Iterator[Measurement]:
    """
    Yield the cost to add, place and end a request and a task.

    Also yield the cost of a decision without work and that of a task while
    many others are queued.
    """
    for worker_count in _WORKER_COUNTS:
        for name, run_round in (
            ('request', _request_round),
            ('task', _task_round),
        ):
            yield Measurement(
                name=f'policy.{name} ({worker_count} workers)',
                amount=_microseconds(worker_count, run_round),
                unit='us',
            )
        yield Measurement(
            name=f'policy.idle decision ({worker_count} workers)',
            amount=_idle_microseconds(worker_count),
            unit='us',
        )
    yield Measurement(
        name=f'policy.task ({_DEEP_QUEUE_LENGTH} queued)',
        amount=_deep_queue_microseconds(),
        unit='us',
    )


def _scheduler(worker_count: int) -> Scheduler:
    scheduler = new_scheduler()
    for index in range(worker_count):
        scheduler.add_worker(make_worker(index), now_ms=0)
    return scheduler


def _microseconds(worker_count: int, run_round: _Round) -> float:
    scheduler = _scheduler(worker_count)
    count = worker_count * _PLACEMENTS_PER_WORKER
    costs = []
    for number in range(_ROUND_COUNT):
        started = time.process_time_ns()
        placed_count = run_round(scheduler, count, number * _TICK_MS)
        cost_ns = time.process_time_ns() - started
        if placed_count != count:
            raise RuntimeError(f'scheduler placed {placed_count} of {count}')
        costs.append(cost_ns / count / 1000)
    return statistics.median(costs)


def _idle_microseconds(worker_count: int) -> float:
    scheduler = _scheduler(worker_count)
    started = time.process_time_ns()
    for number in range(_TICK_MS):
        scheduler.decide(number)
    return (time.process_time_ns() - started) / _TICK_MS / 1000


def _deep_queue_microseconds() -> float:
    """
    Return the CPU time to end a task and place the next of a long queue.
    """
    scheduler = _scheduler(_WORKER_COUNTS[1])
    for index in range(_DEEP_QUEUE_LENGTH):
        scheduler.add_task(_task(f'0.{index}'), now_ms=0)
    running = collections.deque(_placed_tasks(scheduler, 0))
    started = time.process_time_ns()
    for number in range(_TICK_MS):
        scheduler.end_task(running.popleft(), TaskResult.DONE, number)
        running.extend(_placed_tasks(scheduler, number))
    return (time.process_time_ns() - started) / _TICK_MS / 1000


def _request_round(scheduler: Scheduler, count: int, now_ms: int) -> int:
    for index in range(count):
        demand = RequestDemand(
            request_id=f'{now_ms}-{index}',
            member='saskaton',
            service='pass-planner',
            demand=DEMAND,
            deadline_ms=now_ms + 2_000,
        )
        scheduler.add_request(demand, now_ms)
    placed_ids = [
        decision.request_id
        for decision in _decisions(scheduler, now_ms)
        if isinstance(decision, PlaceRequest)
    ]
    for request_id in placed_ids:
        scheduler.end_request(
            request_id,
            RequestResult.ANSWERED,
            duration_ms=10,
            now_ms=now_ms + 10,
        )
    return len(placed_ids)


def _task_round(scheduler: Scheduler, count: int, now_ms: int) -> int:
    for index in range(count):
        scheduler.add_task(_task(f'{now_ms}.{index}'), now_ms)
    placed_ids = _placed_tasks(scheduler, now_ms)
    for task_id in placed_ids:
        scheduler.end_task(task_id, TaskResult.DONE, now_ms + 500)
    return len(placed_ids)


def _task(task_id: str) -> TaskDemand:
    return TaskDemand(
        task_id=task_id,
        member='saskaton',
        workload='cold-room-watch',
        demand=DEMAND,
        declared_work_ms=60_000,
    )


def _placed_tasks(scheduler: Scheduler, now_ms: int) -> list[str]:
    return [
        decision.task_id
        for decision in _decisions(scheduler, now_ms)
        if isinstance(decision, PlaceTask)
    ]


def _decisions(scheduler: Scheduler, now_ms: int) -> Iterator[object]:
    while decisions := scheduler.decide(now_ms):
        yield from decisions
