"""
What the parts of a simulated shard share.
"""

import random
from dataclasses import dataclass, field

from hawthornpier.policy import Scheduler
from tools.bench.engine import Engine
from tools.bench.feed import ArrivalGenerator
from tools.bench.scenario import Scenario
from tools.bench.tally import RunStatistics
from tools.bench.worker_model import Job, WorkerModel

COOL_DOWN_MS = 4_000


@dataclass(slots=True, kw_only=True)
class SimulatedShard:
    """
    The scheduler under test and the modelled workers.
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
        Tell whether an arrival at this time enters the measures.

        Requests of the last seconds may still run when the run ends.
        """
        last_ms = self.scenario.duration_ms - COOL_DOWN_MS
        return self.scenario.warmup_ms <= at_ms < last_ms

    def close_worker(self, worker: WorkerModel) -> None:
        """
        Let the owner notice that a worker is lost.
        """
        self.scheduler.close_worker(worker.info.worker_id, self.engine.now)

    def start_job(self, worker: WorkerModel, job: Job) -> None:
        """
        Start work on a worker and check the worker's capacity.
        """
        if not worker.add_job(job, self.engine.now_ms):
            self.statistics.count('overcommits')
        self.schedule_next_completion(worker)

    def schedule_next_completion(self, worker: WorkerModel) -> None:
        """
        Let the worker's next work end in time.
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
        End work, unless the worker has changed since this was scheduled.
        """
        if worker.version != version:
            return
        job = worker.remove_job(job_id, self.engine.now_ms)
        self.schedule_next_completion(worker)
        if job is not None:
            job.on_end(worker, job)
            self.engine.request_decision()
