"""
The scheduling policy of one shard.
"""

from collections.abc import Iterable, Sequence

from hawthornpier.messages import Resources, TaskResult, WorkerReport
from hawthornpier.policy._batch import BatchDispatcher
from hawthornpier.policy._decisions import (
    Decision,
    RequestDemand,
    RequestResult,
    TaskDemand,
    WorkerInfo,
    WorkloadLimits,
)
from hawthornpier.policy._errors import DuplicateChargeError
from hawthornpier.policy._explain import WaitExplainer
from hawthornpier.policy._headroom import HeadroomKeeper
from hawthornpier.policy._ledger import (
    ChargeKind,
    WorkerLedger,
    effective_demand,
)
from hawthornpier.policy._mitigation import MitigationLadder
from hawthornpier.policy._parts import build_parts
from hawthornpier.policy._services import RequestDispatcher
from hawthornpier.policy._settings import PolicySettings
from hawthornpier.policy._short_work import ShortTaskReservation


class Scheduler:
    """
    Implements `SchedulingPolicy`.

    Args:
        settings: The choice made for each mechanism.
        seed: Seed of all random choices, so that runs can be repeated.
    """

    def __init__(self, *, settings: PolicySettings, seed: int) -> None:
        self._parts = build_parts(settings=settings, seed=seed)
        self._occupancy = self._parts.occupancy
        self._headroom = HeadroomKeeper(self._parts)
        self._short_work = ShortTaskReservation(
            parts=self._parts,
            headroom=self._headroom,
        )
        self._mitigation = MitigationLadder(self._parts)
        self._services = RequestDispatcher(self._parts)
        self._batch = BatchDispatcher(
            parts=self._parts,
            headroom=self._headroom,
            short_task_reservation=self._short_work,
        )

    def add_worker(self, worker: WorkerInfo, now_ms: int) -> None:
        """
        Make the worker available; a known worker is usable again.
        """
        known = self._occupancy.ledger.accounts.get(worker.worker_id)
        if known is not None:
            self._parts.worker_capacities.remove(known.info.capacity, now_ms)
        self._parts.worker_capacities.add(worker.capacity, now_ms)
        self._occupancy.add_worker(worker, now_ms)

    def close_worker(self, worker_id: str, now_ms: int) -> None:
        """
        Place nothing more on the worker; what it holds stays charged.
        """
        self._occupancy.close_worker(worker_id)

    def remove_worker(self, worker_id: str, now_ms: int) -> None:
        """
        Forget the worker and all that was charged to it.
        """
        known = self._occupancy.ledger.accounts.get(worker_id)
        if known is None:
            return
        self._parts.worker_capacities.remove(known.info.capacity, now_ms)
        self._occupancy.remove_worker(worker_id)
        self._parts.traffic.remove_worker(worker_id)
        self._parts.health.remove_worker(worker_id)
        self._mitigation.remove_worker(worker_id)

    def set_limits(self, limits: Iterable[WorkloadLimits]) -> None:
        """
        Replace the table's weights and limits.
        """
        self._occupancy.shares.replace_limits(limits)

    def add_request(self, request: RequestDemand, now_ms: int) -> None:
        """
        Queue a caller's request.

        Raises:
            DuplicateChargeError: The request already occupies a worker.
        """
        effective_demand(request.demand)
        _check_not_placed(
            self._occupancy.ledger, ChargeKind.REQUEST, request.request_id
        )
        self._services.add(request)

    def adopt_request(
        self,
        request: RequestDemand,
        worker_id: str,
        now_ms: int,
    ) -> None:
        """
        Charge a request that the worker already serves.
        """
        self._parts.requests.discard(request.request_id)
        self._occupancy.admit_request(
            request,
            worker_id,
            now_ms,
            is_adopted=True,
        )

    def cancel_request(self, request_id: str, now_ms: int) -> None:
        """
        Forget a queued request; a placed one stays charged.
        """
        self._parts.requests.discard(request_id)

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
        charge = self._occupancy.release_request(request_id)
        if charge is None:
            return
        is_answered = result is RequestResult.ANSWERED
        if is_answered:
            self._services.learn(charge.member, charge.workload, duration_ms)
        self._parts.health.end_request(
            charge.worker_id,
            now_ms,
            is_answered=is_answered,
            is_refused=result is RequestResult.REFUSED,
        )

    def add_task(self, task: TaskDemand, now_ms: int) -> None:
        """
        Queue a batch task, a new one or one that was evicted.

        Raises:
            DuplicateChargeError: The task already occupies a worker.
        """
        effective_demand(task.demand)
        _check_not_placed(self._occupancy.ledger, ChargeKind.TASK, task.task_id)
        self._batch.add(task)

    def adopt_task(
        self,
        task: TaskDemand,
        worker_id: str,
        now_ms: int,
    ) -> None:
        """
        Charge a task that already runs on the worker, without a decision.
        """
        self._batch.cancel(task.task_id)
        self._occupancy.admit_task(task, worker_id, now_ms, is_adopted=True)
        self._short_work.start(task.task_id, now_ms)

    def cancel_task(self, task_id: str, now_ms: int) -> None:
        """
        Forget a queued task; a running one stays charged until it ended.
        """
        self._batch.cancel(task_id)

    def end_task(self, task_id: str, result: TaskResult, now_ms: int) -> None:
        """
        Release what a running task occupied.
        """
        ended = self._occupancy.release_task(task_id, now_ms)
        if ended is None:
            return
        is_done = result is TaskResult.DONE
        if is_done:
            self._parts.sizes.add_completed(
                ended.task, now_ms - ended.started_ms
            )
            self._headroom.count_end(now_ms)
        self._parts.health.end_task(
            ended.worker_id,
            task_id,
            now_ms,
            is_done=is_done,
            is_failed=result is TaskResult.FAILED,
        )

    def observe(self, report: WorkerReport, now_ms: int) -> None:
        """
        Take in a worker's usage report, which lags.

        Each latency sample is attributed to what ran on the worker at the
        middle of the request, not at the time of the report.
        """
        history = self._occupancy.history(report.worker_id)
        if history is None:
            return
        for sample in report.samples:
            middle_ms = sample.ended_ms - sample.duration_ms / 2
            residents = history.at(middle_ms)
            if residents is not None:
                self._parts.interference_model.learn(sample, residents)
        self._mitigation.mark_due(report.worker_id)

    def decide(self, now_ms: int) -> Sequence[Decision]:
        """
        Return what to do now, in order; each decision is already charged.
        """
        request_decisions = self._services.decide(now_ms)
        return [
            *request_decisions,
            *self._headroom.decide(self._services.starved_count, now_ms),
            *self._mitigation.decide(now_ms),
            *self._batch.decide(now_ms),
        ]

    def explain(self, task_id: str) -> str:
        """
        Tell which limit a queued task waits for, in words.
        """
        return WaitExplainer(
            parts=self._parts,
            headroom=self._headroom,
            short_task_reservation=self._short_work,
        ).explain(task_id)

    def free(self) -> Resources:
        """
        Return the sum of what the usable workers have free.
        """
        return self._occupancy.ledger.free

    def queued_counts(self) -> tuple[int, int]:
        """
        Return the numbers of queued requests and queued tasks.
        """
        return len(self._parts.requests), len(self._parts.tasks)


def _check_not_placed(
    ledger: WorkerLedger,
    kind: ChargeKind,
    charge_id: str,
) -> None:
    existing = ledger.find(kind, charge_id)
    if existing is not None:
        raise DuplicateChargeError(
            f'{charge_id} is already on {existing.worker_id}',
        )
