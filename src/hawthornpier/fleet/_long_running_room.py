"""
The workers with room for long-running tasks that wait.
"""

import itertools
from collections.abc import Iterable, Iterator
from operator import attrgetter

from hawthornpier.fleet._eligibility import (
    Exclusion,
    find_worker_exclusion,
    lacks_label,
)
from hawthornpier.fleet._worker_state import WorkerState
from hawthornpier.steps import Step


class LongRunningRoom:
    """
    The workers of one service at one moment, those with most room first.

    Hundreds of tasks may wait beside hundreds of workers.  Therefore a worker
    is held against the needs of a step only until the answer is certain, and
    why it may not be used is determined once for all steps.

    Args:
        workers: The workers that reply and stay.
        now_ms: The current time on the monotonic clock.
    """

    def __init__(self, workers: Iterable[WorkerState], now_ms: float) -> None:
        self._workers = sorted(
            workers, key=attrgetter('free_millis'), reverse=True
        )
        self._now_ms = now_ms
        self._exclusions: dict[str, Exclusion | None] = {}

    def has_room(self, step: Step) -> bool:
        """
        Return whether a worker has room for a task of a step.
        """
        return next(self._with_room(step), None) is not None

    def has_eligible_room(self, step: Step) -> bool:
        """
        Return whether one of the workers with room is not excluded.
        """
        return None in self._exclusions_of(step)

    def exclusions(self, step: Step) -> list[Exclusion | None]:
        """
        Return why each worker with room is excluded; None if it is not.
        """
        return list(self._exclusions_of(step))

    def _exclusions_of(self, step: Step) -> Iterator[Exclusion | None]:
        for worker in self._with_room(step):
            worker_id = worker.worker_id
            if worker_id not in self._exclusions:
                self._exclusions[worker_id] = find_worker_exclusion(
                    worker, step, self._now_ms
                )
            yield self._exclusions[worker_id]

    def _with_room(self, step: Step) -> Iterator[WorkerState]:
        candidates = itertools.takewhile(
            lambda worker: worker.free_millis >= step.plan.processor_millis,
            self._workers,
        )
        for worker in candidates:
            if worker.fits(step) and not lacks_label(worker, step):
                yield worker
