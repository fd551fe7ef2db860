"""
Recent requests of each service on each worker.
"""

import math

_DECAY_MS = 4_000.0


class TrafficMeter:
    """
    Counts the requests of the last seconds, old ones less.
    """

    def __init__(self) -> None:
        self._request_counts: dict[str, dict[str, float]] = {}
        self._updated_ms: dict[str, int] = {}

    def add(self, worker_id: str, service: str, now_ms: int) -> None:
        """
        Count one request.
        """
        request_counts = self.request_counts(worker_id, now_ms)
        request_counts[service] = request_counts.get(service, 0) + 1
        self._request_counts[worker_id] = request_counts
        self._updated_ms[worker_id] = now_ms

    def request_counts(self, worker_id: str, now_ms: int) -> dict[str, float]:
        """
        Return the weighted number of recent requests of each service.
        """
        request_counts = self._request_counts.get(worker_id)
        if request_counts is None:
            return {}
        elapsed_ms = now_ms - self._updated_ms[worker_id]
        decay = math.exp(-elapsed_ms / _DECAY_MS)
        return {name: level * decay for name, level in request_counts.items()}

    def remove_worker(self, worker_id: str) -> None:
        """
        Forget a worker.
        """
        self._request_counts.pop(worker_id, None)
        self._updated_ms.pop(worker_id, None)
