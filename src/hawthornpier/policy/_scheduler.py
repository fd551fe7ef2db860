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
from hawthornpier.policy._headroom import ServiceHeadroom
from hawthornpier.policy._ledger import (
    ChargeKind,
    WorkerLedger,
    effective_demand,
)
from hawthornpier.policy._mitigation import MitigationLadder
from hawthornpier.policy._parts import build_parts
from hawthornpier.policy._services import RequestDispatcher
from hawthornpier.policy._settings import PolicySettings
from hawthornpier.policy._short_tasks import ShortTaskReservation


class Scheduler:
    """
    The implementation of `SchedulingPolicy`.

    Args:
        settings: The variant of each scheduling mechanism.
        seed: Seed of all random choices, which makes runs reproducible.
    """

    def __init__(self, *, settings: PolicySettings, seed: int) -> None:
        self._parts = build_parts(settings=settings, seed=seed)
        self._occupancy = self._parts.occupancy
        self._headroom = ServiceHeadroom(self._parts)
        self._short_task_reservation = ShortTaskReservation(
            parts=self._parts,
            headroom=self._headroom,
        )
        self._mitigation = MitigationLadder(self._parts)
        self._request_dispatcher = RequestDispatcher(self._parts)
        self._batch_dispatcher = BatchDispatcher(
            parts=self._parts,
            headroom=self._headroom,
            short_task_reservation=self._short_task_reservation,
        )

    def add_worker(self, worker: WorkerInfo, now_ms: int) -> None:
        """
        Accept work for the worker, also if it was closed before.

        A worker that is already known keeps its charges.
        """
        account = self._occupancy.ledger.accounts.get(worker.worker_id)
        if account is not None:
            self._parts.worker_capacities.remove(account.info.capacity, now_ms)
        self._parts.worker_capacities.add(worker.capacity, now_ms)
        self._occupancy.add_worker(worker, now_ms)

    def close_worker(self, worker_id: str, now_ms: int) -> None:
        """
        Stop placing work on the worker; running work stays charged to it.
        """
        self._occupancy.close_worker(worker_id)

    def remove_worker(self, worker_id: str, now_ms: int) -> None:
        """
        Remove the worker and release all charges on it.
        """
        account = self._occupancy.ledger.accounts.get(worker_id)
        if account is None:
            return
        self._parts.worker_capacities.remove(account.info.capacity, now_ms)
        self._occupancy.remove_worker(worker_id)
        self._parts.traffic.remove_worker(worker_id)
        self._parts.health.remove_worker(worker_id)
        self._mitigation.remove_worker(worker_id)

    def set_limits(self, limits: Iterable[WorkloadLimits]) -> None:
        """
        Replace all weights and limits by those of the configuration table.
        """
        self._occupancy.shares.replace_limits(limits)

    def add_request(self, request: RequestDemand, now_ms: int) -> None:
        """
        Queue a caller's request.

        Raises:
            DuplicateChargeError: The request is already charged to a worker.
            InvalidDemandError: An amount of the demand is negative.
        """
        effective_demand(request.demand)
        _check_not_placed(
            self._occupancy.ledger, ChargeKind.REQUEST, request.request_id
        )
        self._request_dispatcher.add(request)

    def adopt_request(
        self,
        request: RequestDemand,
        worker_id: str,
        now_ms: int,
    ) -> None:
        """
        Charge a request that already runs on the worker.
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
        Remove a queued request; a placed one stays charged until it ends.
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
        Release the resources of a placed request and record its result.

        A request that is not charged to a worker is ignored.

        Args:
            request_id: Id of the request.
            result: How the request ended.
            duration_ms: Time from sending the request to the worker until its
                end.
            now_ms: Monotonic time.
        """
        charge = self._occupancy.release_request(request_id)
        if charge is None:
            return
        is_answered = result is RequestResult.ANSWERED
        if is_answered:
            self._request_dispatcher.learn(
                charge.member, charge.workload, duration_ms
            )
        self._parts.health.end_request(
            charge.worker_id,
            now_ms,
            is_answered=is_answered,
            is_refused=result is RequestResult.REFUSED,
        )

    def add_task(self, task: TaskDemand, now_ms: int) -> None:
        """
        Queue a new batch task, or an evicted one again.

        Raises:
            DuplicateChargeError: The task is already charged to a worker.
            InvalidDemandError: An amount of the demand is negative.
        """
        effective_demand(task.demand)
        _check_not_placed(self._occupancy.ledger, ChargeKind.TASK, task.task_id)
        self._batch_dispatcher.add(task)

    def adopt_task(
        self,
        task: TaskDemand,
        worker_id: str,
        now_ms: int,
    ) -> None:
        """
        Charge a task that already runs on the worker.

        No decision is returned for it.
        """
        self._batch_dispatcher.cancel(task.task_id)
        self._occupancy.admit_task(task, worker_id, now_ms, is_adopted=True)
        self._short_task_reservation.start(task.task_id, now_ms)

    def cancel_task(self, task_id: str, now_ms: int) -> None:
        """
        Remove a queued task; a running one stays charged until it ends.
        """
        self._batch_dispatcher.cancel(task_id)

    def end_task(self, task_id: str, result: TaskResult, now_ms: int) -> None:
        """
        Release the resources of a running task and record its result.

        A task that is not charged to a worker is ignored.
        """
        ended = self._occupancy.release_task(task_id, now_ms)
        if ended is None:
            return
        is_done = result is TaskResult.DONE
        if is_done:
            self._parts.sizes.add_completed(
                ended.task, now_ms - ended.started_ms
            )
            self._headroom.record_task_completion(now_ms)
        self._parts.health.end_task(
            ended.worker_id,
            task_id,
            now_ms,
            is_done=is_done,
            is_failed=result is TaskResult.FAILED,
        )

    def observe(self, report: WorkerReport, now_ms: int) -> None:
        """
        Process a usage report of a worker, which describes its recent past.

        Each latency sample is attributed to the tasks that ran on the worker
        halfway through the request, not at the time of the report.
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
        Return the decisions to carry out now, in this order.

        The resources of placed work are charged before the call returns.
        """
        request_decisions = self._request_dispatcher.decide(now_ms)
        return [
            *request_decisions,
            *self._headroom.decide(
                self._request_dispatcher.slot_wait_count, now_ms
            ),
            *self._mitigation.decide(now_ms),
            *self._batch_dispatcher.decide(now_ms),
        ]

    def explain(self, task_id: str) -> str:
        """
        Return a message that names the limit a queued task waits for.

        The message is '' if the task is not queued.
        """
        return WaitExplainer(
            parts=self._parts,
            headroom=self._headroom,
            short_task_reservation=self._short_task_reservation,
        ).explain(task_id)

    def free(self) -> Resources:
        """
        Return the total free resources of the workers that accept work.
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
            f'{charge_id} is already charged to worker {existing.worker_id}',
        )
