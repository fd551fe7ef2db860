"""
Starts of tasks that may crash their worker.
"""

from collections.abc import Sequence

from hawthornpier.fleet._crash_evidence import FRESH_RUN_MS
from hawthornpier.fleet._placement import Placement
from hawthornpier.fleet._shard import Shard
from hawthornpier.fleet._worker_state import WorkerState
from hawthornpier.steps import (
    Run,
    RunPhase,
    Task,
    clear_suspicion,
    trial_interval_ms,
)

# A task waits at most this long for a worker without recently started runs.
_MAX_WAIT_MS = 1_500.0


class CrashTrials:
    """
    Starts suspects one at a time on a worker, so that a crash tells which.

    While one is on trial, nothing else is started on its worker.  Of the
    workers where no other run has just started, the one with the fewest runs is
    used, because all of them are lost in a crash.

    Args:
        shard: The state of the shard.
        placement: Ranks workers.
    """

    def __init__(self, shard: Shard, placement: Placement) -> None:
        self._shard = shard
        self._placement = placement
        # Since when tasks have been waiting for a trial, by step.
        self._waiting_since_ms: dict[str, float] = {}

    def end_trials(self) -> None:
        """
        Reopen the workers that have outlived the start of a suspect.
        """
        for worker in self._shard.workers.values():
            run = worker.trial_run
            if run is None:
                continue
            is_running = run.key in worker.runs
            if is_running and not _has_survived(run, worker):
                continue
            worker.trial_run = None
            worker.changed_ms = self._shard.now_ms
            if is_running:
                clear_suspicion(run.task)
                self._shard.mark_dirty(run.task)

    def start(self, task: Task, pool: Sequence[WorkerState]) -> None:
        """
        Start a suspect if there is a suitable worker.
        """
        ranks = {
            worker.worker_id: self._placement.rank(
                worker, task, self._shard.now_ms
            )
            for worker in self.suitable_workers([task], pool)
        }
        best = min(
            (
                (rank[0], len(self._shard.workers[worker_id].runs), worker_id)
                for worker_id, rank in ranks.items()
                if rank is not None
            ),
            default=None,
        )
        if best is None:
            return
        worker = self._shard.workers[best[2]]
        run = self._shard.start_run(task, worker, reason='trial of a suspect')
        self.begin(run)

    def begin(self, run: Run) -> None:
        """
        Start nothing else on the worker of a run of a suspect.
        """
        self._shard.workers[run.worker_id].trial_run = run
        run.task.tried_ms = self._shard.now_ms
        self._waiting_since_ms.pop(run.task.step.key, None)

    def suitable_workers(
        self,
        tasks: Sequence[Task],
        pool: Sequence[WorkerState],
    ) -> Sequence[WorkerState]:
        """
        Return the workers for a trial of a task, or of all members of a gang.

        These are the workers on which no other run has just started, or all
        workers if the step has waited for too long.  There are none until the
        trial is due.
        """
        now_ms = self._shard.now_ms
        if not all(_is_due(task, now_ms) for task in tasks):
            return []
        key = tasks[0].step.key
        since_ms = self._waiting_since_ms.setdefault(key, now_ms)
        if now_ms - since_ms > _MAX_WAIT_MS:
            return pool
        return [worker for worker in pool if _is_quiet(worker, now_ms)]


def _is_due(task: Task, now_ms: float) -> bool:
    if task.tried_ms is None:
        return True
    return now_ms - task.tried_ms >= trial_interval_ms(task)


def _is_quiet(worker: WorkerState, now_ms: float) -> bool:
    return not any(
        run.phase is RunPhase.STARTING or now_ms - run.sent_ms < FRESH_RUN_MS
        for run in worker.runs.values()
    )


def _has_survived(run: Run, worker: WorkerState) -> bool:
    return (
        run.phase is RunPhase.RUNNING
        and worker.last_reply_ms - run.sent_ms >= FRESH_RUN_MS
    )
