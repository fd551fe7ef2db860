"""
A model of workers on which work slows each other down.
"""

from collections.abc import Callable, Mapping
from dataclasses import dataclass

from hawthornpier.messages import LatencySample, Resources
from hawthornpier.policy import WorkerInfo

# A throttled task gets, and burdens its worker with, this fraction.
_THROTTLED_SPEED = 0.2
# Shared caches and memory bandwidth slow work down from half load on, by this
# fraction at full load.
_LOAD_ONSET = 0.5
_LOAD_SLOWDOWN = 0.1


@dataclass(slots=True, kw_only=True)
class Job:
    """
    One task or request on a worker.

    *remaining_work_ms* is the work that is left, in ms at full speed.
    """

    job_id: str
    name: str
    is_request: bool
    demand: Resources
    usage_millis: float
    remaining_work_ms: float
    started_ms: float
    work_ms: float
    on_end: Callable[['WorkerModel', 'Job'], None]
    speed: float = 0
    is_throttled: bool = False
    is_frozen: bool = False

    @property
    def active_fraction(self) -> float:
        """
        The fraction of its burden that the work puts on its worker.
        """
        if self.is_frozen:
            return 0
        return _THROTTLED_SPEED if self.is_throttled else 1


class WorkerModel:
    """
    Runs work at a speed that falls with load and with hostile neighbours.

    Args:
        info: The worker.
        interference: Slowdown of each (service, batch workload) pair.
    """

    def __init__(
        self,
        info: WorkerInfo,
        interference: Mapping[tuple[str, str], float],
    ) -> None:
        self.info = info
        self.jobs: dict[str, Job] = {}
        self.version = 0
        self.is_failing = False
        self.is_lost = False
        self.samples: list[LatencySample] = []
        self.done_core_ms: float = 0
        self._interference = interference
        self._updated_ms: float = 0
        self._demand = Resources()

    def add_job(self, job: Job, now_ms: float) -> bool:
        """
        Start work; return False if its demand does not fit.
        """
        self.advance(now_ms)
        self.jobs[job.job_id] = job
        self._demand += job.demand
        self._set_speeds()
        return self._demand.fits_in(self.info.capacity)

    def remove_job(self, job_id: str, now_ms: float) -> Job | None:
        """
        Take work off the worker.
        """
        self.advance(now_ms)
        job = self.jobs.pop(job_id, None)
        if job is not None:
            self._demand -= job.demand
        self._set_speeds()
        return job

    def set_flags(self, job: Job, now_ms: float, **flags: bool) -> None:
        """
        Throttle or freeze a task.
        """
        self.advance(now_ms)
        for name, flag in flags.items():
            setattr(job, name, flag)
        self._set_speeds()

    def advance(self, now_ms: float) -> None:
        """
        Let the work proceed up to now.
        """
        elapsed_ms = now_ms - self._updated_ms
        self._updated_ms = now_ms
        for job in self.jobs.values():
            done_ms = min(elapsed_ms * job.speed, job.remaining_work_ms)
            job.remaining_work_ms -= done_ms
            if not job.is_request:
                self.done_core_ms += done_ms * job.usage_millis / 1000

    def next_completion(self) -> tuple[float, str] | None:
        """
        Return when which work ends first, if nothing changes.
        """
        ends = [
            (self._updated_ms + job.remaining_work_ms / job.speed, job.job_id)
            for job in self.jobs.values()
            if job.speed > 0
        ]
        return min(ends, default=None)

    def _set_speeds(self) -> None:
        self.version += 1
        jobs = self.jobs.values()
        used = sum(job.usage_millis * job.active_fraction for job in jobs)
        load = used / self.info.capacity.processor_millis
        excess = max(min(load, 1) - _LOAD_ONSET, 0) / (1 - _LOAD_ONSET)
        speed = 1 / (1 + _LOAD_SLOWDOWN * excess) / max(load, 1)
        for job in jobs:
            job.speed = speed * job.active_fraction
            if job.is_request:
                job.speed /= self._interference_slowdown(job.name)

    def _interference_slowdown(self, service: str) -> float:
        slowdown = 1
        for job in self.jobs.values():
            if not job.is_request:
                pair = (service, job.name)
                task_slowdown = self._interference.get(pair, 0)
                slowdown *= 1 + task_slowdown * job.active_fraction
        return slowdown
