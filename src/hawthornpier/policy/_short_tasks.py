"""
Reservation of slots for short batch tasks.
"""

import heapq
import math
from collections.abc import Iterable

from hawthornpier.policy._decisions import Decision, TaskDemand
from hawthornpier.policy._forecast import DemandForecast
from hawthornpier.policy._headroom import ServiceHeadroom
from hawthornpier.policy._parts import ShardParts
from hawthornpier.policy._settings import QueueOrder
from hawthornpier.policy._task_queue import GroupKey

# Upper bound on the fraction of the batch slots reserved for short tasks.
_MAX_RESERVED_FRACTION = 0.25
# Minimum interval between two checks whether a running task is long.
_RECHECK_MS = 200
# Limit on the long tasks evicted in one call.
_MAX_EVICTION_COUNT = 8


class ShortTaskReservation:
    """
    Reserves slots for short tasks by a limit on the slots of long tasks.

    Long tasks include stragglers: tasks that are found to be long only while
    they run.  The limit follows the forecast demand of short tasks.  It applies
    only to the queue order by attained service.

    Args:
        parts: Components of the shard's scheduler.
        headroom: Forecasts the number of slots that services need.
    """

    def __init__(self, *, parts: ShardParts, headroom: ServiceHeadroom) -> None:
        self._parts = parts
        self._headroom = headroom
        order = parts.settings.queue_order
        self._is_enabled = order is QueueOrder.ATTAINED_SERVICE
        self._forecast = DemandForecast(is_bursty=True)
        self._waiting_count = 0
        self._checks: list[tuple[float, str, int]] = []

    def start(self, task_id: str, now_ms: int) -> None:
        """
        Record the start of a task, and schedule checks unless it is long.
        """
        running = self._parts.occupancy.running[task_id]
        if self._parts.sizes.is_long(running.task):
            self._parts.occupancy.mark_long(running)
        else:
            due_ms = now_ms + _RECHECK_MS
            heapq.heappush(self._checks, (due_ms, task_id, now_ms))

    def update(
        self,
        heads: Iterable[tuple[GroupKey, TaskDemand]],
        now_ms: int,
    ) -> None:
        """
        Classify running tasks and forecast the demand of short tasks.

        Args:
            heads: The first task of each group in the queue.
            now_ms: Monotonic time.
        """
        self._mark_long_tasks(now_ms)
        self._waiting_count = sum(
            self._parts.tasks.count(key)
            for key, head in heads
            if not self._parts.sizes.is_long(head)
        )
        occupancy = self._parts.occupancy
        running_count = len(occupancy.running) - occupancy.long_count
        demand_count = running_count + self._waiting_count
        self._forecast.update(
            min(demand_count, self._max_reserved_count()), now_ms
        )

    def allows(self, task: TaskDemand) -> bool:
        """
        Return whether the task is short or within the limit on long tasks.
        """
        if not self._is_enabled or not self._parts.sizes.is_long(task):
            return True
        return self._parts.occupancy.long_count < self.long_task_limit

    @property
    def long_task_limit(self) -> int:
        """
        The number of slots that long tasks may occupy.
        """
        reserved_count = min(
            math.ceil(self._forecast.level), self._max_reserved_count()
        )
        return self._batch_slot_count() - reserved_count

    def evict_excess(self, now_ms: int) -> list[Decision]:
        """
        Evict long tasks above their limit while short tasks wait.
        """
        occupancy = self._parts.occupancy
        excess = min(
            occupancy.long_count - self.long_task_limit,
            self._waiting_count,
            _MAX_EVICTION_COUNT,
        )
        excess -= occupancy.evicting_count
        if not self._is_enabled or excess <= 0:
            return []
        victims = self._parts.eviction_planner.select_victims(
            (task for task in occupancy.running.values() if task.is_long),
            excess,
            now_ms,
        )
        reason = 'long task occupies a slot reserved for short tasks'
        return [
            self._parts.eviction_planner.evict(victim, reason)
            for victim in victims
        ]

    def _batch_slot_count(self) -> int:
        capacity = self._parts.occupancy.ledger.capacity.slot_count
        return max(capacity - self._headroom.service_slot_count, 0)

    def _max_reserved_count(self) -> int:
        return int(self._batch_slot_count() * _MAX_RESERVED_FRACTION)

    def _mark_long_tasks(self, now_ms: int) -> None:
        while self._checks and self._checks[0][0] <= now_ms:
            _, task_id, started_ms = heapq.heappop(self._checks)
            running = self._parts.occupancy.running.get(task_id)
            if running is None or running.started_ms != started_ms:
                continue
            run_ms = now_ms - started_ms
            if self._parts.sizes.is_long(running.task, run_ms):
                self._parts.occupancy.mark_long(running)
                continue
            due_ms = started_ms + self._parts.sizes.long_threshold_ms
            due_ms = min(max(due_ms, now_ms + _RECHECK_MS), now_ms + 5000)
            heapq.heappush(self._checks, (due_ms, task_id, started_ms))
