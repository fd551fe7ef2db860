"""
The lease of a shard's owner as another process sees it.
"""

import math

from hawthornpier.fleet._timings import OwnershipTimings
from hawthornpier.fleet._writer import OwnerRow
from hawthornpier.ports import Clock


class LeaseView:
    """
    Tells from reads of the store whether the owner's lease has expired.

    Args:
        clock: The clock of this process.
        timings: Durations concerning ownership.
    """

    def __init__(self, clock: Clock, timings: OwnershipTimings) -> None:
        self._clock = clock
        self._timings = timings
        # Since when all reads have succeeded; None after a failure.
        self._healthy_since_ms: float | None = None
        # The store's clock in its last reply, and when that was read.
        self._store_ms: float = 0
        self._read_ms: float = 0

    @property
    def is_readable(self) -> bool:
        """
        Return whether the last read has succeeded.
        """
        return self._healthy_since_ms is not None

    def record_read(self, started_ms: float, store_ms: float) -> None:
        """
        Record a read that has succeeded.

        Args:
            started_ms: When it began, on the monotonic clock.
            store_ms: The store's clock in its reply.
        """
        if self._healthy_since_ms is None:
            self._healthy_since_ms = started_ms
        self._store_ms = store_ms
        self._read_ms = self._clock.monotonic_ms()

    def record_failure(self) -> None:
        """
        Record a read that has failed.
        """
        self._healthy_since_ms = None

    def has_expired(self, owner: OwnerRow) -> bool:
        """
        Return whether an owner's lease had expired at the last read.
        """
        if self._store_ms < owner.until_ms or self._healthy_since_ms is None:
            return False
        # After an outage of the store, the owner gets time to renew its lease.
        return self._clock.monotonic_ms() >= self._renewable_until_ms()

    def watch_wait_ms(self, owner: OwnerRow | None) -> int:
        """
        Return how long a read of changes may wait.

        It ends with the owner's lease, unless that has expired before.
        """
        longest_ms = self._timings.watch_wait_ms
        if owner is None or owner.is_released or not self.is_readable:
            return longest_ms
        now_ms = self._clock.monotonic_ms()
        lease_end_ms = self._read_ms + owner.until_ms - self._store_ms
        end_ms = max(lease_end_ms, self._renewable_until_ms())
        left_ms = math.ceil(end_ms - now_ms)
        return min(longest_ms, left_ms) if left_ms > 0 else longest_ms

    def _renewable_until_ms(self) -> float:
        """
        Return until when an owner may renew a lease that has expired.
        """
        if self._healthy_since_ms is None:
            return math.inf
        return self._healthy_since_ms + self._timings.lease_ms / 2
