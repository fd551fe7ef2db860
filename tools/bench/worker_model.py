"""
Model of a worker on which jobs slow each other down.
"""

from collections.abc import Callable, Mapping
from dataclasses import dataclass

from hawthornpier.messages import LatencySample, Resources
from hawthornpier.policy import WorkerInfo

# A throttled task runs at this fraction of its speed and puts this fraction of
# its load and interference on the worker.
_THROTTLED_SPEED = 0.2
# Contention for caches and memory bandwidth begins at half load and grows
# linearly; at full load it lengthens all work by _LOAD_SLOWDOWN.
_LOAD_ONSET = 0.5
_LOAD_SLOWDOWN = 0.1


@dataclass(slots=True, kw_only=True)
class Job:
    """
    One task or request on a worker.

    *name* is that of its batch workload or service.  *work_ms* is the work at
    the start and *remaining_work_ms* what is left of it, in ms at full speed.
    *is_frozen* is set while a checkpoint is taken.
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
        Fraction of its full speed, load and interference that is in effect.
        """
        if self.is_frozen:
            return 0
        return _THROTTLED_SPEED if self.is_throttled else 1


class WorkerModel:
    """
    Run jobs at a speed that falls with load and interference.

    *version* changes with every change of the speeds, which invalidates
    completions that were scheduled before.

    Args:
        info: Identity and capacity of the worker.
        interference: Fraction by which a task lengthens a request, by service
            and batch workload.
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
        Start a job and return whether the demand of all jobs still fits.
        """
        self.advance(now_ms)
        self.jobs[job.job_id] = job
        self._demand += job.demand
        self._set_speeds()
        return self._demand.fits_in(self.info.capacity)

    def remove_job(self, job_id: str, now_ms: float) -> Job | None:
        """
        Remove a job and return it, or None if it is not on the worker.
        """
        self.advance(now_ms)
        job = self.jobs.pop(job_id, None)
        if job is not None:
            self._demand -= job.demand
        self._set_speeds()
        return job

    def set_flags(self, job: Job, now_ms: float, **flags: bool) -> None:
        """
        Set *is_throttled* or *is_frozen* of a task.
        """
        self.advance(now_ms)
        for name, flag in flags.items():
            setattr(job, name, flag)
        self._set_speeds()

    def advance(self, now_ms: float) -> None:
        """
        Advance all jobs to *now_ms* at their current speeds.
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
        Return the time and the id of the next job to end at current speeds.
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
