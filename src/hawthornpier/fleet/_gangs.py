"""
Starts of gangs, whose tasks run together or not at all.
"""

from collections.abc import Sequence

from hawthornpier.fleet._crash_trials import CrashTrials
from hawthornpier.fleet._placement import Placement
from hawthornpier.fleet._shard import Shard
from hawthornpier.fleet._worker_state import WorkerState
from hawthornpier.steps import Run, Step, Task, is_crash_suspect


class GangPlacement:
    """
    Starts the tasks of a gang on workers at the same time.

    Args:
        shard: The state of the shard.
        placement: Chooses the workers.
        trials: Choose those of tasks that may crash their worker.
    """

    def __init__(
        self, shard: Shard, placement: Placement, trials: CrashTrials
    ) -> None:
        self._shard = shard
        self._placement = placement
        self._trials = trials

    def place(self, step: Step, pool: Sequence[WorkerState]) -> bool:
        """
        Start all tasks of a gang with the same attempt number, or none.

        Returns:
            Whether the gang has been started, now or earlier.
        """
        if any(task.runs for task in step.tasks):
            return True
        shard = self._shard
        attempt = max(shard.next_attempt(task) for task in step.tasks)
        is_trial = any(is_crash_suspect(task) for task in step.tasks)
        if is_trial:
            pool = self._trials.suitable_workers(step.tasks, pool)
        groups = _group_by_rack(pool) if step.plan.is_same_rack else [pool]
        for group in groups:
            runs = self._reserve(step.tasks, group, attempt)
            for run in runs:
                shard.order_start(run, 'gang')
                if is_trial:
                    self._trials.begin(run)
            if runs:
                return True
        return False

    def _reserve(
        self,
        tasks: Sequence[Task],
        pool: Sequence[WorkerState],
        attempt: int,
    ) -> list[Run]:
        shard = self._shard
        runs: list[Run] = []
        for task in tasks:
            worker = self._placement.choose(task, pool, shard.now_ms)
            if worker is None:
                for reserved in runs:
                    shard.workers[reserved.worker_id].release(reserved)
                return []
            run = Run(task, attempt, worker.worker_id, shard.now_ms)
            worker.charge(run)
            runs.append(run)
        return runs


def _group_by_rack(pool: Sequence[WorkerState]) -> list[list[WorkerState]]:
    racks: dict[str, list[WorkerState]] = {}
    for worker in pool:
        racks.setdefault(worker.entry.rack, []).append(worker)
    return sorted(racks.values(), key=_reserved_millis)


def _reserved_millis(workers: list[WorkerState]) -> int:
    return sum(worker.reserved_millis for worker in workers)
