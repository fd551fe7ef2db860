"""
Evacuation of workers for best-effort images that no worker can run.

Long-running tasks normally stay on the worker where they were started.  When
some of them end, the others may remain spread over all workers, so that a
best-effort image that harms them finds no worker although each has spare
processors.  Consolidating a few long-running tasks frees whole workers.
"""

from collections.abc import Iterable
from operator import itemgetter

from hawthornpier.fleet._interference import InterferenceModel
from hawthornpier.fleet._moves import Moves
from hawthornpier.fleet._placement import Placement
from hawthornpier.fleet._shard import Shard
from hawthornpier.fleet._throttling import HARMFUL_EFFECT
from hawthornpier.fleet._worker_state import WorkerState
from hawthornpier.steps import Run, RunPhase, Step

# A best-effort step that has found no worker for this long is starved, and a
# worker is evacuated for its image.
_STARVATION_MS = 1_500.0
_INTERVAL_MS = 500.0
# Maximum number of tasks that one pass moves off a worker, including those that
# are still stopping since an earlier pass.
_MAX_MOVES = 2
# A worker stays evacuated for an image for this long after the last pass that
# chose it.
_EVACUATION_MS = 6_000.0


class Evacuation:
    """
    Moves the long-running tasks that a starved best-effort image harms.

    For each such image, it evacuates the worker on which these tasks reserve
    the fewest processors.

    Args:
        shard: The state of the shard.
        placement: Chooses where the tasks move.
        moves: Moves them.
    """

    def __init__(
        self, shard: Shard, placement: Placement, moves: Moves
    ) -> None:
        self._shard = shard
        self._placement = placement
        self._moves = moves
        self._last_pass_ms: float = 0

    def run_pass(self, steps: Iterable[Step]) -> None:
        """
        Evacuate a worker for the best-effort image with most starved tasks.

        Does nothing if the previous pass was too recent.
        """
        now_ms = self._shard.now_ms
        if now_ms - self._last_pass_ms < _INTERVAL_MS:
            return
        self._last_pass_ms = now_ms
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
        destinations = [
            worker for worker in usable if not worker.evacuated_for_image
        ]
        harmed = _harmed_runs(chosen, image, self._shard.interference)
        moved = sum(run.phase is RunPhase.STOPPING for run in harmed)
        for run in harmed:
            if moved < _MAX_MOVES and self._move(run, destinations):
                moved += 1

    def _move(self, run: Run, destinations: list[WorkerState]) -> bool:
        task = run.task
        if not _may_move_task(task.step):
            return False
        service = self._shard.service_of(task.step.job)
        destination = self._placement.choose(
            task, _of_service(destinations, service), self._shard.now_ms
        )
        if destination is None:
            return False
        image = self._shard.workers[run.worker_id].evacuated_for_image
        self._moves.begin(run, destination, f'worker is evacuated for {image}')
        return True

    def _choose_worker(
        self,
        image: str,
        usable: list[WorkerState],
    ) -> WorkerState | None:
        """
        Return the worker to evacuate, or None.

        It is the one whose harmed runs reserve the fewest processors and fit
        on other workers.  A worker that is already being evacuated for the
        image is preferred.
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


def _of_service(
    workers: Iterable[WorkerState], service: str
) -> list[WorkerState]:
    return [worker for worker in workers if worker.entry.service == service]


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
    Return whether a task of a step may be made unavailable by a move.

    That is so if all tasks of the step are ready.
    """
    return all(
        len(task.runs) == 1
        and task.runs[0].is_ready
        and task.runs[0].phase is RunPhase.RUNNING
        for task in step.tasks
    )


def _fit_elsewhere(
    runs: list[Run],
    origin: WorkerState,
    usable: list[WorkerState],
) -> bool:
    others = [
        worker
        for worker in _of_service(usable, origin.entry.service)
        if worker is not origin and not worker.evacuated_for_image
    ]
    free_resources = [
        (
            worker.entry.processor_millis - worker.reserved_millis,
            worker.entry.memory_mb - worker.memory_mb,
        )
        for worker in others
    ]
    for run in runs:
        plan = run.task.step.plan
        fitting = [
            free
            for free in free_resources
            if free[0] >= plan.processor_millis and free[1] >= plan.memory_mb
        ]
        if not fitting:
            return False
        smallest = min(fitting)
        free_resources.remove(smallest)
        free_resources.append(
            (smallest[0] - plan.processor_millis, smallest[1] - plan.memory_mb),
        )
    return True
