"""
Attribution of the crashes of workers to the tasks that ran there.

A task that crashes its workers does so as it starts.  If the loss of a run on a
crashed worker were not counted, such a task would crash worker after worker,
each time with all other runs there.
"""

import itertools
from collections.abc import Collection

from hawthornpier.fleet._shard import Shard
from hawthornpier.fleet._state_log import log_interrupted_runs
from hawthornpier.fleet._worker_state import RunKey, WorkerState
from hawthornpier.steps import (
    CrashEvidence,
    Run,
    RunOutcome,
    Suspicion,
    Task,
    has_crashed_too_often,
)

# A run that was started this recently may have caused the crash of its worker.
FRESH_RUN_MS = 500.0
# A task that has run for this long does not crash workers; its earlier crashes
# no longer count.
_SETTLED_MS = 30_000.0


def is_fresh(run: Run, last_reply_ms: float) -> bool:
    """
    Return whether a worker has not outlived the start of a run for long enough.

    Args:
        run: A run on the worker.
        last_reply_ms: When the worker last replied.
    """
    return run.is_delivered and run.sent_ms + FRESH_RUN_MS > last_reply_ms


def attribute_crash(
    runs: Collection[Run],
    last_reply_ms: float,
) -> dict[RunKey, CrashEvidence]:
    """
    Return the evidence that a crash of the worker gives against its runs.

    There is none against runs whose start was not sent, and against those that
    had been running for long.

    Args:
        runs: The runs on the worker when it crashed.
        last_reply_ms: When it last replied.
    """
    fresh = {_suspect_key(run) for run in runs if is_fresh(run, last_reply_ms)}
    just_started = (
        CrashEvidence.SOLE if len(fresh) == 1 else CrashEvidence.SHARED
    )
    evidence = {}
    for run in runs:
        if is_fresh(run, last_reply_ms):
            evidence[run.key] = just_started
        elif run.sent_ms and not _has_settled(run, last_reply_ms):
            evidence[run.key] = CrashEvidence.WEAK
    return evidence


def suspect_crash(shard: Shard, worker: WorkerState) -> None:
    """
    Keep the evidence against the runs of a worker that does not respond.

    It counts once the worker is known to have crashed.  Until then it is part
    of the progress of the jobs, so that a new owner counts the crash, too.
    """
    # A worker that drains ends its runs when it leaves.
    if worker.suspected_tasks or worker.entry.is_draining:
        return
    evidence = attribute_crash(worker.runs.values(), worker.last_reply_ms)
    for key, weight in evidence.items():
        task = worker.runs[key].task
        task.suspicions[worker.worker_id] = Suspicion(
            attempt=key[1], weight=weight
        )
        worker.suspected_tasks.append(task)
        shard.mark_dirty(task)


def clear_suspicions(shard: Shard, worker: WorkerState) -> None:
    """
    Drop the evidence against the runs of a worker that responds again.
    """
    worker.has_crashed = False
    for task, _ in _pop_suspicions(worker):
        shard.mark_dirty(task)


def restore_suspicions(shard: Shard, *, is_registry_read: bool) -> None:
    """
    Restore the evidence that the previous owner had when it was replaced.

    Args:
        shard: The state of the shard.
        is_registry_read: Whether a worker that is not known has left.
    """
    tasks = itertools.chain.from_iterable(
        job.tasks() for job in shard.active_jobs()
    )
    suspected = [
        (task, worker_id) for task in tasks for worker_id in task.suspicions
    ]
    for task, worker_id in suspected:
        worker = shard.workers.get(worker_id)
        if worker is not None:
            _restore_suspicion(shard, task, worker)
        elif is_registry_read:
            _count_crash(shard, task, task.suspicions.pop(worker_id))


def confirm_crash(shard: Shard, worker: WorkerState, why: str) -> None:
    """
    Count the crash of a worker against the tasks that ran there.

    The caller ends the runs.

    Args:
        shard: The state of the shard.
        worker: The worker.
        why: What shows that it has crashed.
    """
    worker.has_crashed = True
    if worker.runs:
        log_interrupted_runs(shard, worker, why)
    suspect_crash(shard, worker)
    for run in worker.runs.values():
        if run.sent_ms and _has_settled(run, worker.last_reply_ms):
            run.task.crashes.clear()
    for task, suspicion in _pop_suspicions(worker):
        _count_crash(shard, task, suspicion)


def end_crashed_incarnation(
    shard: Shard,
    worker: WorkerState,
    why: str,
) -> None:
    """
    End all runs of an incarnation of a worker that is known to have ended.

    Args:
        shard: The state of the shard.
        worker: The worker.
        why: What shows that the incarnation has ended.
    """
    confirm_crash(shard, worker, why)
    worker.is_listed = False
    shard.unlisted_tasks.pop(worker.worker_id, None)
    for run in list(worker.runs.values()):
        shard.end_run(run, RunOutcome.LOST)


def _restore_suspicion(shard: Shard, task: Task, worker: WorkerState) -> None:
    if worker.has_crashed:
        suspicion = task.suspicions.pop(worker.worker_id)
        _count_crash(shard, task, suspicion)
    elif worker.is_listed:
        task.suspicions.pop(worker.worker_id)
    elif task not in worker.suspected_tasks:
        worker.suspected_tasks.append(task)


def _pop_suspicions(worker: WorkerState) -> list[tuple[Task, Suspicion]]:
    tasks = worker.suspected_tasks
    worker.suspected_tasks = []
    popped = [
        (task, task.suspicions.pop(worker.worker_id, None)) for task in tasks
    ]
    return [(task, each) for task, each in popped if each is not None]


def _count_crash(shard: Shard, task: Task, suspicion: Suspicion) -> None:
    if task.step.job.plan.job_id not in shard.jobs:
        return
    task.crashes.setdefault(suspicion.attempt, suspicion.weight)
    if has_crashed_too_often(task):
        shard.log.record(
            'task_given_up',
            task=task.key,
            crashes=dict(task.crashes),
        )
    shard.record_outcome(task, suspicion.attempt, RunOutcome.LOST, '')


def _suspect_key(run: Run) -> str:
    # The members of a gang start together.
    step = run.task.step
    return step.key if step.plan.is_gang else run.task.key


def _has_settled(run: Run, last_reply_ms: float) -> bool:
    return last_reply_ms - run.sent_ms >= _SETTLED_MS
