"""
What a scenario consists of.
"""

import random
from collections.abc import Mapping
from dataclasses import dataclass

from hawthornpier.messages import Resources

GIGABYTE = 1_000_000_000


@dataclass(frozen=True, slots=True, kw_only=True)
class FleetProfile:
    """
    The workers of one member: racks of equal workers in failure domains.
    """

    member: str
    failure_domains: tuple[str, ...]
    rack_size: int
    capacity: Resources


@dataclass(frozen=True, slots=True, kw_only=True)
class ServiceLoad:
    """
    Requests of one service.

    *curve* holds (time, factor) points; the rate is interpolated in between.
    Durations are lognormal.
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
        Return the rate at a time, as a multiple of the base rate.
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

    With *backlog_count*, that many tasks are always queued.  Otherwise jobs
    arrive at *job_rate_per_s* between *from_ms* and *until_ms*.
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
    Something that goes wrong at a time.

    *kind* is 'fail_all', 'lose' or 'cancel'; *workers* are positions.
    """

    at_ms: int
    kind: str
    workers: tuple[int, ...] = ()
    workload: str = ''


@dataclass(frozen=True, slots=True, kw_only=True)
class Scenario:
    """
    One question, asked of one member's workers.

    *interference* holds the fraction by which one task of a batch workload
    lengthens the requests of a service.
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
    Draw from a lognormal distribution with this mean.
    """
    return mean * rng.lognormvariate(-sigma * sigma / 2, sigma)
