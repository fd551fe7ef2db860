"""
Workers that have been unusable for long.
"""

from dataclasses import dataclass

from hawthornpier.fleet._difference import Difference, DifferenceKind
from hawthornpier.fleet._shard import Shard
from hawthornpier.fleet._usability import UnusableReason, unusable_reason
from hawthornpier.fleet._worker_state import WorkerState

_CHECK_INTERVAL_MS = 1_000.0
_LONG_MS = 5_000.0


@dataclass(frozen=True, slots=True, kw_only=True)
class _Span:
    """
    Since when a worker has been unusable, and why it is now.
    """

    worker: WorkerState
    reason: UnusableReason
    since_ms: float


class UnusableWorkers:
    """
    Follows for how long workers have been unusable.

    Args:
        shard: The state of the shard.
    """

    def __init__(self, shard: Shard) -> None:
        self._shard = shard
        self._spans: dict[str, _Span] = {}
        self._checked_ms: float = 0

    def run_pass(self) -> None:
        """
        Check all workers, unless the last check was too recent.
        """
        now_ms = self._shard.now_ms
        if now_ms - self._checked_ms < _CHECK_INTERVAL_MS:
            return
        self._checked_ms = now_ms
        reasons = {
            worker.worker_id: (worker, unusable_reason(worker))
            for worker in self._shard.workers.values()
        }
        self._spans = {
            worker_id: _Span(
                worker=worker,
                reason=reason,
                since_ms=self._since_ms(worker, now_ms),
            )
            for worker_id, (worker, reason) in reasons.items()
            if reason is not None
        }

    def differences(self) -> list[Difference]:
        """
        Return the workers that have been unusable for over five seconds.
        """
        now_ms = self._shard.now_ms
        return [
            Difference(
                kind=DifferenceKind.UNUSABLE_WORKER,
                worker=span.worker.worker_id,
                field=span.reason,
                counted=span.worker.entry_age.ignored or '',
                age_ms=int(now_ms - span.since_ms),
            )
            for span in self._spans.values()
            if now_ms - span.since_ms > _LONG_MS
        ]

    def _since_ms(self, worker: WorkerState, now_ms: float) -> float:
        span = self._spans.get(worker.worker_id)
        return span.since_ms if span and span.worker is worker else now_ms
