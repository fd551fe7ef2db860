"""
Attribution of the crashes of workers to the tasks that ran there.

A task that crashes its workers does so as it starts.  If the loss of a run on a
crashed worker were not counted, such a task would crash worker after worker,
each time with all other runs there.
"""

import itertools
from collections.abc import Iterable

from hawthornpier.fleet._crash_evidence import attribute_crash, has_settled
from hawthornpier.fleet._shard import Shard
from hawthornpier.fleet._state_log import log_interrupted_runs
from hawthornpier.fleet._worker_state import WorkerState
from hawthornpier.steps import (
    CrashEvidence,
    RunOutcome,
    Suspicion,
    Task,
    count_crash,
    has_crashed_too_often,
)


def suspect_crash(shard: Shard, worker: WorkerState) -> None:
    """
    Keep the evidence against the runs of a worker that does not respond.

    It counts once the worker is known to have crashed.  Until then it is part
    of the progress of the jobs, so that a new owner counts the crash, too.
    """
    # A worker that drains ends its runs when it leaves.
    if worker.suspected_tasks or worker.entry.is_draining:
        return
    evidence = attribute_crash(
        worker.runs.values(),
        worker.alive_ms,
        was_in_touch=worker.was_in_touch_at_end,
    )
    for key, weight in evidence.items():
        task = worker.runs[key].task
        task.suspicions[worker.worker_id] = Suspicion(
            attempt=key[1],
            weight=weight,
            address=worker.entry.address,
            incarnation_ms=worker.entry.incarnation_ms,
        )
        worker.suspect([task], shard.now_ms)
        shard.mark_dirty(task)


def clear_suspicions(shard: Shard, worker: WorkerState) -> None:
    """
    Drop the evidence against the runs of a worker that responds again.

    Evidence that a previous owner had about an earlier incarnation counts.
    """
    worker.has_crashed = False
    for task, suspicion in _pop_suspicions(worker):
        _settle_suspicion(shard, task, suspicion, worker)


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
    _suspect_remaining_runs(shard, worker, why)
    for task, suspicion in _pop_suspicions(worker):
        _count_crash(shard, task, suspicion.attempt, suspicion.weight)


def presume_crash(shard: Shard, worker: WorkerState, why: str) -> None:
    """
    Count the loss of a worker that has possibly not crashed.

    It may be cut off from this process and from the registry, and run on.  Only
    tasks that had just started are suspected.  If another worker appears at the
    address, the crash is confirmed; if this one returns, it is refuted.

    Args:
        shard: The state of the shard.
        worker: The worker.
        why: What suggests that it has crashed.
    """
    _suspect_remaining_runs(shard, worker, why)
    _presume_crash_by_any(shard, worker.worker_id, worker.suspected_tasks)


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
    worker.expect_listing()
    shard.unlisted_tasks.pop(worker.worker_id, None)
    for run in list(worker.runs.values()):
        shard.end_run(run, RunOutcome.LOST)


def remember_missing_worker(shard: Shard, worker: WorkerState) -> None:
    """
    Keep the suspects of a worker that is removed, until it is known to return.
    """
    presume_crash(shard, worker, 'entry missing')
    if worker.suspected_tasks:
        shard.missing_suspects[worker.worker_id] = worker.suspected_tasks
    # Jobs that have been removed need no evidence.
    for worker_id, tasks in list(shard.missing_suspects.items()):
        if not any(_is_known(shard, task) for task in tasks):
            shard.missing_suspects.pop(worker_id)


def identify_missing_workers(shard: Shard, worker: WorkerState) -> None:
    """
    Decide what has become of missing workers, now that one was registered.

    Args:
        shard: The state of the shard.
        worker: The worker that was registered.
    """
    entry = worker.entry
    for worker_id, tasks in list(shard.missing_suspects.items()):
        is_same = worker_id == worker.worker_id
        suspects = [task for task in tasks if worker_id in task.suspicions]
        # Under the same id, the worker's reply tells whether it has crashed.
        replaced = [
            task
            for task in suspects
            if not is_same
            and task.suspicions[worker_id].is_replaced_at(
                entry.address, entry.incarnation_ms
            )
        ]
        for culprit in replaced:
            suspicion = culprit.suspicions.pop(worker_id)
            _count_crash(shard, culprit, suspicion.attempt, suspicion.weight)
        if is_same or replaced:
            shard.missing_suspects.pop(worker_id)
        if is_same:
            worker.suspect(suspects, shard.now_ms)


def restore_suspicions(shard: Shard) -> None:
    """
    Restore the evidence that the previous owner had when it was replaced.
    """
    tasks = itertools.chain.from_iterable(
        job.tasks() for job in shard.active_jobs()
    )
    suspected = [
        (task, worker_id) for task in tasks for worker_id in task.suspicions
    ]
    for task, worker_id in suspected:
        worker = shard.workers.get(worker_id)
        if worker is None:
            missing = shard.missing_suspects.setdefault(worker_id, [])
            if task not in missing:
                missing.append(task)
        else:
            _restore_suspicion(shard, task, worker)
    for present in shard.workers.values():
        identify_missing_workers(shard, present)


def presume_missing_workers_crashed(shard: Shard) -> None:
    """
    Count the loss of workers that the previous owner suspected to have crashed.

    Call this once the registry has been read; those that are still unknown then
    are missing from it.
    """
    for worker_id, tasks in list(shard.missing_suspects.items()):
        _presume_crash_by_any(shard, worker_id, tasks)


def _restore_suspicion(shard: Shard, task: Task, worker: WorkerState) -> None:
    suspicion = task.suspicions[worker.worker_id]
    if worker.has_crashed:
        task.suspicions.pop(worker.worker_id)
        _count_crash(shard, task, suspicion.attempt, suspicion.weight)
    elif worker.is_listed:
        task.suspicions.pop(worker.worker_id)
        _settle_suspicion(shard, task, suspicion, worker)
    elif task not in worker.suspected_tasks:
        worker.suspect([task], shard.now_ms)


def _suspect_remaining_runs(
    shard: Shard,
    worker: WorkerState,
    why: str,
) -> None:
    if worker.runs:
        log_interrupted_runs(shard, worker, why)
    suspect_crash(shard, worker)
    for run in worker.runs.values():
        if run.sent_ms and has_settled(run, worker.alive_ms):
            run.task.crashes.clear()


def _pop_suspicions(worker: WorkerState) -> list[tuple[Task, Suspicion]]:
    tasks = worker.suspected_tasks
    worker.suspected_tasks = []
    popped = [
        (task, task.suspicions.pop(worker.worker_id, None)) for task in tasks
    ]
    return [(task, each) for task, each in popped if each is not None]


def _presume_crash_by_any(
    shard: Shard,
    worker_id: str,
    tasks: Iterable[Task],
) -> None:
    for task in tasks:
        suspicion = task.suspicions.get(worker_id)
        if suspicion is None or suspicion.attempt in task.crashes:
            continue
        if suspicion.weight > CrashEvidence.WEAK:
            _count_crash(
                shard, task, suspicion.attempt, CrashEvidence.UNCERTAIN
            )


def _settle_suspicion(
    shard: Shard,
    task: Task,
    suspicion: Suspicion,
    worker: WorkerState,
) -> None:
    """
    Decide by the incarnation as which a worker has replied.
    """
    if suspicion.incarnation_ms in {0, worker.entry.incarnation_ms}:
        _refute_crash(shard, task, suspicion)
    else:
        _count_crash(shard, task, suspicion.attempt, suspicion.weight)


def _refute_crash(shard: Shard, task: Task, suspicion: Suspicion) -> None:
    task.crashes.pop(suspicion.attempt, None)
    shard.mark_dirty(task)


def _count_crash(
    shard: Shard,
    task: Task,
    attempt: int,
    weight: int,
) -> None:
    if not _is_known(shard, task):
        return
    count_crash(task, attempt, weight)
    if has_crashed_too_often(task):
        shard.log.record(
            'task_given_up',
            task=task.key,
            crashes=dict(task.crashes),
        )
    shard.record_outcome(task, attempt, RunOutcome.LOST, '')


def _is_known(shard: Shard, task: Task) -> bool:
    return task.step.job.plan.job_id in shard.jobs
