"""
Drives the product's scheduler through a scenario in virtual time.
"""

import heapq
import itertools
import random
from collections.abc import Callable
from dataclasses import replace
from functools import singledispatchmethod
from typing import Any

from hawthornpier.messages import LatencySample, TaskResult, WorkerReport
from hawthornpier.policy import (
    Decision,
    EvictTask,
    PlaceRequest,
    PlaceTask,
    PolicySettings,
    RejectTask,
    RequestResult,
    Scheduler,
    ShedRequest,
    ThrottleTask,
    WorkerInfo,
    WorkloadLimits,
)
from tools.bench.feed import Feed, RequestArrival, TaskArrival
from tools.bench.scenario import BatchLoad, Fault, Scenario
from tools.bench.tally import Tally
from tools.bench.worker_model import Job, WorkerModel

_DECIDE_MS = 1
_TICK_MS = 100
_REPORT_MS = 1_000
_REPORT_LAG_MS = 2_000
# A checkpoint takes this long and sometimes fails; a resumed task repeats
# some work.
_CHECKPOINT_MS = 200
_CHECKPOINT_FAILURE = 0.05
_RESUME_MS = 500
_FAIL_MS = 50
# The owner learns of lost requests and of lost tasks after these times.
_DETECT_MS = 1_500
_LEASE_MS = 15_000


class Simulation:
    """
    One run of one scenario.

    Args:
        scenario: What happens.
        settings: The scheduler's mechanisms.
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
        self._feed = Feed(scenario, seed)
        self._random = random.Random(seed)
        self._tally = Tally()
        self._scheduler = Scheduler(settings=settings, seed=seed)
        self._events: list[tuple[float, int, Callable[..., None], Any]] = []
        self._numbers = itertools.count()
        self._now_ms: float = 0
        self._is_decision_due = False
        self._workers: dict[str, WorkerModel] = {}
        self._requests: dict[str, RequestArrival] = {}
        self._tasks: dict[str, TaskArrival] = {}
        self._batches = {batch.workload: batch for batch in scenario.batches}

    def run(self) -> dict[str, float]:
        """
        Run the scenario and return its measures.
        """
        self._prepare()
        while self._events and self._events[0][0] <= self._scenario.duration_ms:
            self._now_ms, _, action, argument = heapq.heappop(self._events)
            action(argument)
        capacity_millis = 0
        for worker in self._workers.values():
            worker.advance(self._scenario.duration_ms)
            self._tally.count('core_ms', worker.done_core_ms)
            capacity_millis += worker.info.capacity.processor_millis
        return self._tally.summary(
            span_ms=self._scenario.duration_ms - self._scenario.warmup_ms,
            core_count=capacity_millis / 1000,
        )

    def _prepare(self) -> None:
        profile = self._scenario.profile
        member = profile.member
        rows = (
            *((load.service, load.weight) for load in self._scenario.services),
            *((load.workload, load.weight) for load in self._scenario.batches),
        )
        self._scheduler.set_limits(
            WorkloadLimits(name=name, member=member, weight=weight)
            for name, weight in rows
        )
        for rack, domain in enumerate(profile.failure_domains):
            for place in range(profile.rack_size):
                info = WorkerInfo(
                    worker_id=f'w{rack * profile.rack_size + place:02d}',
                    region='region',
                    failure_domain=domain,
                    rack=f'rack{rack}',
                    capacity=profile.capacity,
                )
                model = WorkerModel(info, self._scenario.interference)
                self._workers[info.worker_id] = model
                self._scheduler.add_worker(info, 0)
                self._at(_REPORT_MS, self._measure, model)
        for request in self._feed.requests():
            self._at(request.at_ms, self._arrive_request, request)
        for task in self._feed.jobs():
            self._at(task.at_ms, self._arrive_task, task)
        for batch in self._scenario.batches:
            for _ in range(batch.backlog_count):
                self._arrive_task(self._feed.task(batch, 0))
        for fault in self._scenario.faults:
            self._at(fault.at_ms, self._inject, fault)
        self._at(self._scenario.warmup_ms, self._end_warmup, None)
        self._at(0, self._tick, None)

    def _at(
        self,
        time_ms: float,
        action: Callable[..., None],
        argument: Any,
    ) -> None:
        heapq.heappush(
            self._events,
            (time_ms, next(self._numbers), action, argument),
        )

    def _touch(self) -> None:
        if not self._is_decision_due:
            self._is_decision_due = True
            self._at(self._now_ms + _DECIDE_MS, self._decide, None)

    def _tick(self, _: None) -> None:
        self._touch()
        self._at(self._now_ms + _TICK_MS, self._tick, None)

    def _end_warmup(self, _: None) -> None:
        self._tally.counts.clear()
        self._tally.latencies_ms.clear()
        self._tally.short_waits_ms.clear()
        self._tally.short_service_ms.clear()
        for worker in self._workers.values():
            worker.advance(self._now_ms)
            worker.done_core_ms = 0

    def _count_request(self, name: str, request: RequestArrival) -> None:
        if request.at_ms < self._scenario.warmup_ms:
            return
        self._tally.count(name)
        peak = self._scenario.peak_ms
        if peak and peak[0] <= request.at_ms < peak[1]:
            self._tally.count(f'peak_{name}')

    def _arrive_request(self, request: RequestArrival) -> None:
        self._requests[request.demand.request_id] = request
        self._count_request('arrived', request)
        self._count_request('admitted', request)
        self._scheduler.add_request(request.demand, int(self._now_ms))
        self._touch()

    def _arrive_task(self, task: TaskArrival) -> None:
        self._tasks[task.demand.task_id] = task
        self._scheduler.add_task(task.demand, int(self._now_ms))
        self._touch()

    def _decide(self, _: None) -> None:
        self._is_decision_due = False
        for decision in self._scheduler.decide(int(self._now_ms)):
            self._carry_out(decision)

    @singledispatchmethod
    def _carry_out(self, decision: Decision) -> None:
        raise TypeError(f'unknown decision: {decision}')

    @_carry_out.register
    def _(self, decision: ShedRequest) -> None:
        request = self._requests.pop(decision.request_id)
        # Decisions follow arrivals at once, so any longer wait means that the
        # request was kept and shed later.
        if self._now_ms - request.at_ms <= 2 * _DECIDE_MS:
            self._count_request('shed', request)
            self._uncount_admitted(request)
        else:
            self._count_request('shed_late', request)

    @_carry_out.register
    def _(self, decision: PlaceRequest) -> None:
        request = self._requests[decision.request_id]
        worker = self._workers[decision.worker_id]
        job = Job(
            job_id=decision.request_id,
            name=request.demand.service,
            is_request=True,
            demand=request.demand.demand,
            usage_millis=request.demand.demand.processor_millis,
            left_ms=request.work_ms,
            started_ms=self._now_ms,
            work_ms=request.work_ms,
        )
        self._start(worker, job)

    @_carry_out.register
    def _(self, decision: PlaceTask) -> None:
        task = self._tasks[decision.task_id]
        if task.is_short and task.demand.eviction_count == 0:
            if task.at_ms >= self._scenario.warmup_ms:
                self._tally.short_waits_ms.append(self._now_ms - task.at_ms)
        left_ms = task.work_ms - task.demand.done_work_ms
        if task.demand.eviction_count:
            left_ms += _RESUME_MS
            lost = _RESUME_MS * task.usage_millis / 1000
            self._tally.count('lost_core_ms', lost)
        job = Job(
            job_id=decision.task_id,
            name=task.demand.workload,
            is_request=False,
            demand=task.demand.demand,
            usage_millis=task.usage_millis,
            left_ms=left_ms,
            started_ms=self._now_ms,
            work_ms=left_ms,
        )
        self._start(self._workers[decision.worker_id], job)
        batch = self._batches[task.demand.workload]
        if batch.backlog_count and not task.demand.eviction_count:
            self._arrive_task(self._feed.task(batch, self._now_ms))

    @_carry_out.register
    def _(self, decision: EvictTask) -> None:
        self._tally.count('evictions')
        worker = self._workers[decision.worker_id]
        job = worker.jobs.get(decision.task_id)
        if job is not None:
            worker.change(job, self._now_ms, is_frozen=True)
            self._schedule_end(worker)
            self._at(
                self._now_ms + _CHECKPOINT_MS,
                self._end_eviction,
                (worker, job),
            )

    @_carry_out.register
    def _(self, decision: ThrottleTask) -> None:
        self._tally.count('throttles', decision.is_throttled)
        worker = self._workers[decision.worker_id]
        job = worker.jobs.get(decision.task_id)
        if job is not None:
            worker.change(
                job,
                self._now_ms,
                is_throttled=decision.is_throttled,
            )
            self._schedule_end(worker)

    @_carry_out.register
    def _(self, decision: RejectTask) -> None:
        self._tally.count('rejected_tasks')
        self._tasks.pop(decision.task_id)

    def _start(self, worker: WorkerModel, job: Job) -> None:
        if worker.is_lost:
            if job.is_request:
                due_ms = self._now_ms + _DETECT_MS
                self._at(due_ms, self._lose_request, job)
            return
        if worker.is_failing:
            job.left_ms = min(job.left_ms, _FAIL_MS)
        if not worker.add(job, self._now_ms):
            self._tally.count('overcommits')
        self._schedule_end(worker)

    def _schedule_end(self, worker: WorkerModel) -> None:
        upcoming = worker.next_end()
        if upcoming is not None:
            end_ms, job_id = upcoming
            self._at(
                max(end_ms, self._now_ms),
                self._end_job,
                (worker, worker.version, job_id),
            )

    def _end_job(self, argument: tuple[WorkerModel, int, str]) -> None:
        worker, version, job_id = argument
        if worker.version != version:
            return
        job = worker.take(job_id, self._now_ms)
        self._schedule_end(worker)
        if job is None:
            return
        if job.is_request:
            self._end_request(worker, job)
        else:
            self._end_task(worker, job)
        self._touch()

    def _end_request(self, worker: WorkerModel, job: Job) -> None:
        request = self._requests.pop(job.job_id)
        duration_ms = self._now_ms - job.started_ms
        result = RequestResult.ANSWERED
        if worker.is_failing:
            result = RequestResult.FAILED
            self._count_request('failed_requests', request)
        else:
            worker.samples.append(
                LatencySample(
                    service=job.name,
                    duration_ms=duration_ms,
                    ended_ms=int(self._now_ms),
                ),
            )
            self._count_answer(request)
        self._scheduler.end_request(
            job.job_id,
            result,
            duration_ms,
            int(self._now_ms),
        )

    def _count_answer(self, request: RequestArrival) -> None:
        latency_ms = self._now_ms - request.at_ms
        if request.at_ms >= self._scenario.warmup_ms:
            self._tally.latencies_ms.append(latency_ms)
            peak = self._scenario.peak_ms
            if peak and peak[0] <= request.at_ms < peak[1]:
                self._tally.peak_latencies_ms.append(latency_ms)
        if self._now_ms <= request.demand.deadline_ms:
            self._count_request('in_deadline', request)

    def _lose_request(self, job: Job) -> None:
        request = self._requests.pop(job.job_id)
        self._count_request('failed_requests', request)
        self._scheduler.end_request(
            job.job_id,
            RequestResult.LOST,
            self._now_ms - job.started_ms,
            int(self._now_ms),
        )
        self._touch()

    def _end_task(self, worker: WorkerModel, job: Job) -> None:
        now_ms = int(self._now_ms)
        if worker.is_failing:
            self._tally.count('failed_tasks')
            self._scheduler.end_task(job.job_id, TaskResult.FAILED, now_ms)
            task = self._tasks[job.job_id]
            self._scheduler.add_task(task.demand, now_ms)
            return
        task = self._tasks.pop(job.job_id)
        if task.is_short and task.at_ms >= self._scenario.warmup_ms:
            self._tally.short_service_ms.append(self._now_ms - job.started_ms)
        self._scheduler.end_task(job.job_id, TaskResult.DONE, now_ms)

    def _end_eviction(self, argument: tuple[WorkerModel, Job]) -> None:
        worker, job = argument
        if worker.jobs.get(job.job_id) is not job:
            return
        worker.take(job.job_id, self._now_ms)
        self._schedule_end(worker)
        progress_ms = job.work_ms - job.left_ms
        if self._random.random() < _CHECKPOINT_FAILURE:
            lost = progress_ms * job.usage_millis / 1000
            self._tally.count('lost_core_ms', lost)
            progress_ms = 0
        self._scheduler.end_task(
            job.job_id,
            TaskResult.EVICTED,
            int(self._now_ms),
        )
        self._requeue(job.job_id, progress_ms)

    def _requeue(self, task_id: str, progress_ms: float) -> None:
        task = self._tasks[task_id]
        done_ms = task.demand.done_work_ms + int(progress_ms)
        demand = replace(
            task.demand,
            done_work_ms=min(done_ms, int(task.work_ms)),
            eviction_count=task.demand.eviction_count + 1,
        )
        self._tasks[task_id] = replace(task, demand=demand)
        self._scheduler.add_task(demand, int(self._now_ms))
        self._touch()

    def _measure(self, worker: WorkerModel) -> None:
        self._at(self._now_ms + _REPORT_MS, self._measure, worker)
        if worker.is_lost:
            return
        report = WorkerReport(
            worker_id=worker.info.worker_id,
            measured_ms=int(self._now_ms),
            usage=worker.info.capacity,
            samples=tuple(worker.samples),
        )
        worker.samples.clear()
        self._at(self._now_ms + _REPORT_LAG_MS, self._deliver, report)

    def _deliver(self, report: WorkerReport) -> None:
        self._scheduler.observe(report, int(self._now_ms))
        self._touch()

    def _inject(self, fault: Fault) -> None:
        workers = [
            worker
            for place, worker in enumerate(self._workers.values())
            if place in fault.workers
        ]
        if fault.kind == 'cancel':
            self._cancel(self._batches[fault.workload])
        for worker in workers:
            if fault.kind == 'fail_all':
                worker.is_failing = True
            if fault.kind == 'lose':
                self._lose(worker)

    def _cancel(self, batch: BatchLoad) -> None:
        running = {
            job_id
            for worker in self._workers.values()
            for job_id in worker.jobs
        }
        doomed = [
            task_id
            for task_id, task in self._tasks.items()
            if task.demand.workload == batch.workload and task_id not in running
        ]
        for task_id in doomed:
            self._scheduler.cancel_task(task_id, int(self._now_ms))
            self._tasks.pop(task_id)
            self._tally.count('cancelled_tasks')
        for _ in range(batch.backlog_count):
            self._arrive_task(self._feed.task(batch, self._now_ms))

    def _lose(self, worker: WorkerModel) -> None:
        worker.advance(self._now_ms)
        worker.is_lost = True
        worker.version += 1
        jobs = list(worker.jobs.values())
        worker.jobs.clear()
        for job in jobs:
            if job.is_request:
                due_ms = self._now_ms + _DETECT_MS
                self._at(due_ms, self._lose_request, job)
            else:
                done_ms = job.work_ms - job.left_ms
                lost = done_ms * job.usage_millis / 1000
                self._tally.count('lost_core_ms', lost)
        self._at(self._now_ms + _DETECT_MS, self._close, worker)
        self._at(self._now_ms + _LEASE_MS, self._remove, (worker, jobs))

    def _close(self, worker: WorkerModel) -> None:
        self._scheduler.close_worker(
            worker.info.worker_id,
            int(self._now_ms),
        )

    def _remove(self, argument: tuple[WorkerModel, list[Job]]) -> None:
        worker, jobs = argument
        self._scheduler.remove_worker(
            worker.info.worker_id,
            int(self._now_ms),
        )
        for job in jobs:
            if not job.is_request:
                self._requeue(job.job_id, 0)

    def _uncount_admitted(self, request: RequestArrival) -> None:
        if request.at_ms < self._scenario.warmup_ms:
            return
        self._tally.count('admitted', -1)
        peak = self._scenario.peak_ms
        if peak and peak[0] <= request.at_ms < peak[1]:
            self._tally.count('peak_admitted', -1)
