"""
Evacuation of workers for best-effort images that no worker can run.

Long-running tasks normally stay on the worker where they were started.  When
some of them end, the others may remain spread over all workers, so that a
best-effort image that harms them finds no worker although each has spare
processors.  Consolidating a few long-running tasks frees whole workers.
"""

import collections
from collections.abc import Iterable
from operator import itemgetter

from hawthornpier.fleet._eligibility import find_exclusion, lacks_label
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
        for evacuated in self._shard.workers.values():
            if now_ms > evacuated.evacuated_until_ms:
                evacuated.evacuated_for_image = ''
        starved = _starved_steps(steps, now_ms)
        ranked = sorted(
            starved.items(),
            key=lambda entry: _waiting_count(entry[1]),
            reverse=True,
        )
        if not ranked:
            return
        usable = [
            worker
            for worker in self._shard.workers.values()
            if worker.is_usable
        ]
        roomy = _roomy_workers(usable)
        for image, waiting_steps in ranked:
            chosen = self._choose_worker(image, waiting_steps, usable, roomy)
            if chosen is not None:
                self._evacuate(chosen, image, usable, now_ms)
                return

    def _evacuate(
        self,
        chosen: WorkerState,
        image: str,
        usable: list[WorkerState],
        now_ms: float,
    ) -> None:
        """
        Move some of the runs that an image harms off a worker.
        """
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
        starved: list[Step],
        usable: list[WorkerState],
        roomy: list[WorkerState],
    ) -> WorkerState | None:
        """
        Return the worker to evacuate, or None.

        It is the one whose harmed runs reserve the fewest processors, can run
        on other workers, and leave what a starved step needs.  A worker that is
        already being evacuated for the image is preferred.
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
            is_useful = any(
                self._could_run(step, candidate, runs) for step in starved
            )
            if is_useful and self._fit_elsewhere(runs, candidate, roomy):
                return candidate
        return None

    def _could_run(
        self, step: Step, worker: WorkerState, leaving: list[Run]
    ) -> bool:
        """
        Return whether a worker could run a step's tasks without other runs.
        """
        if worker.entry.service != self._shard.service_of(step.job):
            return False
        if lacks_label(worker, step):
            return False
        freed_mb = sum(run.task.step.plan.memory_mb for run in leaving)
        left_mb = worker.entry.memory_mb - worker.memory_mb + freed_mb
        return step.plan.memory_mb <= left_mb

    def _fit_elsewhere(
        self,
        runs: list[Run],
        origin: WorkerState,
        roomy: list[WorkerState],
    ) -> bool:
        """
        Return whether other workers are eligible for runs and have the room.
        """
        others = [
            worker
            for worker in _of_service(roomy, origin.entry.service)
            if worker is not origin and not worker.evacuated_for_image
        ]
        free = [_free_resources(worker) for worker in others]
        for run in runs:
            step = run.task.step
            index = self._smallest_fit(step, others, free)
            if index is None:
                return False
            millis, memory_mb = free[index]
            free[index] = (
                millis - step.plan.processor_millis,
                memory_mb - step.plan.memory_mb,
            )
        return True

    def _smallest_fit(
        self,
        step: Step,
        workers: list[WorkerState],
        free: list[tuple[int, int]],
    ) -> int | None:
        """
        Return the index of the eligible worker with the least that suffices.
        """
        need = step.plan
        fitting = [
            (left, index)
            for index, left in enumerate(free)
            if left[0] >= need.processor_millis
            and left[1] >= need.memory_mb
            and find_exclusion(workers[index], step, self._shard.now_ms) is None
        ]
        return min(fitting)[1] if fitting else None


def _starved_steps(
    steps: Iterable[Step], now_ms: float
) -> dict[str, list[Step]]:
    """
    Return the best-effort steps that have found no worker for long, by image.
    """
    starved: dict[str, list[Step]] = collections.defaultdict(list)
    for step in steps:
        since_ms = step.unplaced_since_ms
        if (
            step.plan.is_filling
            and since_ms is not None
            and now_ms - since_ms > _STARVATION_MS
        ):
            starved[step.plan.image].append(step)
    return starved


def _waiting_count(steps: Iterable[Step]) -> int:
    return sum(len(step.waiting()) for step in steps)


def _roomy_workers(workers: list[WorkerState]) -> list[WorkerState]:
    """
    Return the workers with room for the smallest long-running run.

    Each candidate for an evacuation is compared with these only; on a full
    fleet they are few.
    """
    smallest_millis = min(
        (
            run.task.step.plan.processor_millis
            for worker in workers
            for run in worker.long_running_runs()
        ),
        default=0,
    )
    return [
        worker
        for worker in workers
        if _free_resources(worker)[0] >= smallest_millis
    ]


def _free_resources(worker: WorkerState) -> tuple[int, int]:
    """
    Return the processors and the memory (MB) that no run has allocated.
    """
    return (
        worker.free_millis,
        worker.entry.memory_mb - worker.memory_mb,
    )


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
