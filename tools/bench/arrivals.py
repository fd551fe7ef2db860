"""
Random arrivals of requests and tasks in a scenario.

The draws depend on the scenario and the seed alone, so all variants that are
compared get the same arrivals.
"""

import random
from collections.abc import Iterator
from dataclasses import dataclass

from hawthornpier.policy import RequestDemand, TaskDemand
from tools.bench import members
from tools.bench.scenario import (
    BatchLoad,
    Scenario,
    ServiceLoad,
    draw_lognormal,
)


@dataclass(frozen=True, slots=True, kw_only=True)
class RequestArrival:
    """
    The arrival of a request.

    *work_ms* is its actual work, which the scheduler does not know.
    """

    at_ms: float
    demand: RequestDemand
    work_ms: float


@dataclass(frozen=True, slots=True, kw_only=True)
class TaskArrival:
    """
    The arrival of a task.

    *work_ms* and *usage_millis* are its actual work and CPU use, which can
    differ from what *demand* declares.
    """

    at_ms: float
    demand: TaskDemand
    work_ms: float
    usage_millis: float
    is_short: bool


class ArrivalGenerator:
    """
    Generate the arrivals of a scenario.

    Args:
        scenario: Defines the services and batch workloads.
        seed: Seed of the random streams, of which each service and workload
            has its own.
    """

    def __init__(self, scenario: Scenario, seed: int) -> None:
        self._scenario = scenario
        self._seed = seed
        self._random_streams: dict[str, random.Random] = {}
        self._task_counts: dict[str, int] = {}

    def requests(self) -> Iterator[RequestArrival]:
        """
        Yield all requests, service by service.
        """
        for service in self._scenario.services:
            rng = self._random_stream(service.service)
            for number, at_ms in enumerate(self._arrival_times(service, rng)):
                yield RequestArrival(
                    at_ms=at_ms,
                    demand=RequestDemand(
                        request_id=f'{service.service}-{number}',
                        member=self._scenario.profile.member,
                        service=service.service,
                        demand=members.REQUEST,
                        deadline_ms=int(at_ms) + service.deadline_ms,
                    ),
                    work_ms=draw_lognormal(rng, service.mean_ms, service.sigma),
                )

    def job_tasks(self) -> Iterator[TaskArrival]:
        """
        Yield the tasks of all jobs that arrive at a given rate.

        Tasks that refill a backlog are drawn with `next_task` instead.
        """
        for batch in self._scenario.batches:
            rng = self._random_stream(f'{batch.workload}-times')
            at_ms = float(batch.from_ms)
            until_ms = min(batch.until_ms, self._scenario.duration_ms)
            while batch.job_rate_per_s:
                at_ms += rng.expovariate(batch.job_rate_per_s / 1000)
                if at_ms >= until_ms:
                    break
                for _ in range(batch.job_size):
                    yield self.next_task(batch, at_ms)

    def next_task(self, batch: BatchLoad, at_ms: float) -> TaskArrival:
        """
        Draw the next task of a workload, which arrives at *at_ms*.
        """
        rng = self._random_stream(batch.workload)
        number = self._task_counts.get(batch.workload, 0)
        self._task_counts[batch.workload] = number + 1
        work_ms = draw_lognormal(rng, batch.mean_ms, batch.sigma)
        if rng.random() < batch.straggler_fraction:
            work_ms *= batch.straggler_factor
        work_error = batch.declaration_error_factor ** rng.uniform(-1, 1)
        usage_error = batch.declaration_error_factor ** rng.uniform(-1, 1)
        low, high = batch.usage
        millis = batch.demand.processor_millis * rng.uniform(low, high)
        job = number // batch.job_size
        return TaskArrival(
            at_ms=at_ms,
            demand=TaskDemand(
                task_id=f'{batch.workload}-{job}/{number % batch.job_size}',
                member=self._scenario.profile.member,
                workload=batch.workload,
                demand=batch.demand,
                declared_work_ms=int(work_ms * work_error),
            ),
            work_ms=work_ms,
            usage_millis=millis * usage_error,
            is_short=batch.is_short,
        )

    def _arrival_times(
        self,
        service: ServiceLoad,
        rng: random.Random,
    ) -> Iterator[float]:
        peak = max(factor for _, factor in service.rate_curve)
        at_ms: float = 0
        while at_ms < self._scenario.duration_ms:
            at_ms += rng.expovariate(service.rate_per_s * peak / 1000)
            if rng.random() * peak < service.rate_factor(at_ms):
                yield at_ms

    def _random_stream(self, name: str) -> random.Random:
        key = f'{self._scenario.name}-{name}-{self._seed}'
        return self._random_streams.setdefault(key, random.Random(key))
