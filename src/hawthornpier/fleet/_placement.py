"""
Choice of a worker for a task.
"""

import heapq
import math
from collections.abc import Iterable

from hawthornpier.fleet._eligibility import Exclusion, find_exclusion
from hawthornpier.fleet._interference import InterferenceModel
from hawthornpier.fleet._refusals import Refusals
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


# A step that found no worker is tried again on those that have changed since,
# and on all of them after this time, since eligibility also depends on time.
_FULL_SEARCH_INTERVAL_MS = 400.0

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
        self._refusals = Refusals()

    def begin_pass(self) -> None:
        """
        Forget which workers have been found to refuse best-effort tasks.
        """
        self._refusals = Refusals()

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
        best_rank: tuple[float, ...] = (math.inf,)
        for worker in workers:
            if worker.worker_id != excluded:
                rank = self._rank_below(best_rank, worker, task, now_ms)
                if rank is not None:
                    best = worker
                    best_rank = rank
        return best

    def ranking(
        self,
        step: Step,
        workers: Iterable[WorkerState],
        now_ms: float,
    ) -> 'StepRanking':
        """
        Return the eligible workers for the tasks of one step, best first.
        """
        return StepRanking(self, step, workers, now_ms)

    def rank(
        self,
        worker: WorkerState,
        task: Task,
        now_ms: float,
    ) -> tuple[float, ...] | None:
        """
        Return the rank of a worker for a task; the lowest is the best.

        Returns:
            None if the worker is not eligible.
        """
        if find_exclusion(worker, task.step, now_ms) is None:
            return self._rank(worker, task, now_ms)
        return None

    def exclusion(
        self,
        worker: WorkerState,
        task: Task,
        now_ms: float,
    ) -> Exclusion | None:
        """
        Return why a worker is not eligible for a task, or None if it is.
        """
        found = find_exclusion(worker, task.step, now_ms)
        if found is None and self._rank(worker, task, now_ms) is None:
            return Exclusion.INTERFERENCE
        return found

    def rank_floor(
        self,
        worker: WorkerState,
        task: Task,
        now_ms: float,
    ) -> tuple[float, ...] | None:
        """
        Return a rank that a worker does not fall below, which costs less.

        Returns:
            None if the worker is certainly not eligible.
        """
        plan = task.step.plan
        if plan.is_filling and self._refusals.apply_to(worker, task.step):
            return None
        is_far = bool(plan.near_rack) and plan.near_rack != worker.entry.rack
        penalty = float(worker.health.health_status(now_ms))
        if worker.worker_id in task.avoided_workers:
            penalty += 2
        head = (penalty, float(is_far))
        if plan.is_lasting:
            return (*head, *self._long_running_rank(worker, task.step))
        if plan.is_filling:
            tail = self._best_effort_floor(worker, task.step, now_ms)
            return None if tail is None else (*head, *tail)
        return (*head, *self._reserving_rank(worker, task.step))

    def _rank(
        self,
        worker: WorkerState,
        task: Task,
        now_ms: float,
    ) -> tuple[float, ...] | None:
        floor = self.rank_floor(worker, task, now_ms)
        if floor is None or floor[-1] > -math.inf:
            return floor
        spare = pressure_margin(worker, task.step, self._interference, now_ms)
        if spare < 0:
            self._refusals.add(worker, task.step)
            return None
        return (*floor[:-1], -spare)

    def _rank_below(
        self,
        limit: tuple[float, ...],
        worker: WorkerState,
        task: Task,
        now_ms: float,
    ) -> tuple[float, ...] | None:
        floor = self.rank_floor(worker, task, now_ms)
        if floor is None or floor >= limit:
            return None
        rank = self.rank(worker, task, now_ms)
        return None if rank is None or rank >= limit else rank

    def _long_running_rank(
        self,
        worker: WorkerState,
        step: Step,
    ) -> tuple[float, ...]:
        """
        Return the part of a rank that depends on the load of a worker.

        It is kept until that changes, which answers hundreds of tasks that have
        lost their runs at the same time.
        """
        image = step.plan.image
        key = (worker.evacuated_for_image, self._interference.change_count)
        kept = worker.kept_ranks.get(image)
        if kept is not None and kept[0] == key:
            return kept[1]
        rank = self._load_rank(worker, image)
        worker.kept_ranks[image] = (key, rank)
        return rank

    def _load_rank(self, worker: WorkerState, image: str) -> tuple[float, ...]:
        # Tasks of the same image share workers, so that a best-effort image
        # that harms some images finds workers without these.  A task that
        # fits on no such worker goes to one without long-running tasks, else
        # to one whose images are mixed already, so that few are mixed.
        images = worker.long_running_images()
        mix_rank = _IMAGE_MIX_RANKS[min(len(images), 2)]
        if images == {image}:
            mix_rank = 0
        harm = max(
            (
                self._interference.effect(image, other)
                for other in worker.best_effort_images()
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

    def _best_effort_floor(
        self,
        worker: WorkerState,
        step: Step,
        now_ms: float,
    ) -> tuple[float, ...] | None:
        need = step.plan.processor_millis
        if best_effort_room(worker) < need:
            return None
        left = worker.spare_millis * _BEST_EFFORT_OVERCOMMIT - need
        if not worker.long_running_count:
            return (0, -left)
        effect = self._max_effect(worker, step)
        if effect >= HARMFUL_EFFECT and not has_waited_long(step, now_ms):
            return None
        # Of these workers, the one that tolerates the most pressure comes
        # first; the pressure is determined only as far as it decides.
        return (round(effect, 1), -math.inf)

    def _max_effect(self, worker: WorkerState, step: Step) -> float:
        image = step.plan.image
        change_count = self._interference.change_count
        kept = worker.kept_effects.get(image)
        if kept is not None and kept[0] == change_count:
            return kept[1]
        effect = max(
            (
                self._interference.effect(other, image)
                for other in worker.long_running_images()
            ),
            default=0,
        )
        worker.kept_effects[image] = (change_count, effect)
        return effect


class StepRanking:
    """
    The eligible workers for the tasks of one step, ordered by rank.

    Placing a task changes the rank of its worker only.  Ranking all workers
    once for a step therefore suffices, and each further task costs the
    logarithm of their number.  It answers steps of many tasks on hundreds of
    workers.

    Args:
        placement: Ranks one worker.
        step: The step whose tasks are placed.
        workers: The candidate workers.
        now_ms: The current time on the monotonic clock.
    """

    def __init__(
        self,
        placement: Placement,
        step: Step,
        workers: Iterable[WorkerState],
        now_ms: float,
    ) -> None:
        self._placement = placement
        self._now_ms = now_ms
        self._workers = tuple(workers)
        # Ranks any worker as for a task that avoids none.
        self._plain_task = Task(step, 0)
        # Entries are (rank, index of the worker).  The rank may be a floor, and
        # it is outdated if the worker has another rank by now.
        self._heap: list[tuple[tuple[float, ...], int]] = []
        self._indexes = {
            worker.worker_id: index
            for index, worker in enumerate(self._workers)
        }
        for index in self._indexes.values():
            self._add(index)
        self._placed_index: int | None = None

    def choose(self, task: Task) -> WorkerState | None:
        """
        Return the best worker for a task of the step, or None.

        The caller places the task there before the next call.
        """
        if self._placed_index is not None:
            self._add(self._placed_index)
            self._placed_index = None
        if task.avoided_workers:
            worker = self._placement.choose(task, self._workers, self._now_ms)
        else:
            worker = self._pop()
        if worker is not None:
            self._placed_index = self._indexes[worker.worker_id]
        return worker

    def _pop(self) -> WorkerState | None:
        while self._heap:
            rank, index = heapq.heappop(self._heap)
            current = self._rank(index)
            if current == rank:
                return self._workers[index]
            if current is not None:
                heapq.heappush(self._heap, (current, index))
        return None

    def _add(self, index: int) -> None:
        floor = self._placement.rank_floor(
            self._workers[index], self._plain_task, self._now_ms
        )
        if floor is not None:
            heapq.heappush(self._heap, (floor, index))

    def _rank(self, index: int) -> tuple[float, ...] | None:
        return self._placement.rank(
            self._workers[index], self._plain_task, self._now_ms
        )


def best_effort_room(worker: WorkerState) -> float:
    """
    Return the most processors that one more best-effort task may request.

    They are in thousandths of a core.  A worker with neither best-effort nor
    long-running tasks accepts any.
    """
    if worker.best_effort_count or worker.long_running_count:
        return worker.spare_millis * _BEST_EFFORT_OVERCOMMIT
    return math.inf


def begin_search(step: Step, now_ms: float) -> float:
    """
    Return since when workers must have changed to be searched for a step.

    All workers are searched, unless the step found none of them eligible a
    short time ago; then only those whose load has changed since.  It answers a
    backlog of best-effort steps that no worker can take: a pass then costs what
    changed, not all steps times all workers.
    """
    if (
        step.searched_ms is None
        or now_ms - step.fully_searched_ms >= _FULL_SEARCH_INTERVAL_MS
    ):
        step.fully_searched_ms = now_ms
        return -math.inf
    return step.searched_ms


def has_waited_long(step: Step, now_ms: float) -> bool:
    """
    Return whether a step has waited long enough to accept a harmful placement.
    """
    ready_ms = now_ms if step.ready_ms is None else step.ready_ms
    return now_ms - ready_ms > _MAX_HARMLESS_WAIT_MS
