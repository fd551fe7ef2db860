"""
Placement and rejection of batch tasks, and preemption for urgent ones.
"""

import heapq
from functools import partial

from hawthornpier.messages import Resources
from hawthornpier.policy._decisions import (
    Decision,
    PlaceTask,
    RejectTask,
    TaskDemand,
)
from hawthornpier.policy._headroom import BatchBudget, ServiceHeadroom
from hawthornpier.policy._ledger import WorkerAccount, effective_demand
from hawthornpier.policy._parts import ShardParts
from hawthornpier.policy._short_tasks import ShortTaskReservation
from hawthornpier.policy._task_queue import GroupKey

# The reservation of a worker for an urgent task expires after this time, if
# the tasks evicted from the worker have not ended by then.
_RESERVATION_MS = 3_000


class BatchDispatcher:
    """
    Starts urgent tasks first, then the others by weighted fair share.

    Args:
        parts: Components of the shard's scheduler.
        headroom: Limits the number of free slots for batch tasks.
        short_task_reservation: Limits the number of slots for long tasks.
    """

    def __init__(
        self,
        *,
        parts: ShardParts,
        headroom: ServiceHeadroom,
        short_task_reservation: ShortTaskReservation,
    ) -> None:
        self._parts = parts
        self._headroom = headroom
        self._short_task_reservation = short_task_reservation
        self._unvalidated: dict[str, None] = {}
        self._reservations: dict[str, tuple[str, int]] = {}

    def add(self, task: TaskDemand) -> None:
        """
        Queue a task.
        """
        self._parts.tasks.push(
            task,
            is_separate=self._parts.health.has_failed(task.task_id),
        )
        self._parts.sizes.add_task(task)
        self._unvalidated[task.task_id] = None

    def cancel(self, task_id: str) -> None:
        """
        Remove a queued task and its worker reservation.
        """
        self._parts.tasks.discard(task_id)
        self._unvalidated.pop(task_id, None)
        self._release_reservation(task_id)

    def decide(self, now_ms: int) -> list[Decision]:
        """
        Reject the tasks that can never run and start those that fit.

        Evict running tasks where urgent or short tasks need their slots.
        """
        decisions = self._reject(now_ms)
        for task in self._parts.tasks.urgent():
            decisions.extend(self._start_urgent(task, now_ms))
        decisions.extend(self._start_ordinary(now_ms))
        return decisions

    def _reject(self, now_ms: int) -> list[Decision]:
        decisions: list[Decision] = []
        for task_id in tuple(self._unvalidated):
            task = self._parts.tasks.get(task_id)
            if task is None:
                self._unvalidated.pop(task_id)
                continue
            demand = effective_demand(task.demand)
            reason = self._parts.health.fault_reason(task_id)
            reason = reason or self._parts.worker_capacities.rejection_reason(
                demand, now_ms
            )
            if reason:
                self.cancel(task_id)
                self._parts.health.forget_task(task_id)
                decisions.append(RejectTask(task_id=task_id, reason=reason))
            elif self._parts.worker_capacities.could_fit(demand):
                self._unvalidated.pop(task_id)
        return decisions

    def _start_urgent(self, task: TaskDemand, now_ms: int) -> list[Decision]:
        placed = self._try_start(task, now_ms)
        if placed is not None:
            self._release_reservation(task.task_id)
            return [placed]
        reservation = self._reservations.get(task.task_id)
        if (
            reservation is not None
            and now_ms - reservation[1] < _RESERVATION_MS
        ):
            return []
        self._release_reservation(task.task_id)
        worker_id, victims = self._parts.eviction_planner.plan_preemption(
            task.task_id,
            effective_demand(task.demand),
            now_ms,
            reserved_workers=self._parts.reserved_workers,
        )
        if not worker_id:
            return []
        self._reservations[task.task_id] = (worker_id, now_ms)
        self._parts.reserved_workers[worker_id] = task.task_id
        reason = f'urgent task {task.task_id} preempts this task'
        return [
            self._parts.eviction_planner.evict(victim, reason)
            for victim in victims
        ]

    def _start_ordinary(self, now_ms: int) -> list[Decision]:
        decisions: list[Decision] = []
        unplaceable: list[Resources] = []
        heads = tuple(self._parts.tasks.heads())
        self._short_task_reservation.update(heads, now_ms)
        budget = self._headroom.batch_budget()
        heap = []
        if budget.total_count > 0:
            heap = [self._heap_entry(key, task) for key, task in heads]
        heapq.heapify(heap)
        while heap and budget.total_count > 0:
            key = heapq.heappop(heap)[-1]
            decision = self._start_head(key, unplaceable, budget, now_ms)
            if decision is None:
                continue
            decisions.append(decision)
            if isinstance(decision, PlaceTask):
                budget = budget.use(
                    is_healthy=self._parts.health.is_healthy(
                        decision.worker_id,
                    ),
                )
            head = self._parts.tasks.head(key)
            if head is not None:
                heapq.heappush(heap, self._heap_entry(key, head))
        if budget.total_count <= 0 or (
            budget.healthy_count <= 0 and not decisions
        ):
            decisions.extend(self._short_task_reservation.evict_excess(now_ms))
        return decisions

    def _heap_entry(
        self,
        key: GroupKey,
        task: TaskDemand,
    ) -> tuple[tuple[float, float], int, str, GroupKey]:
        rank = self._parts.occupancy.shares.rank(
            task.member,
            task.workload,
            self._parts.occupancy.ledger.capacity,
        )
        return (rank, task.done_work_ms, task.task_id, key)

    def _start_head(
        self,
        key: GroupKey,
        unplaceable: list[Resources],
        budget: BatchBudget,
        now_ms: int,
    ) -> Decision | None:
        task = self._parts.tasks.head(key)
        if task is None or not self._short_task_reservation.allows(task):
            return None
        reason = self._parts.health.fault_reason(task.task_id)
        if reason:
            self.cancel(task.task_id)
            return RejectTask(task_id=task.task_id, reason=reason)
        demand = effective_demand(task.demand)
        if any(smaller.fits_in(demand) for smaller in unplaceable):
            return None
        if self._binding_limit(task):
            # Other members and workloads may start tasks of the same size.
            return None
        decision = self._try_start(task, now_ms, budget)
        if decision is None and not self._parts.health.has_failed(task.task_id):
            unplaceable.append(demand)
        return decision

    def _try_start(
        self,
        task: TaskDemand,
        now_ms: int,
        budget: BatchBudget | None = None,
    ) -> PlaceTask | None:
        """
        Place a task, within *budget* unless it is None.
        """
        demand = effective_demand(task.demand)
        parts = self._parts
        if self._binding_limit(task):
            return None
        worker_id = parts.chooser.choose(
            demand,
            cost=partial(parts.costs.task_cost, task.workload, now_ms),
            is_allowed=partial(self._is_allowed, task, budget, now_ms),
        )
        if worker_id is None:
            return None
        parts.tasks.discard(task.task_id)
        parts.occupancy.admit_task(task, worker_id, now_ms)
        parts.health.record_task_placement(worker_id)
        self._short_task_reservation.start(task.task_id, now_ms)
        return PlaceTask(task_id=task.task_id, worker_id=worker_id)

    def _binding_limit(self, task: TaskDemand) -> str:
        return self._parts.occupancy.shares.binding_limit(
            task.member,
            task.workload,
            effective_demand(task.demand),
        )

    def _is_allowed(
        self,
        task: TaskDemand,
        budget: BatchBudget | None,
        now_ms: int,
        account: WorkerAccount,
    ) -> bool:
        worker_id = account.info.worker_id
        health = self._parts.health
        is_reserve = budget is not None and budget.healthy_count <= 0
        if is_reserve and health.is_healthy(worker_id):
            return False
        holder = self._parts.reserved_workers.get(worker_id, task.task_id)
        if holder != task.task_id:
            return False
        if not health.has_failed_on(task.task_id, worker_id):
            return health.accepts_tasks(worker_id, now_ms)
        return (
            health.may_repeat(task.task_id, worker_id, now_ms)
            and health.accepts_tasks(worker_id, now_ms)
            and self._has_failed_everywhere(task)
        )

    def _has_failed_everywhere(self, task: TaskDemand) -> bool:
        """
        Return whether no other worker could run the task if it were free.
        """
        demand = effective_demand(task.demand)
        health = self._parts.health
        return all(
            health.has_failed_on(task.task_id, account.info.worker_id)
            or health.is_quarantined(account.info.worker_id)
            for account in self._parts.occupancy.ledger.open_accounts()
            if demand.fits_in(account.info.capacity)
        )

    def _release_reservation(self, task_id: str) -> None:
        reservation = self._reservations.pop(task_id, None)
        if reservation is not None:
            self._parts.reserved_workers.pop(reservation[0], None)
