"""
Simulation of a scenario in virtual time with the real scheduler.
"""

import random
from functools import singledispatchmethod

from hawthornpier.messages import WorkerReport
from hawthornpier.policy import (
    Decision,
    EvictTask,
    PlaceRequest,
    PlaceTask,
    PolicySettings,
    RejectTask,
    Scheduler,
    ShedRequest,
    ThrottleTask,
    WorkerInfo,
    WorkloadLimits,
)
from tools.bench.arrivals import ArrivalGenerator
from tools.bench.engine import Engine
from tools.bench.request_simulator import LOSS_DETECTION_MS, RequestSimulator
from tools.bench.run_statistics import RunStatistics
from tools.bench.scenario import Fault, Scenario
from tools.bench.shard import COOL_DOWN_MS, SimulatedShard
from tools.bench.task_simulator import TaskSimulator
from tools.bench.worker_model import Job, WorkerModel

_REPORT_MS = 1_000
_REPORT_LAG_MS = 2_000
# Tasks of a lost worker are queued again only after their lease has expired.
_LEASE_MS = 15_000


class Simulation:
    """
    One run of one scenario.

    Args:
        scenario: Workers, load and faults.
        settings: Selects the mechanisms of the scheduler.
        seed: Seed of the scheduler, the arrivals and the faults.
    """

    def __init__(
        self,
        *,
        scenario: Scenario,
        settings: PolicySettings,
        seed: int,
    ) -> None:
        self._scenario = scenario
        self._engine = Engine(self._decide)
        self._shard = SimulatedShard(
            scenario=scenario,
            scheduler=Scheduler(settings=settings, seed=seed),
            engine=self._engine,
            arrivals=ArrivalGenerator(scenario, seed),
            statistics=RunStatistics(),
            random=random.Random(seed),
        )
        self._requests = RequestSimulator(self._shard, seed)
        self._tasks = TaskSimulator(self._shard)

    def run(self) -> dict[str, float]:
        """
        Run the scenario and return its metrics by name.
        """
        self._add_limits()
        self._add_workers()
        self._requests.schedule()
        self._tasks.schedule()
        for fault in self._scenario.faults:
            self._engine.call_at(fault.at_ms, self._inject_fault, fault)
        self._engine.call_at(self._scenario.warmup_ms, self._end_warmup)
        self._engine.run(self._scenario.duration_ms)
        core_count: float = 0
        for worker in self._shard.workers.values():
            worker.advance(self._engine.now_ms)
            self._shard.statistics.count('core_ms', worker.done_core_ms)
            core_count += worker.info.capacity.processor_millis / 1000
        span_ms = self._scenario.duration_ms - self._scenario.warmup_ms
        return self._shard.statistics.summary(
            span_ms=span_ms,
            request_span_ms=span_ms - COOL_DOWN_MS,
            core_count=core_count,
        )

    def _add_limits(self) -> None:
        member = self._scenario.profile.member
        rows = (
            *((load.service, load.weight) for load in self._scenario.services),
            *((load.workload, load.weight) for load in self._scenario.batches),
        )
        self._shard.scheduler.set_limits(
            WorkloadLimits(name=name, member=member, weight=weight)
            for name, weight in rows
        )

    def _add_workers(self) -> None:
        profile = self._scenario.profile
        for rack, domain in enumerate(profile.failure_domains):
            for position in range(profile.rack_size):
                info = WorkerInfo(
                    worker_id=f'w{rack * profile.rack_size + position:02d}',
                    region='region',
                    failure_domain=domain,
                    rack=f'rack{rack}',
                    capacity=profile.capacity,
                )
                model = WorkerModel(info, self._scenario.interference)
                self._shard.workers[info.worker_id] = model
                self._shard.scheduler.add_worker(info, 0)
                self._engine.call_at(_REPORT_MS, self._collect_report, model)

    def _end_warmup(self) -> None:
        self._shard.statistics.counts.clear()
        for worker in self._shard.workers.values():
            worker.advance(self._engine.now_ms)
            worker.done_core_ms = 0

    def _decide(self) -> None:
        for decision in self._shard.scheduler.decide(self._engine.now):
            self._apply(decision)

    @singledispatchmethod
    def _apply(self, decision: Decision) -> None:
        raise TypeError(f'cannot simulate unknown decision: {decision}')

    @_apply.register
    def _(self, decision: ShedRequest) -> None:
        self._requests.shed(decision)

    @_apply.register
    def _(self, decision: PlaceRequest) -> None:
        self._requests.place(decision)

    @_apply.register
    def _(self, decision: PlaceTask) -> None:
        self._tasks.place(decision)

    @_apply.register
    def _(self, decision: EvictTask) -> None:
        self._tasks.evict(decision)

    @_apply.register
    def _(self, decision: ThrottleTask) -> None:
        self._tasks.throttle(decision)

    @_apply.register
    def _(self, decision: RejectTask) -> None:
        self._tasks.reject(decision)

    def _collect_report(self, worker: WorkerModel) -> None:
        if worker.is_lost:
            return
        self._engine.call_after(_REPORT_MS, self._collect_report, worker)
        report = WorkerReport(
            worker_id=worker.info.worker_id,
            measured_ms=self._engine.now,
            usage=worker.info.capacity,
            samples=tuple(worker.samples),
        )
        worker.samples.clear()
        self._engine.call_after(_REPORT_LAG_MS, self._deliver_report, report)

    def _deliver_report(self, report: WorkerReport) -> None:
        self._shard.scheduler.observe(report, self._engine.now)
        self._engine.request_decision()

    def _inject_fault(self, fault: Fault) -> None:
        if fault.kind == 'cancel':
            self._tasks.cancel(fault.workload)
        for position, worker in enumerate(self._shard.workers.values()):
            if position in fault.workers:
                if fault.kind == 'lose':
                    self._lose_worker(worker)
                worker.is_failing = fault.kind == 'fail_all'

    def _lose_worker(self, worker: WorkerModel) -> None:
        worker.advance(self._engine.now_ms)
        worker.is_lost = True
        worker.version += 1
        jobs = list(worker.jobs.values())
        worker.jobs.clear()
        for job in jobs:
            simulator = self._requests if job.is_request else self._tasks
            simulator.handle_loss(job)
        self._engine.call_after(
            LOSS_DETECTION_MS, self._shard.close_worker, worker
        )
        self._engine.call_after(
            _LEASE_MS, self._remove_lost_worker, worker, jobs
        )

    def _remove_lost_worker(self, worker: WorkerModel, jobs: list[Job]) -> None:
        scheduler = self._shard.scheduler
        scheduler.remove_worker(worker.info.worker_id, self._engine.now)
        for job in jobs:
            if not job.is_request:
                self._tasks.requeue(job.job_id, 0)
