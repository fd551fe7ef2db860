"""
Slots kept free for services.
"""

import math

from hawthornpier.policy._decisions import Decision
from hawthornpier.policy._forecast import DemandForecast
from hawthornpier.policy._parts import ShardParts
from hawthornpier.policy._settings import Headroom

# Batch tasks that end by themselves within this time need no eviction.
_TURNOVER_MS = 1000.0
_RATE_MEMORY_MS = 5_000.0
# The share of the slots that is kept for services with a latency target even
# while none of their requests has come yet.  Without it, batch work fills a
# shard that has just started, and the first requests are refused.
_LEAST_SHARE = 1 / 16


class HeadroomKeeper:
    """
    Keeps batch work off the slots that services need soon.

    Batch starts stop first; running tasks are evicted only for requests that
    already wait, as far as slots do not become free by themselves.

    Args:
        parts: The parts of the shard.
    """

    def __init__(self, parts: ShardParts) -> None:
        self._parts = parts
        self._occupancy = parts.occupancy
        self._planner = parts.eviction_planner
        self._is_on = parts.settings.headroom is Headroom.PREDICTIVE
        self._forecast = DemandForecast(is_bursty=False)
        self._ends: float = 0
        self._ends_ms = 0

    def count_end(self, now_ms: int) -> None:
        """
        Count a batch task that ended, which frees a slot.
        """
        self._ends = self._decayed_ends(now_ms) + 1
        self._ends_ms = now_ms

    def batch_budget(self) -> int:
        """
        Return how many free slots batch work may take now.
        """
        free_count = self._parts.free_slot_count()
        reserved = self.service_slot_count - self._occupancy.request_count
        return free_count - reserved

    def decide(self, waiting: int, now_ms: int) -> list[Decision]:
        """
        Update the forecast and evict what waiting requests need.

        Args:
            waiting: Requests that wait for want of a slot.
            now_ms: Monotonic time.
        """
        self._forecast.update(
            self._occupancy.request_count + waiting,
            now_ms,
        )
        if not self._is_on or not waiting:
            return []
        turnover = self._decayed_ends(now_ms) * _TURNOVER_MS / _RATE_MEMORY_MS
        # Slots that are free already are of no use to these requests, which
        # need more of something else; further evictions would not help either.
        free_count = max(self._parts.free_slot_count(), 0)
        coming = self._occupancy.evicting_count + int(turnover) + free_count
        wanted = waiting - coming
        if wanted <= 0:
            return []
        victims = self._planner.select_victims(
            self._occupancy.running.values(),
            wanted,
            now_ms,
        )
        reason = f'{waiting} requests wait for a slot'
        return [self._planner.evict(victim, reason) for victim in victims]

    @property
    def service_slot_count(self) -> int:
        """
        The slots that services hold or are expected to need soon.
        """
        if not self._is_on:
            return self._occupancy.request_count
        level = math.ceil(self._forecast.level)
        return max(level, self._least_count(), self._occupancy.request_count)

    def _least_count(self) -> int:
        if not self._occupancy.shares.has_latency_targets:
            return 0
        slot_count = self._occupancy.ledger.capacity.slot_count
        return math.ceil(slot_count * _LEAST_SHARE)

    def _decayed_ends(self, now_ms: int) -> float:
        elapsed_ms = now_ms - self._ends_ms
        return self._ends * math.exp(-elapsed_ms / _RATE_MEMORY_MS)
