"""
What the owner of a shard has held for longer than it should.

The state of workers is held against their own listings and the registry, that
of steps against the scheduling passes.
"""

from hawthornpier.fleet._difference import Difference, DifferenceKind
from hawthornpier.fleet._shard import Shard
from hawthornpier.fleet._worker_state import WorkerState
from hawthornpier.steps import Run, RunPhase, Step

# Orders, listings and passes of less than this are on their way.
_TRANSIT_MS = 3_000.0
# An entry of a worker is written with each of its heartbeats, and expires after
# 4.5 seconds without one.
_OLD_ENTRY_MS = 6_000.0


def stale_worker_state(worker: WorkerState, now_ms: float) -> list[Difference]:
    """
    Return how the owner's state of a worker differs from what it was last told.

    Args:
        worker: The worker.
        now_ms: The current time on the monotonic clock.
    """
    return [
        *_unlisted_runs(worker),
        *_unrecorded_runs(worker, now_ms),
        *_old_entry(worker, now_ms),
    ]


def stale_step(shard: Shard, step: Step) -> list[Difference]:
    """
    Return whether scheduling passes leave out a step that has waiting tasks.
    """
    age_ms = shard.considered_ms - max(
        step.considered_ms, step.startable_ms, step.job.accepted_ms
    )
    if age_ms <= _TRANSIT_MS or not _is_long_due(shard, step):
        return []
    waiting = step.waiting()
    if not waiting:
        return []
    return [
        Difference(
            kind=DifferenceKind.STEP_NOT_CONSIDERED,
            task=step.key,
            field=f'{len(waiting)} waiting tasks',
            age_ms=int(age_ms),
        )
    ]


def describe_order(run: Run) -> str:
    """
    Return which order about a run is pending.
    """
    if not run.has_unacknowledged_order:
        return 'no order pending'
    verb = 'stop' if run.phase is RunPhase.STOPPING else 'start'
    if verb == 'start' and not run.sent_ms:
        return 'start queued'
    return f'{verb} not acknowledged'


def is_unlisted(run: Run, worker: WorkerState) -> bool:
    """
    Return whether the last listing of a worker is without one of its runs.

    A listing that was requested before the run was placed tells nothing.
    """
    listed = worker.listed_load
    return listed is not None and run.listed_ms < listed.requested_ms


def _unlisted_runs(worker: WorkerState) -> list[Difference]:
    listed = worker.listed_load
    if listed is None:
        return []
    ages_ms = (
        (run, listed.requested_ms - _expected_ms(run))
        for run in worker.runs.values()
    )
    return [
        Difference(
            kind=DifferenceKind.RUN_NOT_LISTED,
            worker=worker.worker_id,
            task=run.task.key,
            field=f'attempt {run.attempt}',
            kept=f'{run.phase}, {describe_order(run)}',
            age_ms=int(age_ms),
        )
        for run, age_ms in ages_ms
        if age_ms > _TRANSIT_MS
    ]


def _expected_ms(run: Run) -> float:
    """
    Return when a listing last had to contain a run, or may have changed it.

    A listing that was requested before an order was acknowledged need not
    reflect it.
    """
    return max(run.listed_ms, run.order_acknowledged_ms)


def _unrecorded_runs(worker: WorkerState, now_ms: float) -> list[Difference]:
    if worker.listed_load is None:
        return []
    return [
        Difference(
            kind=DifferenceKind.LISTED_WITHOUT_RECORD,
            worker=worker.worker_id,
            task=task_key,
            field=f'attempt {attempt}',
            age_ms=int(now_ms - since_ms),
        )
        for (
            task_key,
            attempt,
        ), since_ms in worker.listed_load.unknown_runs.items()
        if now_ms - since_ms > _TRANSIT_MS
    ]


def _old_entry(worker: WorkerState, now_ms: float) -> list[Difference]:
    age = worker.entry_age
    age_ms = now_ms - age.read_ms
    if worker.is_unresponsive or not age.read_ms or age_ms <= _OLD_ENTRY_MS:
        return []
    return [
        Difference(
            kind=DifferenceKind.OLD_ENTRY,
            worker=worker.worker_id,
            field=f'{age.ignored} row' if age.ignored else 'no row',
            kept=f'{worker.entry.processor_millis} millis',
            age_ms=int(age_ms),
        )
    ]


def _is_long_due(shard: Shard, step: Step) -> bool:
    wall_ms = shard.clock.wall_ms() - _TRANSIT_MS
    return step in step.occurrence.due_steps(wall_ms)
