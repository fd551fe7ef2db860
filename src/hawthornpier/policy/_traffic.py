"""
Recent request counts by worker and service.
"""

import math

# Time constant of the counts.
_DECAY_MS = 4_000.0


class TrafficMeter:
    """
    Counts the requests placed in the last seconds, with exponential decay.
    """

    def __init__(self) -> None:
        self._request_counts: dict[str, dict[str, float]] = {}
        self._updated_ms: dict[str, int] = {}

    def add(self, worker_id: str, service: str, now_ms: int) -> None:
        """
        Count one request of a service that is placed on a worker.
        """
        request_counts = self.request_counts(worker_id, now_ms)
        request_counts[service] = request_counts.get(service, 0) + 1
        self._request_counts[worker_id] = request_counts
        self._updated_ms[worker_id] = now_ms

    def request_counts(self, worker_id: str, now_ms: int) -> dict[str, float]:
        """
        Return the decayed request count of each service on a worker.
        """
        request_counts = self._request_counts.get(worker_id)
        if request_counts is None:
            return {}
        elapsed_ms = now_ms - self._updated_ms[worker_id]
        decay = math.exp(-elapsed_ms / _DECAY_MS)
        return {name: level * decay for name, level in request_counts.items()}

    def remove_worker(self, worker_id: str) -> None:
        """
        Discard the counts of a worker.
        """
        self._request_counts.pop(worker_id, None)
        self._updated_ms.pop(worker_id, None)
