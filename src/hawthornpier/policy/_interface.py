"""
The interface between a shard's owner and the scheduling policy.
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
    Decides for one shard; does no I/O and never reads a clock.

    The owner reports every event and then carries out what `decide` returns.
    Every call takes the owner's monotonic time in milliseconds.
    """

    def add_worker(self, worker: WorkerInfo, now_ms: int) -> None:
        """
        Make the worker available; a known worker is usable again.
        """
        ...

    def close_worker(self, worker_id: str, now_ms: int) -> None:
        """
        Place nothing more on the worker; what it holds stays charged.
        """
        ...

    def remove_worker(self, worker_id: str, now_ms: int) -> None:
        """
        Forget the worker and all that was charged to it.
        """
        ...

    def set_limits(self, limits: Iterable[WorkloadLimits]) -> None:
        """
        Replace the table's weights and limits.
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
        Charge a request that the worker already serves.
        """
        ...

    def cancel_request(self, request_id: str, now_ms: int) -> None:
        """
        Forget a queued request; a placed one stays charged.
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
        Release the slot of a placed request.
        """
        ...

    def add_task(self, task: TaskDemand, now_ms: int) -> None:
        """
        Queue a batch task, a new one or one that was evicted.
        """
        ...

    def adopt_task(
        self,
        task: TaskDemand,
        worker_id: str,
        now_ms: int,
    ) -> None:
        """
        Charge a task that already runs on the worker, without a decision.
        """
        ...

    def cancel_task(self, task_id: str, now_ms: int) -> None:
        """
        Forget a queued task; a running one stays charged until it ended.
        """
        ...

    def end_task(self, task_id: str, result: TaskResult, now_ms: int) -> None:
        """
        Release what a running task occupied.
        """
        ...

    def observe(self, report: WorkerReport, now_ms: int) -> None:
        """
        Take in a worker's usage report, which lags.
        """
        ...

    def decide(self, now_ms: int) -> Sequence[Decision]:
        """
        Return what to do now, in order; each decision is already charged.
        """
        ...

    def explain(self, task_id: str) -> str:
        """
        Tell which limit a queued task waits for, in words.
        """
        ...

    def free(self) -> Resources:
        """
        Return the sum of what the usable workers have free.
        """
        ...

    def queued_counts(self) -> tuple[int, int]:
        """
        Return the numbers of queued requests and queued tasks.
        """
        ...
