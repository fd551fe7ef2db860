"""
Simulation of callers and of the shard owner's handling of requests.
"""

from hawthornpier.messages import LatencySample
from hawthornpier.policy import (
    FailureClass,
    PlaceRequest,
    RequestResult,
    RetryBudget,
    ShedRequest,
)
from tools.bench.arrivals import RequestArrival
from tools.bench.shard import SimulatedShard
from tools.bench.worker_model import Job, WorkerModel

# A request that is shed within this time of its arrival counts as not admitted.
_ADMISSION_DECISION_MS = 2
# A failing worker replies to each request with an error after at most this
# time.
_FAILURE_MS = 50
# The owner detects the loss of a worker, and of the requests on it, after this
# time.
LOSS_DETECTION_MS = 1_500


class RequestSimulator:
    """
    Submit requests, apply the decisions on them and count the outcomes.

    Args:
        shard: The simulated shard.
        seed: Seed of the retry delays.
    """

    def __init__(self, shard: SimulatedShard, seed: int) -> None:
        self._shard = shard
        self._engine = shard.engine
        self._retries = RetryBudget(seed=seed)
        self._unfinished: dict[str, RequestArrival] = {}
        self._attempts: dict[str, int] = {}

    def schedule(self) -> None:
        """
        Schedule the arrivals of all requests of the scenario.
        """
        for request in self._shard.arrivals.requests():
            self._engine.call_at(request.at_ms, self._arrive, request)

    def shed(self, decision: ShedRequest) -> None:
        """
        Drop a shed request and count it.
        """
        request = self._unfinished.pop(decision.request_id)
        if self._engine.now_ms - request.at_ms <= _ADMISSION_DECISION_MS:
            self._count('shed', request)
            self._count('admitted', request, -1)
        else:
            self._count('shed_late', request)

    def place(self, decision: PlaceRequest) -> None:
        """
        Start a request on the worker that it was placed on.
        """
        request = self._unfinished[decision.request_id]
        worker = self._shard.workers[decision.worker_id]
        demand = request.demand.demand
        work_ms = request.work_ms
        if worker.is_failing:
            work_ms = min(work_ms, _FAILURE_MS)
        job = Job(
            job_id=decision.request_id,
            name=request.demand.service,
            is_request=True,
            demand=demand,
            usage_millis=demand.processor_millis,
            remaining_work_ms=work_ms,
            started_ms=self._engine.now_ms,
            work_ms=work_ms,
            on_end=self._end,
        )
        if worker.is_lost:
            self.handle_loss(job)
        else:
            self._shard.start_job(worker, job)

    def handle_loss(self, job: Job) -> None:
        """
        Fail a request on a lost worker once the owner detects the loss.
        """
        self._engine.call_after(
            LOSS_DETECTION_MS,
            self._fail,
            job,
            RequestResult.LOST,
            FailureClass.UNREACHABLE,
        )

    def _arrive(self, request: RequestArrival) -> None:
        self._unfinished[request.demand.request_id] = request
        self._count('arrived', request)
        self._count('admitted', request)
        self._submit(request)

    def _submit(self, request: RequestArrival) -> None:
        self._shard.scheduler.add_request(request.demand, self._engine.now)
        self._engine.request_decision()

    def _end(self, worker: WorkerModel, job: Job) -> None:
        if worker.is_failing:
            self._fail(job, RequestResult.FAILED, FailureClass.FAILED)
            return
        self._retries.record_success()
        request = self._unfinished.pop(job.job_id)
        duration_ms = self._engine.now_ms - job.started_ms
        worker.samples.append(
            LatencySample(
                service=job.name,
                duration_ms=duration_ms,
                ended_ms=self._engine.now,
            ),
        )
        self._count_answer(request)
        self._shard.scheduler.end_request(
            job.job_id,
            RequestResult.ANSWERED,
            duration_ms,
            self._engine.now,
        )

    def _fail(
        self,
        job: Job,
        result: RequestResult,
        failure: FailureClass,
    ) -> None:
        request = self._unfinished.pop(job.job_id)
        self._shard.scheduler.end_request(
            job.job_id,
            result,
            self._engine.now_ms - job.started_ms,
            self._engine.now,
        )
        self._engine.request_decision()
        attempt = self._attempts.get(job.job_id, 0)
        delay_ms = self._retries.backoff_ms(failure, attempt)
        remaining_ms = (
            request.demand.deadline_ms - self._engine.now_ms - delay_ms
        )
        if remaining_ms > 0 and self._retries.try_spend():
            self._attempts[job.job_id] = attempt + 1
            self._unfinished[job.job_id] = request
            self._engine.call_after(delay_ms, self._submit, request)
        else:
            self._count('failed_requests', request)

    def _count_answer(self, request: RequestArrival) -> None:
        latency_ms = self._engine.now_ms - request.at_ms
        if self._shard.is_measured(request.at_ms):
            self._shard.statistics.latencies_ms.append(latency_ms)
            if self._is_peak(request):
                self._shard.statistics.peak_latencies_ms.append(latency_ms)
        if self._engine.now_ms <= request.demand.deadline_ms:
            self._count('in_deadline', request)

    def _count(
        self,
        name: str,
        request: RequestArrival,
        amount: int = 1,
    ) -> None:
        if self._shard.is_measured(request.at_ms):
            self._shard.statistics.count(name, amount)
            if self._is_peak(request):
                self._shard.statistics.count(f'peak_{name}', amount)

    def _is_peak(self, request: RequestArrival) -> bool:
        peak = self._shard.scenario.peak_window_ms
        return peak is not None and peak[0] <= request.at_ms < peak[1]
