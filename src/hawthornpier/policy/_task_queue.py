"""
Priority queue of batch tasks.
"""

import heapq
import itertools
from collections.abc import Iterator

from hawthornpier.messages import Resources
from hawthornpier.policy._decisions import TaskDemand
from hawthornpier.policy._settings import QueueOrder

# The first priority level ends at twice this attained service, and each further
# level at four times the bound of the level before it.
_FIRST_LEVEL_MS = 250

# The member, the workload, the demand, and the id of the task if it is a group
# of its own.
GroupKey = tuple[str, str, Resources, str]

# A heap is rebuilt when more than this many of its entries, and more than half
# of them, belong to tasks that were removed from the queue.
_MAX_STALE_COUNT = 64


class TaskQueue:
    """
    Keeps queued tasks in one heap for each member, workload and demand.

    A task that fits no worker thus blocks only tasks of the same group
    (head-of-line blocking).  With the order by arrival, all tasks that are not
    urgent form a single group.

    Removing a task takes constant time: its entry stays in the heap and is
    dropped when it reaches the head.

    Args:
        order: By attained service (least first) or by arrival.
    """

    def __init__(self, *, order: QueueOrder) -> None:
        self._order = order
        self._tasks: dict[str, tuple[int, TaskDemand]] = {}
        self._separate: dict[str, None] = {}
        self._groups: dict[GroupKey, list[tuple[int, int, str]]] = {}
        self._sequence = itertools.count()
        self._counts: dict[GroupKey, int] = {}
        self._urgent: dict[str, None] = {}

    def __len__(self) -> int:
        return len(self._tasks)

    def __contains__(self, task_id: str) -> bool:
        return task_id in self._tasks

    def push(self, task: TaskDemand, *, is_separate: bool = False) -> None:
        """
        Queue a task, in place of a queued one with the same id.

        A *separate* task forms a group of its own, so that it blocks no other
        one if no worker may run it.
        """
        self.discard(task.task_id)
        if is_separate:
            self._separate[task.task_id] = None
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
        Remove a task, if it is queued.
        """
        entry = self._tasks.pop(task_id, None)
        if entry is None:
            return
        if entry[1].is_urgent:
            self._urgent.pop(task_id)
        else:
            self._counts[self._key(entry[1])] -= 1
        self._separate.pop(task_id, None)

    def get(self, task_id: str) -> TaskDemand | None:
        """
        Return a queued task, or None if it is not queued.
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
        Yield the key and the first task of each group.
        """
        for key in tuple(self._groups):
            head = self.head(key)
            if head is not None:
                yield key, head

    def head(self, key: GroupKey) -> TaskDemand | None:
        """
        Return the first task of a group, or None if the group is empty.
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
        Return the number of queued tasks in a group.
        """
        return self._counts.get(key, 0)

    def _is_current(self, entry: tuple[int, int, str]) -> bool:
        queued = self._tasks.get(entry[2])
        return queued is not None and queued[0] == entry[1]

    def _level(self, task: TaskDemand) -> int:
        if self._order is QueueOrder.FIFO:
            return 0
        return (task.done_work_ms // _FIRST_LEVEL_MS).bit_length() // 2

    def _key(self, task: TaskDemand) -> GroupKey:
        if self._order is QueueOrder.FIFO:
            return ('', '', Resources(), '')
        group_id = task.task_id if task.task_id in self._separate else ''
        return (task.member, task.workload, task.demand, group_id)
