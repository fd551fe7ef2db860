"""
Counters and latencies of one run and the metrics computed from them.
"""

import math
from dataclasses import dataclass, field


def quantile(values: list[float], fraction: float) -> float:
    """
    Return the smallest value that *fraction* of the values do not exceed.

    The result is 0 if there are no values.
    """
    if not values:
        return 0
    ordered = sorted(values)
    return ordered[max(math.ceil(len(ordered) * fraction) - 1, 0)]


@dataclass(slots=True, kw_only=True)
class RunStatistics:
    """
    Counters and durations of what happens after the warm-up.

    A request counts as admitted unless it is shed at the first decision after
    its arrival.  One that is shed later counts as admitted and as missing its
    deadline.
    """

    latencies_ms: list[float] = field(default_factory=list)
    peak_latencies_ms: list[float] = field(default_factory=list)
    short_waits_ms: list[float] = field(default_factory=list)
    short_service_ms: list[float] = field(default_factory=list)
    counts: dict[str, float] = field(default_factory=dict)

    def count(self, name: str, amount: float = 1) -> None:
        """
        Add *amount* to the counter *name*.
        """
        self.counts[name] = self.counts.get(name, 0) + amount

    def summary(
        self,
        *,
        span_ms: float,
        request_span_ms: float,
        core_count: float,
    ) -> dict[str, float]:
        """
        Return the metrics of the run by name.

        Args:
            span_ms: Length of the period in which batch work is counted.
            request_span_ms: Length of the period in which arriving requests are
                counted.
            core_count: Number of cores of all workers.
        """
        counts = self.counts.get
        admitted = counts('admitted', 0)
        peak = counts('peak_admitted', 0)
        service_ms = sum(self.short_service_ms) / max(
            len(self.short_service_ms),
            1,
        )
        hours = core_count * span_ms / 3_600_000
        work_s = (counts('core_ms', 0) - counts('lost_core_ms', 0)) / 1000
        return {
            'p50_ms': quantile(self.latencies_ms, 0.5),
            'p99_ms': quantile(self.latencies_ms, 0.99),
            'p99_9_ms': quantile(self.latencies_ms, 0.999),
            'in_deadline': counts('in_deadline', 0) / max(admitted, 1),
            'peak_in_deadline': counts('peak_in_deadline', 0) / max(peak, 1),
            'peak_p99_ms': quantile(self.peak_latencies_ms, 0.99),
            'arrived': counts('arrived', 0),
            'shed': counts('shed', 0),
            'shed_late': counts('shed_late', 0),
            'failed_requests': counts('failed_requests', 0),
            'goodput_per_s': counts('in_deadline', 0) * 1000 / request_span_ms,
            'work_per_core_hour': work_s / hours,
            'evictions': counts('evictions', 0),
            'throttles': counts('throttles', 0),
            'lost_core_s': counts('lost_core_ms', 0) / 1000,
            'failed_tasks': counts('failed_tasks', 0),
            'rejected_tasks': counts('rejected_tasks', 0),
            'short_wait_p99_ms': quantile(self.short_waits_ms, 0.99),
            'short_service_ms': service_ms,
            'overcommits': counts('overcommits', 0),
            **{
                key: val
                for key, val in self.counts.items()
                if 'evictions ' in key
            },
        }
