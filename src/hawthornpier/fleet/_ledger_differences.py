"""
Differences between what a shard's owner keeps count of and a new count.

The owner keeps the load of workers and the progress of steps by increments, and
each run in two places: with its worker and with its task.  See `_stale_state`
for what it knows from workers and from the registry.
"""

import itertools
from collections.abc import Iterable, Iterator, Mapping
from typing import TypeVar

from hawthornpier.fleet._difference import Difference, DifferenceKind
from hawthornpier.fleet._shard import Shard
from hawthornpier.fleet._stale_state import stale_step, stale_worker_state
from hawthornpier.fleet._worker_state import WorkerState
from hawthornpier.steps import Job, Run, Step

_Key = TypeVar('_Key', str, tuple[str, int])
# How many runs and tasks were compared, and the differences among them.
DifferenceBatch = tuple[int, list[Difference]]


def find_differences(shard: Shard) -> list[Difference]:
    """
    Return all differences in the state of a shard.

    Args:
        shard: The shard, between two changes of its state.
    """
    batches = walk_differences(shard)
    return list(itertools.chain.from_iterable(found for _, found in batches))


def walk_differences(shard: Shard) -> Iterator[DifferenceBatch]:
    """
    Yield the differences of one worker or step after the other.

    Workers and jobs may change, come and go between two of them.
    """
    for worker in tuple(shard.workers.values()):
        if shard.workers.get(worker.worker_id) is worker:
            found = _worker_differences(shard, worker)
            found += stale_worker_state(worker, shard.now_ms)
            yield (1 + len(worker.runs), found)
    yield (len(shard.reservations), _reservation_differences(shard))
    for job in tuple(shard.jobs.values()):
        if not job.is_terminal:
            yield (1, _job_differences(shard, job))
            for step in _steps_of(job):
                found = step_differences(shard, step)
                found += stale_step(shard, step)
                yield (1 + len(step.tasks), found)


def load_differences(
    worker: WorkerState, reserved: Iterable[Step]
) -> list[Difference]:
    """
    Compare a worker's load with its runs.

    Args:
        worker: The worker.
        reserved: The steps of tasks for which room is reserved on it.
    """
    counted = worker.recount(reserved).counters()
    return [
        Difference(
            kind=DifferenceKind.WORKER_COUNTER,
            worker=worker.worker_id,
            field=_field_name(group, key),
            kept=kept_counts.get(key, 0),
            counted=counted[group].get(key, 0),
        )
        for group, kept_counts in worker.counters().items()
        for key in _differing_keys(kept_counts, counted[group])
    ]


def step_differences(shard: Shard, step: Step) -> list[Difference]:
    """
    Compare the counters of a step with its tasks, and its runs with workers.
    """
    kept = {'done_count': step.done_count, 'busy_count': step.busy_count}
    done_count = sum(1 for task in step.tasks if task.is_done)
    idle_count = sum(1 for task in step.tasks if task.is_waiting)
    counted = {
        'done_count': done_count,
        'busy_count': len(step.tasks) - idle_count,
    }
    counters = [
        Difference(
            kind=DifferenceKind.STEP_COUNTER,
            task=step.key,
            field=name,
            kept=kept[name],
            counted=counted[name],
        )
        for name in _differing_keys(kept, counted)
    ]
    runs = itertools.chain.from_iterable(task.runs for task in step.tasks)
    unplaced = [
        _run_difference(DifferenceKind.RUN_WITHOUT_WORKER, run)
        for run in runs
        if not _is_with_worker(shard, run)
    ]
    return counters + unplaced


def _worker_differences(shard: Shard, worker: WorkerState) -> list[Difference]:
    reserved = [
        reservation.task.step
        for reservation in shard.reservations.values()
        if reservation.destination is worker
    ]
    strays = [
        _run_difference(DifferenceKind.RUN_WITHOUT_TASK, run)
        for run in worker.runs.values()
        if run not in run.task.runs
    ]
    return load_differences(worker, reserved) + strays


def _reservation_differences(shard: Shard) -> list[Difference]:
    return [
        Difference(
            kind=DifferenceKind.STALE_RESERVATION,
            worker=reservation.destination.worker_id,
            task=reservation.task.key,
        )
        for reservation in shard.reservations.values()
        if shard.workers.get(reservation.destination.worker_id)
        is not reservation.destination
    ]


def _job_differences(shard: Shard, job: Job) -> list[Difference]:
    job_id = job.plan.job_id
    if shard.is_active(job_id):
        return []
    return [Difference(kind=DifferenceKind.INACTIVE_JOB, task=job_id)]


def _steps_of(job: Job) -> Iterator[Step]:
    for occurrence in job.occurrences:
        yield from occurrence.steps


def _is_with_worker(shard: Shard, run: Run) -> bool:
    worker = shard.workers.get(run.worker_id)
    return worker is not None and worker.runs.get(run.key) is run


def _run_difference(kind: DifferenceKind, run: Run) -> Difference:
    return Difference(
        kind=kind,
        worker=run.worker_id,
        task=run.task.key,
        field=f'attempt {run.attempt} {run.phase}',
    )


def _differing_keys(
    kept: Mapping[_Key, int], counted: Mapping[_Key, int]
) -> list[_Key]:
    if kept == counted:
        return []
    keys = {**kept, **counted}
    return [key for key in keys if kept.get(key, 0) != counted.get(key, 0)]


def _field_name(group: str, key: object) -> str:
    return str(key) if group == 'totals' else f'{group} {key}'
