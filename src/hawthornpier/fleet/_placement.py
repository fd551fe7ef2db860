"""
The choice of a worker for one task.
"""

from collections.abc import Iterable

from hawthornpier.fleet._disturbance import InterferenceModel
from hawthornpier.fleet._health import HealthStatus
from hawthornpier.fleet._pacing import HARMFUL_EFFECT, pressure_margin
from hawthornpier.fleet._worker_state import WorkerState
from hawthornpier.steps import Step, Task

# Filling tasks may together ask for this part more than what is left, since
# not all of them need their processors all the time.
_BEST_EFFORT_OVERCOMMIT = 1.0


# A filling step waits this long for workers where it is harmless, since it
# would be slowed on the others.
_MAX_HARMLESS_WAIT_MS = 4_000.0


# By the number of lasting images on a worker: none, another one, several.
_IMAGE_MIX_RANKS = (1, 3, 2)


class Placement:
    """
    Packs lasting tasks together and keeps filling tasks away from them.

    Args:
        disturbance: What is known of the disturbance by pairs of images.
    """

    def __init__(self, interference: InterferenceModel) -> None:
        self._disturbance = interference

    def choose(
        self,
        task: Task,
        workers: Iterable[WorkerState],
        now_ms: float,
        *,
        excluded: str = '',
    ) -> WorkerState | None:
        """
        Return the best worker that has room, or None.

        Args:
            task: The task to start.
            workers: The workers that may run it.
            now_ms: The current time.
            excluded: A worker that already runs a copy.
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
        doubt = float(worker.health.health_status(now_ms))
        if worker.worker_id in task.avoided_workers:
            doubt += 2
        head = (doubt, float(is_far))
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
        # Equal images share workers, so that a filling image that harms some
        # of them finds workers without these.  What does not fit there goes
        # where images are mixed already, so that few workers are mixed.
        image = step.plan.image
        images = {
            run.task.step.plan.image for run in worker.long_running_runs()
        }
        mixture = _IMAGE_MIX_RANKS[min(len(images), 2)]
        if images == {image}:
            mixture = 0
        harm = max(
            (
                self._disturbance.effect(image, run.task.step.plan.image)
                for run in worker.best_effort_runs()
            ),
            default=0,
        )
        is_cleared = bool(worker.evacuated_for_image) and (
            self._disturbance.effect(image, worker.evacuated_for_image)
            >= HARMFUL_EFFECT
        )
        return (
            float(is_cleared),
            float(mixture),
            float(image not in images),
            round(harm, 1),
            -float(worker.reserved_millis),
        )

    def _reserving_rank(
        self,
        worker: WorkerState,
        step: Step,
    ) -> tuple[float, ...]:
        # Beside lasting tasks first: there is less filling work to displace.
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
        spare = pressure_margin(worker, step, self._disturbance, now_ms)
        if spare < 0:
            return None
        return (round(effect, 1), -spare)

    def _max_effect(self, worker: WorkerState, step: Step) -> float:
        return max(
            (
                self._disturbance.effect(
                    run.task.step.plan.image,
                    step.plan.image,
                )
                for run in worker.long_running_runs()
            ),
            default=0,
        )


def _has_waited(step: Step, now_ms: float) -> bool:
    """
    Tell whether a step found no harmless place for some time.
    """
    ready_ms = now_ms if step.ready_ms is None else step.ready_ms
    return now_ms - ready_ms > _MAX_HARMLESS_WAIT_MS
