"""
Clears workers for filling images that harm what lasts nearly everywhere.

Lasting tasks stay where they started.  As some of them leave, the rest can
end up on all workers, each with room, while a filling image that harms them
finds no worker.  Moving a few lasting tasks together frees whole workers.
"""

from collections.abc import Iterable
from operator import itemgetter

from hawthornpier.fleet._disturbance import InterferenceModel
from hawthornpier.fleet._pacing import HARMFUL_EFFECT
from hawthornpier.fleet._shard import Shard
from hawthornpier.fleet._worker_state import WorkerState
from hawthornpier.steps import Run, Step

# A filling step that found no worker for this long asks for a clearing.
_STARVATION_MS = 1_500.0
_INTERVAL_MS = 500.0
# Tasks that one pass may move, and may be on their way at a time.
_MAX_MOVES = 2
# A worker stays cleared for this long after the last request.
_EVACUATION_MS = 6_000.0


class Evacuation:
    """
    Moves lasting tasks away from the worker that takes the fewest moves.
    """

    def __init__(self, shard: Shard) -> None:
        self._shard = shard
        self._passed_ms: float = 0

    def run_pass(self, steps: Iterable[Step]) -> None:
        """
        Look at the filling steps that wait, and clear for the oldest one.
        """
        now_ms = self._shard.now_ms
        if now_ms - self._passed_ms < _INTERVAL_MS:
            return
        self._passed_ms = now_ms
        for worker in self._shard.workers.values():
            if now_ms > worker.evacuated_until_ms:
                worker.evacuated_for_image = ''
        image = self._most_starved_image(steps, now_ms)
        if image:
            self._evacuate_for(image, now_ms)

    def _most_starved_image(self, steps: Iterable[Step], now_ms: float) -> str:
        counts: dict[str, int] = {}
        for step in steps:
            is_starved = (
                step.ready_ms is not None
                and now_ms - step.ready_ms > _STARVATION_MS
            )
            if step.plan.is_filling and is_starved:
                waiting = len(step.waiting())
                image = step.plan.image
                counts[image] = counts.get(image, 0) + waiting
        return max(counts, key=lambda image: counts[image], default='')

    def _evacuate_for(self, image: str, now_ms: float) -> None:
        interference = self._shard.interference
        usable = [
            worker
            for worker in self._shard.workers.values()
            if worker.is_usable
        ]
        chosen = self._choose_worker(image, usable)
        if chosen is None:
            return
        chosen.evacuated_for_image = image
        chosen.evacuated_until_ms = now_ms + _EVACUATION_MS
        moved = 0
        for run in _harmed_runs(chosen, image, interference):
            if moved < _MAX_MOVES and _may_move_task(run.task.step):
                self._shard.stop_run(run, f'makes room for {image}')
                moved += 1

    def _choose_worker(
        self,
        image: str,
        usable: list[WorkerState],
    ) -> WorkerState | None:
        """
        Return the worker with the least to move that fits elsewhere.

        A worker that is being cleared for the image is finished first.
        """
        interference = self._shard.interference
        ranked = []
        for worker in usable:
            harmed = _harmed_runs(worker, image, interference)
            millis = sum(run.task.step.plan.processor_millis for run in harmed)
            is_other = worker.evacuated_for_image != image
            if harmed and not (worker.evacuated_for_image and is_other):
                rank = (is_other, millis, worker.worker_id)
                ranked.append((rank, worker, harmed))
        for _, candidate, runs in sorted(ranked, key=itemgetter(0)):
            if _fit_elsewhere(runs, candidate, usable):
                return candidate
        return None


def _harmed_runs(
    worker: WorkerState,
    image: str,
    interference: InterferenceModel,
) -> list[Run]:
    return [
        run
        for run in worker.long_running_runs()
        if interference.effect(run.task.step.plan.image, image)
        >= HARMFUL_EFFECT
    ]


def _may_move_task(step: Step) -> bool:
    """
    Tell whether all tasks of a step are at work, so that one may miss.
    """
    return all(
        len(task.runs) == 1 and task.runs[0].percent >= 100
        for task in step.tasks
    )


def _fit_elsewhere(
    runs: list[Run],
    origin: WorkerState,
    usable: list[WorkerState],
) -> bool:
    others = [
        worker
        for worker in usable
        if worker is not origin and not worker.evacuated_for_image
    ]
    room = [
        (
            worker.entry.processor_millis - worker.reserved_millis,
            worker.entry.memory_mb - worker.memory_mb,
        )
        for worker in others
    ]
    for run in runs:
        plan = run.task.step.plan
        fitting = [
            left
            for left in room
            if left[0] >= plan.processor_millis and left[1] >= plan.memory_mb
        ]
        if not fitting:
            return False
        taken = min(fitting)
        room.remove(taken)
        room.append(
            (taken[0] - plan.processor_millis, taken[1] - plan.memory_mb),
        )
    return True
