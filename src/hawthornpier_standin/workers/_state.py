"""
What one worker holds at the moment, shared by its parts.
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

# Work below this amount counts as finished (rounding of floats).
_WORK_TOLERANCE_MS = 1e-6


@dataclass(slots=True, kw_only=True)
class Run:
    """
    One run of a batch task that the worker holds.
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
        Work that is left, in ms on an idle worker.
        """
        return self.start.work_ms - self.progress_ms

    @property
    def is_complete(self) -> bool:
        """
        Whether no work is left.
        """
        return self.remaining_ms <= _WORK_TOLERANCE_MS

    def to_message(self) -> RunningTask:
        """
        Return the run as the worker reports it to an owner.
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
    One request that the worker serves or has served.
    """

    request: EndpointRequest
    started_ms: int
    remaining_ms: float
    reply: asyncio.Future[EndpointReply]

    def to_message(self) -> OpenRequest:
        """
        Return the request as the worker reports it to an owner.
        """
        return OpenRequest(
            request_id=self.request.request_id,
            service=self.request.service,
            demand=self.request.demand,
        )


@dataclass(slots=True, kw_only=True)
class WorkerState:
    """
    Capacity, faults, held work and the means to pass time.
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
        Tell whether *demand* fits beside everything that is held.
        """
        if not self.has_guards:
            return True
        return demand.fits_in(self.capacity - self.charged())

    def charged(self) -> Resources:
        """
        Return the sum of the demands of everything that is held.
        """
        demands = [run.start.demand for run in self.runs.values()]
        demands.extend(
            execution.request.demand for execution in self.executions.values()
        )
        return sum(demands, start=Resources())

    def usage(self) -> Resources:
        """
        Return what the held work really uses.
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
        Return the progress of *run* per unit of time.
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
        Return the progress of *execution* per unit of time.
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
        Wait for *duration_ms*, and as long as the worker is paused.
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
