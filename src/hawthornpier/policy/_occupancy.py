"""
Requests and tasks that run on the workers of the shard.
"""

import random
from dataclasses import dataclass

from hawthornpier.policy._decisions import (
    RequestDemand,
    TaskDemand,
    WorkerInfo,
)
from hawthornpier.policy._fairness import FairShares
from hawthornpier.policy._index import CapacityIndex
from hawthornpier.policy._interference import (
    CoResidencyHistory,
    CoResidents,
    count_residents,
)
from hawthornpier.policy._ledger import (
    Charge,
    ChargeKind,
    WorkerLedger,
    effective_demand,
)


@dataclass(slots=True, kw_only=True)
class RunningTask:
    """
    A batch task that runs on a worker.

    *is_long* is set once the task is classified as long.
    """

    task: TaskDemand
    worker_id: str
    started_ms: int
    is_throttled: bool = False
    is_evicting: bool = False
    is_long: bool = False

    @property
    def is_evictable(self) -> bool:
        """
        Return whether the task may be evicted for other work.
        """
        return not (self.is_evicting or self.task.is_urgent)


class Occupancy:
    """
    Keeps ledger, capacity index, fair shares and co-residency consistent.

    Args:
        shares: Usage of members and workloads.
        source: Random numbers for the capacity index.
    """

    def __init__(self, *, shares: FairShares, source: random.Random) -> None:
        self.ledger = WorkerLedger()
        self.index = CapacityIndex(source=source)
        self.shares = shares
        self.running: dict[str, RunningTask] = {}
        self.request_count = 0
        self.evicting_count = 0
        self.long_count = 0
        self._histories: dict[str, CoResidencyHistory] = {}
        self._unthrottled_residents: dict[str, CoResidents] = {}

    def add_worker(self, worker: WorkerInfo, now_ms: int) -> None:
        """
        Accept work for a worker.
        """
        self.ledger.add_worker(worker)
        self._update_index(worker.worker_id)
        if worker.worker_id not in self._histories:
            self._histories[worker.worker_id] = CoResidencyHistory()
            self.record_residents(worker.worker_id, now_ms)

    def close_worker(self, worker_id: str) -> None:
        """
        Accept no more work for a worker; its charges stay.
        """
        self.ledger.close_worker(worker_id)
        self.index.discard(worker_id)

    def remove_worker(self, worker_id: str) -> None:
        """
        Remove a worker and release its charges.
        """
        self.index.discard(worker_id)
        self._histories.pop(worker_id, None)
        self._unthrottled_residents.pop(worker_id, None)
        for charge in self.ledger.remove_worker(worker_id):
            self._release_charge(charge)

    def admit_request(
        self,
        request: RequestDemand,
        worker_id: str,
        now_ms: int,
        *,
        is_adopted: bool = False,
    ) -> None:
        """
        Charge a request to a worker.
        """
        self._admit(
            Charge(
                kind=ChargeKind.REQUEST,
                charge_id=request.request_id,
                worker_id=worker_id,
                member=request.member,
                workload=request.service,
                demand=effective_demand(request.demand),
                started_ms=now_ms,
            ),
            is_adopted=is_adopted,
        )
        self.request_count += 1

    def admit_task(
        self,
        task: TaskDemand,
        worker_id: str,
        now_ms: int,
        *,
        is_adopted: bool = False,
    ) -> None:
        """
        Charge a task to a worker.
        """
        self._admit(
            Charge(
                kind=ChargeKind.TASK,
                charge_id=task.task_id,
                worker_id=worker_id,
                member=task.member,
                workload=task.workload,
                demand=effective_demand(task.demand),
                started_ms=now_ms,
            ),
            is_adopted=is_adopted,
        )
        self.running[task.task_id] = RunningTask(
            task=task,
            worker_id=worker_id,
            started_ms=now_ms,
        )
        self.record_residents(worker_id, now_ms)

    def release_request(self, request_id: str) -> Charge | None:
        """
        Release and return a request's charge, or None if there is none.
        """
        charge = self.ledger.release(ChargeKind.REQUEST, request_id)
        if charge is not None:
            self._release_charge(charge)
            self._update_index(charge.worker_id)
        return charge

    def release_task(self, task_id: str, now_ms: int) -> RunningTask | None:
        """
        Release a task's charge and return the task, or None if there is none.
        """
        charge = self.ledger.release(ChargeKind.TASK, task_id)
        if charge is None:
            return None
        running = self.running[task_id]
        self._release_charge(charge)
        self._update_index(charge.worker_id)
        self.record_residents(charge.worker_id, now_ms)
        return running

    def throttle(
        self,
        running: RunningTask,
        now_ms: int,
        *,
        is_throttled: bool,
    ) -> None:
        """
        Record that a task is throttled or runs at full speed again.
        """
        running.is_throttled = is_throttled
        self.record_residents(running.worker_id, now_ms)

    def mark_evicting(self, running: RunningTask) -> None:
        """
        Record that a task is being evicted; it stays charged until it ends.
        """
        running.is_evicting = True
        self.evicting_count += 1

    def mark_long(self, running: RunningTask) -> None:
        """
        Record that a task was classified as long.
        """
        running.is_long = True
        self.long_count += 1

    def tasks_on(self, worker_id: str) -> tuple[RunningTask, ...]:
        """
        Return the tasks that run on a worker.
        """
        account = self.ledger.accounts[worker_id]
        return tuple(self.running[task_id] for task_id in account.tasks)

    def history(self, worker_id: str) -> CoResidencyHistory | None:
        """
        Return the record of the workloads that ran on a worker.
        """
        return self._histories.get(worker_id)

    def unthrottled_residents(self, worker_id: str) -> CoResidents:
        """
        Return the workloads on a worker, throttled ones at full strength.
        """
        return self._unthrottled_residents.get(worker_id, {})

    def record_residents(self, worker_id: str, now_ms: int) -> None:
        """
        Record the workloads that run on a worker from now on.
        """
        history = self._histories.get(worker_id)
        if history is not None:
            self._unthrottled_residents[worker_id] = count_residents(
                (running.task.workload, False)
                for running in self.tasks_on(worker_id)
            )
            history.record(
                count_residents(
                    (running.task.workload, running.is_throttled)
                    for running in self.tasks_on(worker_id)
                ),
                now_ms,
            )

    def _admit(self, charge: Charge, *, is_adopted: bool) -> None:
        self.ledger.charge(charge, is_adopted=is_adopted)
        self.shares.charge(charge.member, charge.workload, charge.demand)
        self._update_index(charge.worker_id)

    def _release_charge(self, charge: Charge) -> None:
        self.shares.release(charge.member, charge.workload, charge.demand)
        if charge.kind is ChargeKind.REQUEST:
            self.request_count -= 1
            return
        running = self.running.pop(charge.charge_id)
        self.evicting_count -= running.is_evicting
        self.long_count -= running.is_long

    def _update_index(self, worker_id: str) -> None:
        account = self.ledger.accounts[worker_id]
        if account.is_open:
            self.index.update(worker_id, account.free.slot_count)
