"""
The type of a result, and functions to measure CPU time and memory.
"""

import gc
import statistics
import time
import tracemalloc
from collections.abc import Callable, Sequence
from dataclasses import dataclass

_ROUND_COUNT = 15


@dataclass(frozen=True, slots=True, kw_only=True)
class Measurement:
    """
    One measured figure.
    """

    name: str
    amount: float
    unit: str

    def __str__(self) -> str:
        return f'{self.name}: {self.amount:.2f} {self.unit}'


def cpu_microseconds(work: Callable[[], object], count: int) -> float:
    """
    Return the CPU time in us of one call of *work*.

    The result is the median of several rounds of *count* calls, so that rounds
    disturbed by other processes do not affect it.
    """
    rounds = []
    for _ in range(_ROUND_COUNT):
        started = time.process_time_ns()
        for _ in range(count):
            work()
        rounds.append((time.process_time_ns() - started) / count / 1000)
    return statistics.median(rounds)


def bytes_per_object(build: Callable[[], Sequence[object]]) -> float:
    """
    Return the bytes that the result of *build* keeps alive, per object.
    """
    gc.collect()
    tracemalloc.start()
    try:
        before, _ = tracemalloc.get_traced_memory()
        built = build()
        gc.collect()
        after, _ = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    return (after - before) / len(built)
