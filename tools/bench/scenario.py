"""
Definition of a scenario: workers, load, faults and measured period.
"""

import random
from collections.abc import Mapping
from dataclasses import dataclass

from hawthornpier.messages import Resources

GIGABYTE = 1_000_000_000


@dataclass(frozen=True, slots=True, kw_only=True)
class FleetProfile:
    """
    Workers of one member: one rack of equal workers per failure domain.
    """

    member: str
    failure_domains: tuple[str, ...]
    rack_size: int
    capacity: Resources


@dataclass(frozen=True, slots=True, kw_only=True)
class ServiceLoad:
    """
    Requests of one service.

    Requests arrive as a Poisson process. *rate_curve* holds points of a time
    in ms and a factor of *rate_per_s*; the factor is interpolated linearly
    between them. The work of a request is lognormal with mean *mean_ms*.
    """

    service: str
    rate_per_s: float
    deadline_ms: int
    mean_ms: float = 150
    sigma: float = 0.5
    weight: float = 1
    rate_curve: tuple[tuple[int, float], ...] = ((0, 1),)

    def rate_factor(self, time_ms: float) -> float:
        """
        Return the rate at *time_ms* as a multiple of *rate_per_s*.
        """
        before_ms, before = self.rate_curve[0]
        for point_ms, factor in self.rate_curve:
            if point_ms >= time_ms:
                span_ms = max(point_ms - before_ms, 1)
                fraction = (time_ms - before_ms) / span_ms
                return before + (factor - before) * min(max(fraction, 0), 1)
            before_ms, before = point_ms, factor
        return before


@dataclass(frozen=True, slots=True, kw_only=True)
class BatchLoad:
    """
    Batch tasks of one workload.

    With *backlog_count*, that many tasks are always queued.  Otherwise jobs of
    *job_size* tasks arrive at *job_rate_per_s* between *from_ms* and
    *until_ms*.  *usage* is the range of the fraction of the declared CPU that
    a task uses.  Declared run times and CPU use are off by up to
    *declaration_error_factor* in both directions.  The work of a fraction
    *straggler_fraction* of the tasks is *straggler_factor* times as long.
    Waiting and run times are measured for workloads with *is_short*.
    """

    workload: str
    mean_ms: float
    demand: Resources
    sigma: float = 0.4
    usage: tuple[float, float] = (0.6, 0.9)
    backlog_count: int = 0
    job_rate_per_s: float = 0
    job_size: int = 8
    from_ms: int = 0
    until_ms: int = 10**9
    straggler_fraction: float = 0
    straggler_factor: float = 50
    declaration_error_factor: float = 1
    is_short: bool = False
    weight: float = 1


@dataclass(frozen=True, slots=True, kw_only=True)
class Fault:
    """
    A fault or disturbance that is injected at a time.

    With *kind* 'fail_all' the *workers* fail all work, with 'lose' they are
    lost, and with 'cancel' all queued tasks of *workload* are cancelled.
    *workers* holds indices in the order of the worker ids.
    """

    at_ms: int
    kind: str
    workers: tuple[int, ...] = ()
    workload: str = ''


@dataclass(frozen=True, slots=True, kw_only=True)
class Scenario:
    """
    Load and faults on one member's workers, to answer one question.

    *interference* holds, by service and batch workload, the fraction by which
    one running task lengthens requests on the same worker.  Arrivals before
    *warmup_ms* are not measured.  Requests that arrive in *peak_window_ms* are
    also measured apart.
    """

    name: str
    question: str
    profile: FleetProfile
    services: tuple[ServiceLoad, ...]
    batches: tuple[BatchLoad, ...]
    interference: Mapping[tuple[str, str], float]
    faults: tuple[Fault, ...] = ()
    warmup_ms: int = 20_000
    duration_ms: int = 60_000
    peak_window_ms: tuple[int, int] | None = None


def draw_lognormal(rng: random.Random, mean: float, sigma: float) -> float:
    """
    Draw from a lognormal distribution.

    Args:
        rng: Source of randomness.
        mean: Mean of the distribution itself.
        sigma: Standard deviation of the logarithm.
    """
    return mean * rng.lognormvariate(-sigma * sigma / 2, sigma)
