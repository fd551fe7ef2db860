"""
Queue of batch tasks.
"""

import heapq
import itertools
from collections.abc import Iterator

from hawthornpier.messages import Resources
from hawthornpier.policy._decisions import TaskDemand
from hawthornpier.policy._settings import QueueOrder

# Tasks whose attained service lies below this share one level; each level
# above spans four times as much.
_FIRST_LEVEL_MS = 250

GroupKey = tuple[str, str, Resources]

# A heap is rebuilt when this many of its entries, and more than half of them,
# belong to tasks that are gone.
_MAX_STALE_COUNT = 64


class TaskQueue:
    """
    Holds the queued tasks in groups of equal workload and demand.

    A task that fits nowhere thus holds up only tasks of the same demand.

    A cancellation costs constant work: the entry stays in the heap and is
    dropped when it comes to the head.

    Args:
        order: By attained service (the least first), or by arrival.
    """

    def __init__(self, *, order: QueueOrder) -> None:
        self._order = order
        self._tasks: dict[str, tuple[int, TaskDemand]] = {}
        self._groups: dict[GroupKey, list[tuple[int, int, str]]] = {}
        self._sequence = itertools.count()
        self._counts: dict[GroupKey, int] = {}
        self._urgent: dict[str, None] = {}

    def __len__(self) -> int:
        return len(self._tasks)

    def __contains__(self, task_id: str) -> bool:
        return task_id in self._tasks

    def push(self, task: TaskDemand) -> None:
        """
        Queue a task; a task that is queued already is replaced.
        """
        self.discard(task.task_id)
        sequence = next(self._sequence)
        self._tasks[task.task_id] = (sequence, task)
        if task.is_urgent:
            self._urgent[task.task_id] = None
            return
        key = self._key(task)
        self._counts[key] = self._counts.get(key, 0) + 1
        heap = self._groups.setdefault(key, [])
        heapq.heappush(heap, (self._level(task), sequence, task.task_id))
        if len(heap) > 2 * self._counts[key] + _MAX_STALE_COUNT:
            current = list(filter(self._is_current, heap))
            heapq.heapify(current)
            self._groups[key] = current

    def discard(self, task_id: str) -> None:
        """
        Forget a task, if it is queued.
        """
        entry = self._tasks.pop(task_id, None)
        if entry is None:
            return
        if entry[1].is_urgent:
            self._urgent.pop(task_id)
        else:
            self._counts[self._key(entry[1])] -= 1

    def get(self, task_id: str) -> TaskDemand | None:
        """
        Return a queued task.
        """
        entry = self._tasks.get(task_id)
        return entry[1] if entry else None

    def urgent(self) -> tuple[TaskDemand, ...]:
        """
        Return the urgent tasks in order of arrival.
        """
        return tuple(self._tasks[task_id][1] for task_id in self._urgent)

    def heads(self) -> Iterator[tuple[GroupKey, TaskDemand]]:
        """
        Yield the first task of each group.
        """
        for key in tuple(self._groups):
            head = self.head(key)
            if head is not None:
                yield key, head

    def head(self, key: GroupKey) -> TaskDemand | None:
        """
        Return the first task of a group.
        """
        heap = self._groups.get(key, [])
        while heap:
            if self._is_current(heap[0]):
                return self._tasks[heap[0][2]][1]
            heapq.heappop(heap)
        self._groups.pop(key, None)
        self._counts.pop(key, None)
        return None

    def count(self, key: GroupKey) -> int:
        """
        Return the number of queued tasks of a group.
        """
        return self._counts.get(key, 0)

    def _is_current(self, entry: tuple[int, int, str]) -> bool:
        known = self._tasks.get(entry[2])
        return known is not None and known[0] == entry[1]

    def _level(self, task: TaskDemand) -> int:
        if self._order is QueueOrder.FIFO:
            return 0
        return (task.done_work_ms // _FIRST_LEVEL_MS).bit_length() // 2

    def _key(self, task: TaskDemand) -> GroupKey:
        if self._order is QueueOrder.FIFO:
            return ('', '', Resources())
        return (task.member, task.workload, task.demand)
