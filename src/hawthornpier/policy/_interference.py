"""
Interference between services and batch workloads, learned from reports.
"""

import math
from bisect import bisect_right
from collections.abc import Iterable, Mapping

from hawthornpier.messages import LatencySample

# Expected log slowdown by one co-resident task of an unknown pair, and the
# number of samples that this expectation counts for.
_PRIOR_SLOWDOWN = 0.02
_PRIOR_SAMPLE_COUNT = 25.0
# A sample loses 1/e of its weight after this many later ones of its service,
# so that the estimate follows a change of the workloads.
_DECAY_SAMPLE_COUNT = 3_000.0
_MAX_WEIGHT = 1e6
_SOLVE_INTERVAL_COUNT = 16
_SWEEP_COUNT = 2
# The term of the service itself in the regression; no workload has this name.
_INTERCEPT = ''
# A throttled task interferes with this fraction of its full strength.
THROTTLED_WEIGHT = 0.25
# Changes on a worker are kept for this long; reports lag by about 2 s.
_HISTORY_MS = 20_000

CoResidents = Mapping[str, float]


class CoResidencyHistory:
    """
    Remembers which batch workloads ran on a worker at a past time.
    """

    def __init__(self) -> None:
        self._times_ms: list[int] = []
        self._states: list[CoResidents] = []

    def record(self, residents: CoResidents, now_ms: int) -> None:
        """
        Record the workloads that run from now on.
        """
        self._times_ms.append(now_ms)
        self._states.append(residents)
        # The last state before the horizon still holds at the horizon.
        first_kept = bisect_right(self._times_ms, now_ms - _HISTORY_MS) - 1
        if first_kept > 64:
            self._times_ms = self._times_ms[first_kept:]
            self._states = self._states[first_kept:]

    @property
    def latest(self) -> CoResidents:
        """
        The workloads that run now.
        """
        return self._states[-1] if self._states else {}

    def at(self, time_ms: float) -> CoResidents | None:
        """
        Return the workloads at a past time; None if it is not known.
        """
        position = bisect_right(self._times_ms, time_ms) - 1
        return self._states[position] if position >= 0 else None


class _ServiceModel:
    """
    Ridge regression of a service's log duration on its co-residents.

    The normal equations are kept as sparse sums, in which old samples count
    less, and are solved by Gauss-Seidel sweeps from the last solution.
    """

    def __init__(self) -> None:
        self.coefficients: dict[str, float] = {_INTERCEPT: 0}
        self._gram: dict[str, dict[str, float]] = {}
        self._moments: dict[str, float] = {}
        self._weight = 1.0
        self._sample_count = 0

    def add(self, measured: float, residents: CoResidents) -> None:
        """
        Take in one sample and, every few samples, solve again.
        """
        features = {_INTERCEPT: 1.0, **residents}
        for name, strength in features.items():
            weighted = self._weight * strength
            moment = self._moments.get(name, 0)
            self._moments[name] = moment + weighted * measured
            row = self._gram.setdefault(name, {})
            for other, other_strength in features.items():
                row[other] = row.get(other, 0) + weighted * other_strength
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

    The logarithm of a request's duration is modelled as the service's own
    value plus one term for each co-resident task.
    """

    def __init__(self) -> None:
        self._services: dict[str, _ServiceModel] = {}

    def learn(self, sample: LatencySample, residents: CoResidents) -> None:
        """
        Attribute a sample to what ran beside the request.
        """
        model = self._services.setdefault(sample.service, _ServiceModel())
        model.add(math.log(max(sample.duration_ms, 0.1)), residents)

    def slowdown(self, service: str, residents: CoResidents) -> float:
        """
        Return the log slowdown of a service beside these workloads.
        """
        return sum(
            self.pair_slowdown(service, workload) * strength
            for workload, strength in residents.items()
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
        Return the largest log slowdown of any service by one task.
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
    Sum up the strength of each workload.

    Args:
        workloads: The workload of each task and whether it is throttled.
    """
    strengths: dict[str, float] = {}
    for workload, is_throttled in workloads:
        strength = THROTTLED_WEIGHT if is_throttled else 1.0
        strengths[workload] = strengths.get(workload, 0) + strength
    return strengths
