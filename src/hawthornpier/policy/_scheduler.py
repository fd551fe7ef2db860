"""
The scheduling policy of one shard.
"""

import random
from collections.abc import Iterable, Sequence

from hawthornpier.messages import Resources, TaskResult, WorkerReport
from hawthornpier.policy._decisions import (
    Decision,
    PlaceRequest,
    PlaceTask,
    RejectTask,
    RequestDemand,
    RequestResult,
    ShedReason,
    ShedRequest,
    TaskDemand,
    WorkerInfo,
    WorkloadLimits,
)
from hawthornpier.policy._ledger import (
    Charge,
    ChargeKind,
    WorkerLedger,
    occupied,
)
from hawthornpier.policy._settings import PolicySettings


class Scheduler:
    """
    Implements `SchedulingPolicy`.

    Args:
        settings: The choice made for each mechanism.
        seed: Seed of all random choices, so that runs can be repeated.
    """

    def __init__(self, *, settings: PolicySettings, seed: int) -> None:
        self._settings = settings
        self._random = random.Random(seed)
        self._ledger = WorkerLedger()
        self._requests: dict[str, RequestDemand] = {}
        self._tasks: dict[str, TaskDemand] = {}

    def add_worker(self, worker: WorkerInfo, now_ms: int) -> None:
        """
        Make the worker available; a known worker is usable again.
        """
        self._ledger.add_worker(worker)

    def close_worker(self, worker_id: str, now_ms: int) -> None:
        """
        Place nothing more on the worker; what it holds stays charged.
        """
        self._ledger.close_worker(worker_id)

    def remove_worker(self, worker_id: str, now_ms: int) -> None:
        """
        Forget the worker and all that was charged to it.
        """
        self._ledger.remove_worker(worker_id)

    def set_limits(self, limits: Iterable[WorkloadLimits]) -> None:
        """
        Replace the table's weights and limits.
        """

    def add_request(self, request: RequestDemand, now_ms: int) -> None:
        """
        Queue a caller's request.
        """
        self._requests[request.request_id] = request

    def cancel_request(self, request_id: str, now_ms: int) -> None:
        """
        Forget a queued request; a placed one stays charged.
        """
        self._requests.pop(request_id, None)

    def end_request(
        self,
        request_id: str,
        result: RequestResult,
        duration_ms: float,
        now_ms: int,
    ) -> None:
        """
        Release the slot of a placed request.
        """
        self._ledger.release(ChargeKind.REQUEST, request_id)

    def add_task(self, task: TaskDemand, now_ms: int) -> None:
        """
        Queue a batch task, a new one or one that was evicted.
        """
        self._tasks[task.task_id] = task

    def adopt_task(
        self,
        task: TaskDemand,
        worker_id: str,
        now_ms: int,
    ) -> None:
        """
        Charge a task that already runs on the worker, without a decision.
        """
        self._tasks.pop(task.task_id, None)
        self._ledger.charge(
            _task_charge(task, worker_id, now_ms),
            is_adopted=True,
        )

    def cancel_task(self, task_id: str, now_ms: int) -> None:
        """
        Forget a queued task; a running one stays charged until it ended.
        """
        self._tasks.pop(task_id, None)

    def end_task(self, task_id: str, result: TaskResult, now_ms: int) -> None:
        """
        Release what a running task occupied.
        """
        self._ledger.release(ChargeKind.TASK, task_id)

    def observe(self, report: WorkerReport, now_ms: int) -> None:
        """
        Take in a worker's usage report, which lags.
        """

    def decide(self, now_ms: int) -> Sequence[Decision]:
        """
        Return what to do now, in order; each decision is already charged.
        """
        decisions: list[Decision] = []
        for request in tuple(self._requests.values()):
            decision = self._decide_request(request, now_ms)
            if decision is not None:
                self._requests.pop(request.request_id)
                decisions.append(decision)
        for task in tuple(self._tasks.values()):
            placed = _decide_task(self._ledger, task, now_ms)
            if placed is not None:
                self._tasks.pop(task.task_id)
                decisions.append(placed)
        return decisions

    def explain(self, task_id: str) -> str:
        """
        Tell which limit a queued task waits for, in words.
        """
        if task_id in self._tasks:
            return 'no worker has enough free'
        return ''

    def free(self) -> Resources:
        """
        Return the sum of what the usable workers have free.
        """
        return self._ledger.free

    def queued_counts(self) -> tuple[int, int]:
        """
        Return the numbers of queued requests and queued tasks.
        """
        return len(self._requests), len(self._tasks)

    def _decide_request(
        self,
        request: RequestDemand,
        now_ms: int,
    ) -> Decision | None:
        if request.deadline_ms <= now_ms:
            return ShedRequest(
                request_id=request.request_id,
                reason=ShedReason.DEADLINE,
            )
        worker_id = _first_fit(self._ledger, occupied(request.demand))
        if worker_id is None:
            return None
        self._ledger.charge(
            Charge(
                kind=ChargeKind.REQUEST,
                charge_id=request.request_id,
                worker_id=worker_id,
                member=request.member,
                workload=request.service,
                demand=occupied(request.demand),
                started_ms=now_ms,
            ),
        )
        return PlaceRequest(
            request_id=request.request_id,
            worker_id=worker_id,
        )


def _decide_task(
    ledger: WorkerLedger,
    task: TaskDemand,
    now_ms: int,
) -> Decision | None:
    demand = occupied(task.demand)
    capacities = [account.info.capacity for account in ledger.open_accounts()]
    if capacities and not any(map(demand.fits_in, capacities)):
        return RejectTask(
            task_id=task.task_id,
            reason=f'no worker can hold {demand}',
        )
    worker_id = _first_fit(ledger, demand)
    if worker_id is None:
        return None
    ledger.charge(_task_charge(task, worker_id, now_ms))
    return PlaceTask(task_id=task.task_id, worker_id=worker_id)


def _first_fit(ledger: WorkerLedger, demand: Resources) -> str | None:
    for account in ledger.open_accounts():
        if demand.fits_in(account.free):
            return account.info.worker_id
    return None


def _task_charge(task: TaskDemand, worker_id: str, now_ms: int) -> Charge:
    return Charge(
        kind=ChargeKind.TASK,
        charge_id=task.task_id,
        worker_id=worker_id,
        member=task.member,
        workload=task.workload,
        demand=occupied(task.demand),
        started_ms=now_ms,
    )
