"""
State of one simulated worker, and the speed of its runs and requests.
"""

import asyncio
from dataclasses import dataclass, field

from hawthornpier.messages import (
    EndpointReply,
    EndpointRequest,
    OpenRequest,
    Resources,
    RunningTask,
    TaskStart,
)
from hawthornpier.ports import Clock
from hawthornpier_standin.workers._contention import Contention
from hawthornpier_standin.workers._journal import Journal
from hawthornpier_standin.workers._model import WorkerFaults, WorkerModel

# Remaining work below this amount counts as none, as floats are rounded.
_WORK_TOLERANCE_MS = 1e-6


@dataclass(slots=True, kw_only=True)
class Run:
    """
    A run of a batch task that has not ended.
    """

    start: TaskStart
    lease_end_ms: int
    progress_ms: float
    checkpoint: str
    is_throttled: bool = False
    is_failing: bool = False
    task: asyncio.Task[None] | None = None

    @property
    def remaining_ms(self) -> float:
        """
        Remaining work, as the time in ms that it takes on an idle worker.
        """
        return self.start.work_ms - self.progress_ms

    @property
    def is_complete(self) -> bool:
        """
        Whether no work remains.
        """
        return self.remaining_ms <= _WORK_TOLERANCE_MS

    def to_message(self) -> RunningTask:
        """
        Return the message that lists the run to an owner.
        """
        return RunningTask(
            run_id=self.start.run_id,
            task_id=self.start.task_id,
            demand=self.start.demand,
            is_throttled=self.is_throttled,
        )


@dataclass(slots=True, kw_only=True)
class Execution:
    """
    A request that the worker is serving or has served.
    """

    request: EndpointRequest
    started_ms: int
    remaining_ms: float
    reply: asyncio.Future[EndpointReply]

    def to_message(self) -> OpenRequest:
        """
        Return the message that lists the request to an owner.
        """
        return OpenRequest(
            request_id=self.request.request_id,
            service=self.request.service,
            demand=self.request.demand,
        )


@dataclass(slots=True, kw_only=True)
class WorkerState:
    """
    Capacity, faults, runs and open requests of one worker.
    """

    worker_id: str
    capacity: Resources
    has_guards: bool
    clock: Clock
    model: WorkerModel
    journal: Journal
    contention: Contention
    faults: WorkerFaults = WorkerFaults()
    runs: dict[str, Run] = field(default_factory=dict)
    executions: dict[str, Execution] = field(default_factory=dict)
    # Set while the worker is not paused.
    resumed: asyncio.Event = field(default_factory=asyncio.Event)

    def admits(self, demand: Resources) -> bool:
        """
        Return whether *demand* fits beside the runs and open requests.

        A worker without guards admits any demand.
        """
        if not self.has_guards:
            return True
        return demand.fits_in(self.capacity - self.charged())

    def charged(self) -> Resources:
        """
        Return the sum of the demands of the runs and open requests.
        """
        demands = [run.start.demand for run in self.runs.values()]
        demands.extend(
            execution.request.demand for execution in self.executions.values()
        )
        return sum(demands, start=Resources())

    def usage(self) -> Resources:
        """
        Return the actual usage of the runs and open requests.
        """
        usages = [self._run_usage(run) for run in self.runs.values()]
        usages.extend(
            self.contention.usage(
                execution.request.service,
                execution.request.demand,
            )
            for execution in self.executions.values()
        )
        return sum(usages, start=Resources())

    def run_speed(self, run: Run) -> float:
        """
        Return the speed of *run* relative to an idle worker.
        """
        speed = self.contention.speed(
            self._load(),
            [
                self.contention.coefficient(
                    execution.request.service,
                    run.start.workload,
                )
                * self._execution_share(execution)
                for execution in self.executions.values()
            ],
        )
        throttle = self.model.throttled_speed if run.is_throttled else 1
        return speed * throttle * self.faults.speed_factor

    def execution_speed(self, execution: Execution) -> float:
        """
        Return the speed of *execution* relative to an idle worker.
        """
        speed = self.contention.speed(
            self._load(),
            [
                self.contention.coefficient(
                    execution.request.service,
                    run.start.workload,
                )
                * self._run_share(run)
                for run in self.runs.values()
            ],
        )
        return speed * self.faults.speed_factor

    async def pass_time(self, duration_ms: float) -> None:
        """
        Sleep for *duration_ms*, then wait until the worker is not paused.
        """
        await self.clock.sleep_ms(duration_ms)
        await self.resumed.wait()

    def _load(self) -> float:
        shares = [self._run_share(run) for run in self.runs.values()]
        shares.extend(
            self._execution_share(execution)
            for execution in self.executions.values()
        )
        return sum(shares)

    def _run_share(self, run: Run) -> float:
        return self.contention.share(self._run_usage(run))

    def _execution_share(self, execution: Execution) -> float:
        return self.contention.share(
            self.contention.usage(
                execution.request.service,
                execution.request.demand,
            ),
        )

    def _run_usage(self, run: Run) -> Resources:
        usage = self.contention.usage(run.start.workload, run.start.demand)
        if not run.is_throttled:
            return usage
        saved = usage.processor_millis * (1 - self.model.throttled_speed)
        return usage - Resources(processor_millis=int(saved))
