"""
Interface between the owner of a shard and its scheduling policy.
"""

from collections.abc import Iterable, Sequence
from typing import Protocol

from hawthornpier.messages import Resources, TaskResult, WorkerReport
from hawthornpier.policy._decisions import (
    Decision,
    RequestDemand,
    RequestResult,
    TaskDemand,
    WorkerInfo,
    WorkloadLimits,
)


class SchedulingPolicy(Protocol):
    """
    Scheduling policy of one shard; does no I/O and reads no clock.

    The owner reports every event to the policy and carries out the decisions
    that `decide` returns.  *now_ms* is the owner's monotonic time in
    milliseconds.
    """

    def add_worker(self, worker: WorkerInfo, now_ms: int) -> None:
        """
        Accept work for the worker, also if it was closed before.

        A worker that is already known keeps its charges.
        """
        ...

    def close_worker(self, worker_id: str, now_ms: int) -> None:
        """
        Stop placing work on the worker; running work stays charged to it.
        """
        ...

    def remove_worker(self, worker_id: str, now_ms: int) -> None:
        """
        Remove the worker and release all charges on it.
        """
        ...

    def set_limits(self, limits: Iterable[WorkloadLimits]) -> None:
        """
        Replace all weights and limits by those of the configuration table.
        """
        ...

    def add_request(self, request: RequestDemand, now_ms: int) -> None:
        """
        Queue a caller's request.
        """
        ...

    def adopt_request(
        self,
        request: RequestDemand,
        worker_id: str,
        now_ms: int,
    ) -> None:
        """
        Charge a request that already runs on the worker.
        """
        ...

    def cancel_request(self, request_id: str, now_ms: int) -> None:
        """
        Remove a queued request; a placed one stays charged until it ends.
        """
        ...

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
        ...

    def add_task(self, task: TaskDemand, now_ms: int) -> None:
        """
        Queue a new batch task, or an evicted one again.
        """
        ...

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
        ...

    def cancel_task(self, task_id: str, now_ms: int) -> None:
        """
        Remove a queued task; a running one stays charged until it ends.
        """
        ...

    def end_task(self, task_id: str, result: TaskResult, now_ms: int) -> None:
        """
        Release the resources of a running task and record its result.

        A task that is not charged to a worker is ignored.
        """
        ...

    def observe(self, report: WorkerReport, now_ms: int) -> None:
        """
        Process a usage report of a worker, which describes its recent past.
        """
        ...

    def decide(self, now_ms: int) -> Sequence[Decision]:
        """
        Return the decisions to carry out now, in this order.

        The resources of placed work are charged before the call returns.
        """
        ...

    def explain(self, task_id: str) -> str:
        """
        Return a message that names the limit a queued task waits for.

        The message is '' if the task is not queued.
        """
        ...

    def free(self) -> Resources:
        """
        Return the total free resources of the workers that accept work.
        """
        ...

    def queued_counts(self) -> tuple[int, int]:
        """
        Return the numbers of queued requests and queued tasks.
        """
        ...
