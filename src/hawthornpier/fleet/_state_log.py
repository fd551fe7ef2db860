"""
Logging of the state of a shard and of interrupted runs.
"""

import collections
from collections.abc import Iterator

from hawthornpier.fleet._interference import max_tail_ratio
from hawthornpier.fleet._observation_pace import ObservationPace
from hawthornpier.fleet._placement import Placement
from hawthornpier.fleet._shard import Shard
from hawthornpier.fleet._usability import unusable_reason
from hawthornpier.fleet._wait_times import task_kind
from hawthornpier.fleet._worker_state import WorkerState
from hawthornpier.steps import Step

_INTERVAL_MS = 1_000.0


class StateLog:
    """
    Logs the state of a shard once a second, or more rarely if that takes long.

    Args:
        shard: The state of the shard.
        placement: Tells why workers are not eligible.
    """

    def __init__(self, shard: Shard, placement: Placement) -> None:
        self._shard = shard
        self._placement = placement
        self._pace = ObservationPace(_INTERVAL_MS)

    def run_pass(self) -> None:
        """
        Log the state if that is due.
        """
        started_ms = self._shard.now_ms
        if self._pace.is_due(started_ms):
            log_shard_state(self._shard, self._placement)
            self._pace.record(started_ms, self._shard.now_ms)


def log_shard_state(shard: Shard, placement: Placement) -> None:
    """
    Log the capacity of the workers, its usage, and the waiting tasks.
    """
    waiting: collections.Counter[str] = collections.Counter()
    images: collections.Counter[str] = collections.Counter()
    jobs = collections.Counter(job.phase for job in shard.active_jobs())
    smallest: dict[str, Step] = {}
    for step in _waiting_steps(shard):
        kind = task_kind(step.plan)
        waiting[kind] += step.waiting_count
        if step.plan.is_filling:
            images[step.plan.image] += step.waiting_count
        smallest[kind] = min(
            step, smallest.get(kind, step), key=_processor_millis
        )
    workers = [worker for worker in shard.workers.values() if worker.is_usable]
    shard.log.record(
        'shard_state',
        shard=shard.name,
        epoch=shard.epoch,
        jobs=dict(jobs),
        waiting=dict(waiting),
        workers=len(workers),
        unusable_workers=len(shard.workers) - len(workers),
        unusable_reasons=collections.Counter(
            reason
            for worker in shard.workers.values()
            if (reason := unusable_reason(worker)) is not None
        ),
        trial_workers=sum(1 for worker in workers if worker.trial_run),
        capacity_millis=sum(
            worker.entry.processor_millis for worker in workers
        ),
        reserved_millis=sum(worker.reserved_millis for worker in workers),
        # Whether tasks wait for want of room, or of a worker that may be used:
        # the most that is free on one, and by kind of task the least that is
        # needed and how many workers are excluded for each reason.
        max_free_millis=max(
            (worker.free_millis for worker in workers), default=0
        ),
        min_waiting_millis={
            name: _processor_millis(least) for name, least in smallest.items()
        },
        exclusions={
            name: _exclusions(shard, placement, least)
            for name, least in smallest.items()
        },
        long_running_millis=sum(
            worker.long_running_millis for worker in workers
        ),
        best_effort_millis=sum(worker.best_effort_millis for worker in workers),
        long_running_workers=sum(
            1 for worker in workers if worker.long_running_count
        ),
        mixed_workers=sum(1 for worker in workers if _image_count(worker) > 1),
        waiting_images=dict(images.most_common(3)),
        memory_mb=sum(worker.memory_mb for worker in workers),
        max_tail_ratio=round(max(map(max_tail_ratio, workers), default=0), 2),
    )


def log_interrupted_runs(
    shard: Shard,
    worker: WorkerState,
    why: str,
) -> None:
    """
    Log the runs on a worker that has crashed or does not respond.

    Args:
        shard: The state of the shard.
        worker: The worker.
        why: What shows that the worker has crashed or does not respond.
    """
    shard.log.record(
        'worker_lapsed',
        worker=worker.worker_id,
        why=why,
        last_reply_age_ms=int(shard.now_ms - worker.last_reply_ms),
        runs=len(worker.runs),
        # By task: the attempt, and how long before the worker's last reply its
        # start was sent; negative if the worker has not replied since.
        run_ages_ms={
            run.task.key: (run.attempt, int(worker.last_reply_ms - run.sent_ms))
            for run in worker.runs.values()
            if run.sent_ms
        },
    )


def _waiting_steps(shard: Shard) -> Iterator[Step]:
    wall_ms = shard.clock.wall_ms()
    for job in shard.active_jobs():
        for occurrence in job.occurrences:
            for step in occurrence.due_steps(wall_ms):
                if step.waiting_count:
                    yield step


def _processor_millis(step: Step) -> int:
    return step.plan.processor_millis


def _exclusions(
    shard: Shard, placement: Placement, step: Step
) -> dict[str, int]:
    task = step.waiting()[0]
    service = shard.service_of(step.job)
    return collections.Counter(
        placement.exclusion(worker, task, shard.now_ms) or 'none'
        for worker in shard.workers.values()
        if worker.entry.service == service
    )


def _image_count(worker: WorkerState) -> int:
    return len(worker.long_running_images())
