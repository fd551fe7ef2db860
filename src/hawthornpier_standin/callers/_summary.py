"""
Summaries of the results and latencies of a load.
"""

import math
from collections import Counter
from collections.abc import Sequence
from dataclasses import dataclass

from hawthornpier_standin.callers._entry import CallResult


def percentile(ordered: Sequence[float], share: float) -> float:
    """
    Return a percentile by the nearest-rank method, or 0 without values.

    Args:
        ordered: Values in ascending order.
        share: The percentile as a fraction between 0 and 1.
    """
    if not ordered:
        return 0
    rank = math.ceil(len(ordered) * share)
    return ordered[max(rank, 1) - 1]


@dataclass(frozen=True, slots=True, kw_only=True)
class Latencies:
    """
    Percentiles of the latencies of answers, since the planned send time.
    """

    p50_ms: float
    p99_ms: float
    p999_ms: float
    highest_ms: float


@dataclass(frozen=True, slots=True, kw_only=True)
class Summary:
    """
    The results of the requests to one service in one phase of the load.

    Args:
        service: Name of the service.
        phase: ``usual`` or ``surge``.
        sent_count: Number of requests sent; an order that is sent twice
            counts twice, but retries do not count.
        counts: Number of requests by final result.
        in_time_share: Fraction of the requests that were answered correctly
            within their deadline.
        latencies: Latencies of the correct answers.
    """

    service: str
    phase: str
    sent_count: int
    counts: dict[CallResult, int]
    in_time_share: float
    latencies: Latencies


class Tally:
    """
    Counts the results of the requests of one service and phase.
    """

    def __init__(self) -> None:
        self._counts: Counter[CallResult] = Counter()
        self._latencies_ms: list[float] = []
        self._in_time_count = 0

    def add(
        self,
        ended: CallResult,
        latency_ms: float,
        deadline_ms: float,
    ) -> None:
        """
        Count the final result of one request.
        """
        self._counts[ended] += 1
        if ended == CallResult.ANSWERED:
            self._latencies_ms.append(latency_ms)
            self._in_time_count += latency_ms <= deadline_ms

    def summary(self, service: str, phase: str) -> Summary:
        """
        Return the summary of the requests counted so far.
        """
        ordered = sorted(self._latencies_ms)
        sent_count = self._counts.total()
        return Summary(
            service=service,
            phase=phase,
            sent_count=sent_count,
            counts=dict(self._counts),
            in_time_share=self._in_time_count / max(sent_count, 1),
            latencies=Latencies(
                p50_ms=percentile(ordered, 0.5),
                p99_ms=percentile(ordered, 0.99),
                p999_ms=percentile(ordered, 0.999),
                highest_ms=percentile(ordered, 1),
            ),
        )
