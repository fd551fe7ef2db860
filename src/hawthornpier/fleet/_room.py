"""
Why a step finds no worker with room for one of its tasks.
"""

import enum
import functools
from collections.abc import Iterable
from dataclasses import dataclass
from operator import attrgetter, itemgetter

from hawthornpier.fleet._worker_state import WorkerState
from hawthornpier.steps import StepPlan


class RoomShortage(enum.StrEnum):
    """
    Why no worker takes a task.
    """

    # A worker has the room, but is excluded for another reason.
    EXCLUDED = 'excluded'
    # A worker had the room until steps of higher rank took it in this pass.
    OVERTAKEN = 'overtaken'
    # All workers together have the room, but no single one.
    FRAGMENTED = 'fragmented'
    # All workers together have less room than the task needs.
    FULL = 'full'


@dataclass(frozen=True, slots=True)
class Room:
    """
    Free processors (thousandths of a core) and memory of one or more workers.
    """

    millis: int
    memory_mb: int

    def holds(self, plan: StepPlan) -> bool:
        """
        Return whether there is room for one task of a step.
        """
        return (
            plan.processor_millis <= self.millis
            and plan.memory_mb <= self.memory_mb
        )


class FreeRoom:
    """
    The free room of a group of workers at one moment.

    Args:
        workers: The workers on which runs may be started.
        for_best_effort: Whether to count what best-effort tasks may use.
    """

    def __init__(
        self, workers: Iterable[WorkerState], *, for_best_effort: bool
    ) -> None:
        millis_of = attrgetter(
            'spare_millis' if for_best_effort else 'free_millis'
        )
        self._rooms = [
            (
                max(millis_of(worker), 0),
                max(worker.entry.memory_mb - worker.memory_mb, 0),
            )
            for worker in workers
        ]

    @functools.cached_property
    def total(self) -> Room:
        """
        Return the room of all workers together.
        """
        return Room(
            sum(map(itemgetter(0), self._rooms)),
            sum(map(itemgetter(1), self._rooms)),
        )

    def has_worker_for(self, plan: StepPlan) -> bool:
        """
        Return whether a single worker has room for one task of a step.
        """
        return any(room.holds(plan) for room in self._largest)

    @functools.cached_property
    def _largest(self) -> list[Room]:
        return _undominated(self._rooms)


def find_shortage(
    plan: StepPlan, *, before: FreeRoom, after: FreeRoom
) -> RoomShortage:
    """
    Return why no worker took a task of a step in a scheduling pass.

    Args:
        plan: The step.
        before: The free room at the start of the pass.
        after: The free room at its end.
    """
    if after.has_worker_for(plan):
        return RoomShortage.EXCLUDED
    if before.has_worker_for(plan):
        return RoomShortage.OVERTAKEN
    if after.total.holds(plan):
        return RoomShortage.FRAGMENTED
    return RoomShortage.FULL


def _undominated(rooms: Iterable[tuple[int, int]]) -> list[Room]:
    """
    Return the rooms that no other exceeds in both resources.
    """
    largest: list[Room] = []
    for millis, memory_mb in sorted(rooms, reverse=True):
        if not largest or memory_mb > largest[-1].memory_mb:
            largest.append(Room(millis, memory_mb))
    return largest
