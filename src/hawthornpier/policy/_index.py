"""
Index of workers by their number of free slots.
"""

import random
from collections.abc import Iterator


class CapacityIndex:
    """
    Finds workers with free slots without a scan of all workers.

    There is one bucket of workers for each number of free slots.  The cost of
    an update or a probe does not depend on the number of workers.

    Args:
        source: Random numbers for the start within a bucket, so that workers
            with equally many free slots are not always tried in the same order.
    """

    def __init__(self, *, source: random.Random) -> None:
        self._random = source
        self._buckets: list[list[str]] = [[]]
        self._positions: dict[str, tuple[int, int]] = {}

    def update(self, worker_id: str, free_slot_count: int) -> None:
        """
        Move a worker to the bucket for its number of free slots.
        """
        self.discard(worker_id)
        slot_count = max(free_slot_count, 0)
        while len(self._buckets) <= slot_count:
            self._buckets.append([])
        bucket = self._buckets[slot_count]
        self._positions[worker_id] = (slot_count, len(bucket))
        bucket.append(worker_id)

    def discard(self, worker_id: str) -> None:
        """
        Remove a worker from the index, if it is there.
        """
        entry = self._positions.pop(worker_id, None)
        if entry is None:
            return
        slot_count, position = entry
        bucket = self._buckets[slot_count]
        last = bucket.pop()
        if last != worker_id:
            bucket[position] = last
            self._positions[last] = entry

    def probe(self, slot_count: int, limit: int) -> Iterator[str]:
        """
        Yield at most *limit* workers with *slot_count* or more free slots.

        Workers with the most free slots come first.
        """
        remaining = limit
        for free_count in range(len(self._buckets) - 1, slot_count - 1, -1):
            bucket = self._buckets[free_count]
            size = len(bucket)
            if size:
                start = int(self._random.random() * size)
                for offset in range(min(size, remaining)):
                    yield bucket[(start + offset) % size]
                remaining -= min(size, remaining)
