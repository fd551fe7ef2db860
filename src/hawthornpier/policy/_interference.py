"""
Interference of batch workloads with services, learned from worker reports.
"""

import math
from bisect import bisect_right
from collections.abc import Iterable, Mapping

from hawthornpier.messages import LatencySample

# Log slowdown of a service by one co-resident task that is assumed before any
# samples of the pair, and the number of samples that this prior counts as.
_PRIOR_SLOWDOWN = 0.02
_PRIOR_SAMPLE_COUNT = 25.0
# A sample loses 1/e of its weight after this many later ones of its service,
# so that the estimate follows a change of the workloads.
_DECAY_SAMPLE_COUNT = 3_000.0
# The decay is done by growing the weight of new samples; the sums are rescaled
# when it exceeds this bound.
_MAX_WEIGHT = 1e6
# Samples between two updates of the solution, and sweeps per update.
_SOLVE_INTERVAL_COUNT = 16
_SWEEP_COUNT = 2
# Key of the regression's intercept: the log duration of the service without
# co-residents.  No workload has an empty name.
_INTERCEPT = ''
# A throttled task is assumed to cause this fraction of its full interference.
THROTTLED_WEIGHT = 0.25
# How long past co-residents of a worker are kept; reports lag by about 2 s.
_HISTORY_MS = 20_000

# Number of running tasks by workload, throttled ones weighted.
CoResidents = Mapping[str, float]


class CoResidencyHistory:
    """
    Records which batch workloads ran on a worker at a past time.
    """

    def __init__(self) -> None:
        self._times_ms: list[int] = []
        self._states: list[CoResidents] = []

    def record(self, residents: CoResidents, now_ms: int) -> None:
        """
        Record the workloads that run as of now.
        """
        self._times_ms.append(now_ms)
        self._states.append(residents)
        # The last state before the cutoff still applies at the cutoff.
        first_kept = bisect_right(self._times_ms, now_ms - _HISTORY_MS) - 1
        if first_kept > 64:
            self._times_ms = self._times_ms[first_kept:]
            self._states = self._states[first_kept:]

    @property
    def latest(self) -> CoResidents:
        """
        The workloads recorded last.
        """
        return self._states[-1] if self._states else {}

    def at(self, time_ms: float) -> CoResidents | None:
        """
        Return the workloads at a past time, or None if not on record.
        """
        position = bisect_right(self._times_ms, time_ms) - 1
        return self._states[position] if position >= 0 else None


class _ServiceModel:
    """
    Ridge regression of a service's log duration on its co-residents.

    The normal equations are kept as sparse sums, in which old samples have
    less weight.  They are solved by Gauss-Seidel sweeps that start from the
    last solution.
    """

    def __init__(self) -> None:
        self.coefficients: dict[str, float] = {_INTERCEPT: 0}
        self._gram: dict[str, dict[str, float]] = {}
        self._moments: dict[str, float] = {}
        self._weight = 1.0
        self._sample_count = 0

    def add(self, log_duration: float, residents: CoResidents) -> None:
        """
        Add one sample and, every few samples, update the coefficients.
        """
        features = {_INTERCEPT: 1.0, **residents}
        for name, value in features.items():
            weighted = self._weight * value
            moment = self._moments.get(name, 0)
            self._moments[name] = moment + weighted * log_duration
            row = self._gram.setdefault(name, {})
            for other, other_value in features.items():
                row[other] = row.get(other, 0) + weighted * other_value
        self._weight *= 1 + 1 / _DECAY_SAMPLE_COUNT
        self._sample_count += 1
        if self._sample_count % _SOLVE_INTERVAL_COUNT == 0:
            self._solve()
        if self._weight > _MAX_WEIGHT:
            self._rescale()

    def _solve(self) -> None:
        for _ in range(_SWEEP_COUNT):
            for name, row in self._gram.items():
                self._solve_coefficient(name, row)

    def _solve_coefficient(self, name: str, row: dict[str, float]) -> None:
        ridge = 0 if name == _INTERCEPT else _PRIOR_SAMPLE_COUNT * self._weight
        rest = self._moments[name] + ridge * _PRIOR_SLOWDOWN
        for other, product in row.items():
            if other != name:
                rest -= product * self.coefficients.get(other, _PRIOR_SLOWDOWN)
        coefficient = rest / (row[name] + ridge)
        self.coefficients[name] = (
            coefficient if name == _INTERCEPT else max(coefficient, 0)
        )

    def _rescale(self) -> None:
        scale = 1 / self._weight
        self._weight = 1.0
        for name, row in self._gram.items():
            self._moments[name] *= scale
            for other in row:
                row[other] *= scale


class InterferenceModel:
    """
    Estimates the log slowdown of a service by each batch workload.

    The log slowdown is the logarithm of the factor by which durations grow.
    The logarithm of a request's duration is modelled as an intercept of the
    service plus one coefficient for each co-resident task.
    """

    def __init__(self) -> None:
        self._services: dict[str, _ServiceModel] = {}

    def learn(self, sample: LatencySample, residents: CoResidents) -> None:
        """
        Update the model with one request's duration and co-residents.
        """
        model = self._services.setdefault(sample.service, _ServiceModel())
        model.add(math.log(max(sample.duration_ms, 0.1)), residents)

    def slowdown(self, service: str, residents: CoResidents) -> float:
        """
        Return the total log slowdown of a service by its co-residents.
        """
        return sum(
            self.pair_slowdown(service, workload) * task_count
            for workload, task_count in residents.items()
        )

    def pair_slowdown(self, service: str, workload: str) -> float:
        """
        Return the log slowdown of a service by one task of a workload.
        """
        model = self._services.get(service)
        return (
            model.coefficients.get(workload, _PRIOR_SLOWDOWN)
            if model
            else _PRIOR_SLOWDOWN
        )

    def worst_slowdown(self, workload: str) -> float:
        """
        Return the largest log slowdown of a service by a task of the workload.
        """
        return max(
            (
                self.pair_slowdown(service, workload)
                for service in self._services
            ),
            default=_PRIOR_SLOWDOWN,
        )


def count_residents(
    workloads: Iterable[tuple[str, bool]],
) -> CoResidents:
    """
    Count the tasks of each workload, throttled ones as a fraction.

    Args:
        workloads: The workload of each task and whether the task is throttled.
    """
    counts: dict[str, float] = {}
    for workload, is_throttled in workloads:
        weight = THROTTLED_WEIGHT if is_throttled else 1.0
        counts[workload] = counts.get(workload, 0) + weight
    return counts
