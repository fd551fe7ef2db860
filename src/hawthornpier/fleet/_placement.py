"""
Choice of a worker for a task.
"""

from collections.abc import Iterable

from hawthornpier.fleet._health import HealthStatus
from hawthornpier.fleet._interference import InterferenceModel
from hawthornpier.fleet._throttling import HARMFUL_EFFECT, pressure_margin
from hawthornpier.fleet._worker_state import WorkerState
from hawthornpier.steps import Step, Task

# Best-effort tasks on a worker may together request its spare processors
# multiplied by this factor.  A factor above 1 would overcommit them, which is
# possible since not all of the tasks need their processors all the time.
_BEST_EFFORT_OVERCOMMIT = 1.0


# A best-effort step waits at most this long for a worker on which its image is
# not harmful, since it would be throttled on the others.
_MAX_HARMLESS_WAIT_MS = 4_000.0


# Ranks of a worker for a long-running task by the number of distinct images of
# the long-running tasks there: none, one (a different image), several.
_IMAGE_MIX_RANKS = (1, 3, 2)


class Placement:
    """
    Chooses workers by their health, free resources and interference.

    Long-running tasks are packed by image, and best-effort tasks are kept away
    from the long-running ones that they would harm.

    Args:
        interference: The estimated interference between images.
    """

    def __init__(self, interference: InterferenceModel) -> None:
        self._interference = interference

    def choose(
        self,
        task: Task,
        workers: Iterable[WorkerState],
        now_ms: float,
        *,
        excluded: str = '',
    ) -> WorkerState | None:
        """
        Return the best eligible worker, or None if there is none.

        Args:
            task: The task to start.
            workers: The candidate workers.
            now_ms: The current time on the monotonic clock.
            excluded: The id of a worker that already runs a copy of the task.
        """
        best: WorkerState | None = None
        best_rank: tuple[float, ...] = ()
        for worker in workers:
            rank = None
            if worker.worker_id != excluded:
                rank = self._rank_if_eligible(worker, task, now_ms)
            if rank is not None and (best is None or rank < best_rank):
                best = worker
                best_rank = rank
        return best

    def _rank_if_eligible(
        self,
        worker: WorkerState,
        task: Task,
        now_ms: float,
    ) -> tuple[float, ...] | None:
        if self._is_eligible(worker, task.step, now_ms):
            return self._rank(worker, task, now_ms)
        return None

    def _is_eligible(
        self,
        worker: WorkerState,
        step: Step,
        now_ms: float,
    ) -> bool:
        if not worker.is_usable or not worker.fits(step):
            return False
        label = step.plan.required_label
        if label and label not in worker.entry.labels:
            return False
        health_status = worker.health.health_status(now_ms)
        if health_status is HealthStatus.PROBATION:
            return not worker.runs
        return health_status < HealthStatus.PROBATION

    def _rank(
        self,
        worker: WorkerState,
        task: Task,
        now_ms: float,
    ) -> tuple[float, ...] | None:
        plan = task.step.plan
        is_far = bool(plan.near_rack) and plan.near_rack != worker.entry.rack
        penalty = float(worker.health.health_status(now_ms))
        if worker.worker_id in task.avoided_workers:
            penalty += 2
        head = (penalty, float(is_far))
        if plan.is_lasting:
            return (*head, *self._long_running_rank(worker, task.step))
        if plan.is_filling:
            tail = self._best_effort_rank(worker, task.step, now_ms)
            return None if tail is None else (*head, *tail)
        return (*head, *self._reserving_rank(worker, task.step))

    def _long_running_rank(
        self,
        worker: WorkerState,
        step: Step,
    ) -> tuple[float, ...]:
        # Tasks of the same image share workers, so that a best-effort image
        # that harms some images finds workers without these.  A task that
        # fits on no such worker goes to one without long-running tasks, else
        # to one whose images are mixed already, so that few are mixed.
        image = step.plan.image
        images = {
            run.task.step.plan.image for run in worker.long_running_runs()
        }
        mix_rank = _IMAGE_MIX_RANKS[min(len(images), 2)]
        if images == {image}:
            mix_rank = 0
        harm = max(
            (
                self._interference.effect(image, run.task.step.plan.image)
                for run in worker.best_effort_runs()
            ),
            default=0,
        )
        is_evacuated = bool(worker.evacuated_for_image) and (
            self._interference.effect(image, worker.evacuated_for_image)
            >= HARMFUL_EFFECT
        )
        return (
            float(is_evacuated),
            float(mix_rank),
            float(image not in images),
            round(harm, 1),
            -float(worker.reserved_millis),
        )

    def _reserving_rank(
        self,
        worker: WorkerState,
        step: Step,
    ) -> tuple[float, ...]:
        # The rank for a task that is neither long-running nor best-effort.  If
        # several workers have enough spare processors, those with long-running
        # tasks come first, because they have fewer best-effort tasks that would
        # be displaced.
        left = worker.spare_millis - step.plan.processor_millis
        return (
            0 if left >= 0 else 1.0,
            0 if worker.long_running_count else 1.0,
            float(left) if left >= 0 else -float(left),
        )

    def _best_effort_rank(
        self,
        worker: WorkerState,
        step: Step,
        now_ms: float,
    ) -> tuple[float, ...] | None:
        need = step.plan.processor_millis
        left = worker.spare_millis * _BEST_EFFORT_OVERCOMMIT - need
        if left < 0 and worker.best_effort_count:
            return None
        if not worker.long_running_count:
            return (0, -left)
        if left < 0:
            return None
        effect = self._max_effect(worker, step)
        if effect >= HARMFUL_EFFECT and not _has_waited(step, now_ms):
            return None
        spare = pressure_margin(worker, step, self._interference, now_ms)
        if spare < 0:
            return None
        return (round(effect, 1), -spare)

    def _max_effect(self, worker: WorkerState, step: Step) -> float:
        return max(
            (
                self._interference.effect(
                    run.task.step.plan.image,
                    step.plan.image,
                )
                for run in worker.long_running_runs()
            ),
            default=0,
        )


def _has_waited(step: Step, now_ms: float) -> bool:
    """
    Return whether a step has waited long enough to accept a harmful placement.
    """
    ready_ms = now_ms if step.ready_ms is None else step.ready_ms
    return now_ms - ready_ms > _MAX_HARMLESS_WAIT_MS
