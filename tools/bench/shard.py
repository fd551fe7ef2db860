"""
State that the simulators of requests and of tasks share.
"""

import random
from dataclasses import dataclass, field

from hawthornpier.policy import Scheduler
from tools.bench.arrivals import ArrivalGenerator
from tools.bench.engine import Engine
from tools.bench.run_statistics import RunStatistics
from tools.bench.scenario import Scenario
from tools.bench.worker_model import Job, WorkerModel

# Work that arrives in this last part of a run is not measured, since it may not
# have ended when the run ends.
COOL_DOWN_MS = 4_000


@dataclass(slots=True, kw_only=True)
class SimulatedShard:
    """
    The scheduler under test, the modelled workers and the statistics.
    """

    scenario: Scenario
    scheduler: Scheduler
    engine: Engine
    arrivals: ArrivalGenerator
    statistics: RunStatistics
    random: random.Random
    workers: dict[str, WorkerModel] = field(default_factory=dict)

    def is_measured(self, at_ms: float) -> bool:
        """
        Return whether work that arrives at *at_ms* is measured.
        """
        last_ms = self.scenario.duration_ms - COOL_DOWN_MS
        return self.scenario.warmup_ms <= at_ms < last_ms

    def close_worker(self, worker: WorkerModel) -> None:
        """
        Close a lost worker in the scheduler, so that it gets no more work.
        """
        self.scheduler.close_worker(worker.info.worker_id, self.engine.now)

    def start_job(self, worker: WorkerModel, job: Job) -> None:
        """
        Start a job; count an overcommit if it exceeds the capacity.
        """
        if not worker.add_job(job, self.engine.now_ms):
            self.statistics.count('overcommits')
        self.schedule_next_completion(worker)

    def schedule_next_completion(self, worker: WorkerModel) -> None:
        """
        Schedule the completion of the worker's next job.

        A change of the worker's version invalidates the scheduled completion.
        """
        upcoming = worker.next_completion()
        if upcoming is not None:
            end_ms, job_id = upcoming
            self.engine.call_at(
                max(end_ms, self.engine.now_ms),
                self.complete_job,
                worker,
                worker.version,
                job_id,
            )

    def complete_job(
        self, worker: WorkerModel, version: int, job_id: str
    ) -> None:
        """
        Complete a job unless the worker has changed since the scheduling.
        """
        if worker.version != version:
            return
        job = worker.remove_job(job_id, self.engine.now_ms)
        self.schedule_next_completion(worker)
        if job is not None:
            job.on_end(worker, job)
            self.engine.request_decision()
