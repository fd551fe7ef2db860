"""
Recent requests of each service on each worker.
"""

import math

_MEMORY_MS = 4_000.0


class TrafficMeter:
    """
    Counts the requests of the last seconds, old ones less.
    """

    def __init__(self) -> None:
        self._levels: dict[str, dict[str, float]] = {}
        self._updated_ms: dict[str, int] = {}

    def add(self, worker_id: str, service: str, now_ms: int) -> None:
        """
        Count one request.
        """
        levels = self.levels(worker_id, now_ms)
        levels[service] = levels.get(service, 0) + 1
        self._levels[worker_id] = levels
        self._updated_ms[worker_id] = now_ms

    def levels(self, worker_id: str, now_ms: int) -> dict[str, float]:
        """
        Return the weighted number of recent requests of each service.
        """
        levels = self._levels.get(worker_id)
        if levels is None:
            return {}
        elapsed_ms = now_ms - self._updated_ms[worker_id]
        keep = math.exp(-elapsed_ms / _MEMORY_MS)
        return {name: level * keep for name, level in levels.items()}

    def remove_worker(self, worker_id: str) -> None:
        """
        Forget a worker.
        """
        self._levels.pop(worker_id, None)
        self._updated_ms.pop(worker_id, None)
