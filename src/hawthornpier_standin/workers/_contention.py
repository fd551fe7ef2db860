"""
Computes the speed of workloads that share a worker.
"""

import dataclasses
from collections.abc import Iterable

import xxhash

from hawthornpier.messages import Resources
from hawthornpier_standin.workers._model import WorkerModel

# Actual usage is between these multiples of the declared demand.
_MIN_USAGE_FACTOR = 0.4
_MAX_USAGE_FACTOR = 1.6
_HASH_RANGE = 2**64


class Contention:
    """
    Simulated interference between workloads, and their actual usage.

    The scheduler can observe both only in usage reports and latencies.

    Args:
        model: Parameters of the interference.
        capacity: Resources of the worker.
    """

    def __init__(self, *, model: WorkerModel, capacity: Resources) -> None:
        self._model = model
        self._capacity_millis = max(capacity.processor_millis, 1)
        self._coefficients: dict[tuple[str, str], float] = {}
        self._usage_factors: dict[str, float] = {}

    def coefficient(self, service: str, workload: str) -> float:
        """
        Return the mutual slowdown of a service and a batch workload.

        It applies if the one that interferes uses all of the worker's
        processors, and is lower in proportion otherwise.
        """
        pair = (service, workload)
        if pair not in self._coefficients:
            drawn = self._draw('pair', service, workload)
            share = self._model.noisy_share
            self._coefficients[pair] = (
                self._model.noisy_coefficient
                if drawn < share
                else self._model.quiet_coefficient * drawn
            )
        return self._coefficients[pair]

    def usage(self, name: str, demand: Resources) -> Resources:
        """
        Return the actual usage of a service or workload that declares *demand*.
        """
        if name not in self._usage_factors:
            spread = _MAX_USAGE_FACTOR - _MIN_USAGE_FACTOR
            self._usage_factors[name] = _MIN_USAGE_FACTOR + spread * self._draw(
                'usage',
                name,
            )
        factor = self._usage_factors[name]
        return dataclasses.replace(
            demand,
            processor_millis=int(demand.processor_millis * factor),
            memory_bytes=int(demand.memory_bytes * min(factor, 1)),
        )

    def share(self, usage: Resources) -> float:
        """
        Return *usage* of processors as a share of the worker's capacity.
        """
        return usage.processor_millis / self._capacity_millis

    def speed(self, load: float, disturbances: Iterable[float]) -> float:
        """
        Return the speed of a workload relative to an idle worker.

        Args:
            load: Share of the processors that all workloads use; may exceed 1.
            disturbances: For each interfering workload, its coefficient times
                its share of the processors.
        """
        penalty = self._model.load_penalty * load * load
        overload = max(load, 1.0)
        return 1 / (overload + penalty + sum(disturbances))

    def _draw(self, *parts: str) -> float:
        text = '\0'.join((str(self._model.seed), *parts))
        return xxhash.xxh3_64_intdigest(text.encode()) / _HASH_RANGE
