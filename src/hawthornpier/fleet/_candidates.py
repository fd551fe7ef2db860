"""
The workers that a scheduling pass may start tasks on, ordered by their room.
"""

import bisect
import math
from collections.abc import Iterable, Sequence

from hawthornpier.fleet._eligibility import find_worker_exclusion
from hawthornpier.fleet._placement import best_effort_room
from hawthornpier.fleet._worker_state import WorkerState
from hawthornpier.steps import Step


class CandidatePool:
    """
    The usable workers of one service in one scheduling pass.

    Most steps of a backlog find no worker with the processors that they need.
    Ordered by these, the workers without them cost nothing.

    Args:
        workers: The usable workers.
        now_ms: The current time on the monotonic clock.

    Attributes:
        made_ms: When the workers were ordered.  Room that they gain later is
            found by the next pass.
    """

    def __init__(self, workers: Sequence[WorkerState], now_ms: float) -> None:
        self.workers = workers
        self.made_ms = now_ms
        # By whether best-effort tasks are placed.
        self._orders: dict[bool, _RoomOrder] = {}
        # Whether no task may be started on a worker, by its index and whether
        # the task is long-running.
        self._closed: dict[tuple[int, bool], bool] = {}

    def with_room(
        self, step: Step, *, changed_since_ms: float = -math.inf
    ) -> list[WorkerState]:
        """
        Return the workers that have room for a task of a step.

        Workers that have not changed since then, or on which no task may be
        started now, are left out, too.  The others are in the same order as in
        `workers`.
        """
        is_filling = step.plan.is_filling
        order = self._orders.get(is_filling)
        if order is None:
            room_of = best_effort_room if is_filling else _free_millis
            order = _RoomOrder(map(room_of, self.workers))
            self._orders[is_filling] = order
        return [
            self.workers[index]
            for index in order.indexes(step.plan.processor_millis)
            if self.workers[index].changed_ms >= changed_since_ms
            and self.workers[index].fits(step)
            and not self._is_closed(index, step)
        ]

    def without_unusable(self, now_ms: float) -> 'CandidatePool':
        """
        Return the pool without the workers that may not be used any more.

        Ordering all workers anew would take most of each slice of a pass.

        Args:
            now_ms: The current time on the monotonic clock.
        """
        usable = [worker for worker in self.workers if worker.is_usable]
        if len(usable) == len(self.workers):
            return self
        return CandidatePool(usable, now_ms)

    def _is_closed(self, index: int, step: Step) -> bool:
        key = (index, step.plan.is_lasting)
        found = self._closed.get(key)
        if found is None:
            exclusion = find_worker_exclusion(
                self.workers[index], step, self.made_ms
            )
            found = exclusion is not None
            self._closed[key] = found
        return found


class _RoomOrder:
    """
    Indexes of workers, ordered by the processors that were free on each.

    Room that a worker gains after the order was made is not taken into account.

    Args:
        rooms: The free processors of each worker, in thousandths of a core.
    """

    def __init__(self, rooms: Iterable[float]) -> None:
        self._rooms = sorted((room, index) for index, room in enumerate(rooms))

    def indexes(self, need_millis: int) -> list[int]:
        """
        Return the indexes of the workers that may have room, in their order.
        """
        first = bisect.bisect_left(self._rooms, (need_millis, 0))
        return sorted(index for _, index in self._rooms[first:])


def _free_millis(worker: WorkerState) -> int:
    return worker.free_millis
