"""
Index of workers by free slots.
"""

import random
from collections.abc import Iterator


class CapacityIndex:
    """
    Finds workers with free slots without a scan of all workers.

    Workers are kept in one bucket for each number of free slots.  An update
    and a probe cost the same for any number of workers.

    Args:
        source: Source of the random start within a bucket, so that equal
            workers are not all tried in the same order.
    """

    def __init__(self, *, source: random.Random) -> None:
        self._random = source
        self._buckets: list[list[str]] = [[]]
        self._positions: dict[str, tuple[int, int]] = {}

    def update(self, worker_id: str, free_slot_count: int) -> None:
        """
        Move a worker to the bucket of its free slots.
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
        Take a worker out of the index.
        """
        place = self._positions.pop(worker_id, None)
        if place is None:
            return
        slot_count, position = place
        bucket = self._buckets[slot_count]
        last = bucket.pop()
        if last != worker_id:
            bucket[position] = last
            self._positions[last] = place

    def probe(self, slot_count: int, limit: int) -> Iterator[str]:
        """
        Yield at most *limit* workers with this many free slots or more.

        The most free workers come first.
        """
        left = limit
        for free_count in range(len(self._buckets) - 1, slot_count - 1, -1):
            bucket = self._buckets[free_count]
            size = len(bucket)
            if size:
                start = int(self._random.random() * size)
                for offset in range(min(size, left)):
                    yield bucket[(start + offset) % size]
                left -= min(size, left)
