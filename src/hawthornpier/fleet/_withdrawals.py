"""
Starts that are given up before they are sent.
"""

import math

from hawthornpier.fleet._ports import Verdict
from hawthornpier.fleet._shard import Shard
from hawthornpier.fleet._worker_state import WorkerState
from hawthornpier.steps import Run, RunOutcome, RunPhase


def abandon_start(
    shard: Shard,
    run: Run,
    *,
    is_uncertain: bool,
    why: str,
    is_own_delay: bool,
) -> None:
    """
    Give up a start, so that the task can be placed again.

    If the worker may still execute the start, order a stop, which also prevents
    a late start, and avoid this worker for the task.

    Args:
        shard: The state of the shard.
        run: The run to start.
        is_uncertain: Whether the worker may still execute the start.
        why: The reason, for the log.
        is_own_delay: Whether the owner may have read the reply too late, for
            which the worker is not to blame.
    """
    worker = shard.workers[run.worker_id]
    if run.phase is not RunPhase.STARTING or run.key not in worker.runs:
        return
    if not is_own_delay:
        worker.health.record_refusal(shard.now_ms)
    if is_uncertain:
        if not is_own_delay:
            run.task.avoid_worker(run.worker_id)
        shard.stop_run(run, f'start may still be executed: {why}')
    else:
        withdraw_start(shard, run, why)


def withdraw_start(shard: Shard, run: Run, why: str) -> None:
    """
    Place a task again whose start its worker has certainly not executed.

    Args:
        shard: The state of the shard.
        run: The run whose start was rejected or not sent.
        why: The reason, for the log.
    """
    shard.log.record(
        'start_refused',
        task=run.task.key,
        attempt=run.attempt,
        worker=run.worker_id,
        why=why,
    )
    if shard.workers[run.worker_id].trial_run is run:
        # The trial was due and has not taken place.
        run.task.tried_ms = None
    shard.end_run(run, RunOutcome.LOST)


def withdraw_unsent_starts(
    shard: Shard,
    worker: WorkerState,
    placed_by_ms: float = math.inf,
    *,
    why: str = 'worker does not reply',
) -> None:
    """
    Place the tasks again whose starts have not been sent to their worker.

    The members of a gang are not placed again, because those that have started
    would end for want of the others.

    Args:
        shard: The state of the shard.
        worker: The worker.
        placed_by_ms: Starts that were placed later are kept.
        why: The reason, for the log.
    """
    for run in list(worker.runs.values()):
        is_unsent = run.phase is RunPhase.STARTING and not run.sent_ms
        is_unsent = is_unsent and run.started_ms <= placed_by_ms
        if is_unsent and not run.task.step.plan.is_gang:
            withdraw_start(shard, run, why)


def send_waiting_starts(shard: Shard) -> None:
    """
    Send the starts that had to wait, and withdraw those that wait for long.

    The tasks of the latter are placed again.  Their workers are not to blame,
    and meanwhile other tasks may have become more urgent, or have found a
    better worker.

    Args:
        shard: The state of the shard.
    """
    for run in shard.start_gate.take_expired():
        worker = shard.workers.get(run.worker_id)
        is_known = worker is not None and run.key in worker.runs
        if is_known and run.phase is RunPhase.STARTING and not run.sent_ms:
            withdraw_start(shard, run, 'owner has too many starts in flight')
    shard.start_gate.wake()


def withdraw_all_unsent_starts(shard: Shard, why: str) -> None:
    """
    Place the tasks of all starts again that were not sent.

    The members of a gang are left out, because those that have started would
    end for want of the others.

    Args:
        shard: The state of the shard.
        why: The reason, for the log.
    """
    for worker in shard.workers.values():
        withdraw_unsent_starts(shard, worker, why=why)


def is_start_due(shard: Shard, worker: WorkerState, run: Run) -> bool:
    """
    Return whether a queued start is still due, and withdraw it if it is not.

    Meanwhile, the run may have been stopped, the worker's capacity may have
    shrunk, or the worker may have begun to leave.  A start that was sent before
    is not withdrawn.
    """
    is_wanted = run.phase is RunPhase.STARTING
    why = 'worker is leaving' if worker.is_leaving else ''
    if worker.is_overcommitted(run.task.step):
        why = Verdict.NO_CAPACITY
    if run.sent_ms or not (why or run.stop_reason):
        return is_wanted
    withdraw_start(shard, run, run.stop_reason or why)
    return False
