"""
Distinct capacities of the shard's present and recent workers.
"""

from hawthornpier.messages import Resources

# The owner of a new shard adds its workers one by one, so work is rejected as
# too large only after no new capacity was added for this time.
_SETTLE_MS = 2_000
# The capacity of a removed worker still counts for this time, because the
# workers of a failed rack return.
_RETENTION_MS = 600_000

_DIMENSIONS = (
    'processor_millis',
    'memory_bytes',
    'accelerator_count',
    'slot_count',
)


class WorkerCapacities:
    """
    Counts workers by capacity, since a shard has few distinct capacities.
    """

    def __init__(self) -> None:
        self._counts: dict[Resources, int] = {}
        self._removed_ms: dict[Resources, int] = {}
        self._changed_ms = 0

    def add(self, capacity: Resources, now_ms: int) -> None:
        """
        Add one worker of this capacity.
        """
        if capacity not in self._counts:
            self._changed_ms = now_ms
        self._counts[capacity] = self._counts.get(capacity, 0) + 1
        self._removed_ms.pop(capacity, None)

    def remove(self, capacity: Resources, now_ms: int) -> None:
        """
        Remove one worker of this capacity.
        """
        self._counts[capacity] -= 1
        if not self._counts[capacity]:
            self._counts.pop(capacity)
            self._removed_ms[capacity] = now_ms

    def rejection_reason(self, demand: Resources, now_ms: int) -> str:
        """
        Return why no worker can ever run the demand, or '' if one may.
        """
        self._expire(now_ms)
        is_settled = now_ms - self._changed_ms >= _SETTLE_MS
        if not self._counts or not is_settled or self.could_fit(demand):
            return ''
        for dimension in _DIMENSIONS:
            largest = max(
                getattr(capacity, dimension) for capacity in self._counts
            )
            if getattr(demand, dimension) > largest:
                return (
                    f'{dimension} {getattr(demand, dimension)} exceeds the '
                    f'largest worker, which has {largest}'
                )
        return 'no single worker has enough capacity of all resources'

    def could_fit(self, demand: Resources) -> bool:
        """
        Return whether the demand fits an empty present or recent worker.
        """
        return any(map(demand.fits_in, self._counts)) or any(
            map(demand.fits_in, self._removed_ms),
        )

    def _expire(self, now_ms: int) -> None:
        for capacity, removed_ms in tuple(self._removed_ms.items()):
            if now_ms - removed_ms > _RETENTION_MS:
                self._removed_ms.pop(capacity)
