"""
Slots reserved for services.
"""

import math
from dataclasses import dataclass

from hawthornpier.policy._decisions import Decision
from hawthornpier.policy._forecast import DemandForecast
from hawthornpier.policy._parts import ShardParts
from hawthornpier.policy._settings import Headroom

# Waiting requests are expected to get the slots of batch tasks that complete
# within this time; only the slots still missing are freed by eviction.
_SLOT_RELEASE_HORIZON_MS = 1000.0
# Time constant of the completion rate.
_COMPLETION_DECAY_MS = 5_000.0
# Fraction of the slots that is reserved for services with a latency target even
# before their first request.  Without it, batch work fills a newly started
# shard, and the first requests are shed.
_MIN_SERVICE_FRACTION = 1 / 16


@dataclass(frozen=True, slots=True, kw_only=True)
class BatchBudget:
    """
    How many free slots batch work may use now.

    A count is negative if services need more than the free slots.  On healthy
    workers, batch work may use *healthy_count* slots, so that the reserve stays
    on workers that serve requests.  Workers in quarantine or with an ejected
    endpoint may take the rest of *total_count*.
    """

    total_count: int
    healthy_count: int

    def use(self, *, is_healthy: bool) -> 'BatchBudget':
        """
        Return what is left after a placement on a worker.
        """
        return BatchBudget(
            total_count=self.total_count - 1,
            healthy_count=self.healthy_count - is_healthy,
        )


class ServiceHeadroom:
    """
    Reserves the slots that services are expected to need soon.

    Batch tasks are not started on reserved slots.  Running tasks are evicted
    only for requests that already wait, and only if too few slots are expected
    to become free without eviction.

    Args:
        parts: The components of the shard's scheduler.
    """

    def __init__(self, parts: ShardParts) -> None:
        self._parts = parts
        self._occupancy = parts.occupancy
        self._planner = parts.eviction_planner
        self._is_enabled = parts.settings.headroom is Headroom.PREDICTIVE
        self._forecast = DemandForecast(is_bursty=False)
        self._completed_count: float = 0
        self._completed_updated_ms = 0

    def record_task_completion(self, now_ms: int) -> None:
        """
        Record that a batch task completed and so freed its slot.
        """
        self._completed_count = self._decayed_completed_count(now_ms) + 1
        self._completed_updated_ms = now_ms

    def batch_budget(self) -> BatchBudget:
        """
        Return how many free slots batch work may use now.
        """
        reserved = self.service_slot_count - self._occupancy.request_count
        return BatchBudget(
            total_count=self._occupancy.ledger.free.slot_count - reserved,
            healthy_count=self._parts.free_slot_count() - reserved,
        )

    def decide(self, waiting: int, now_ms: int) -> list[Decision]:
        """
        Update the forecast and evict batch tasks for waiting requests.

        Args:
            waiting: Number of requests that fit on no worker now.
            now_ms: Monotonic time.
        """
        self._forecast.update(
            self._occupancy.request_count + waiting,
            now_ms,
        )
        if not self._is_enabled or not waiting:
            return []
        expected_release_count = (
            self._decayed_completed_count(now_ms)
            * _SLOT_RELEASE_HORIZON_MS
            / _COMPLETION_DECAY_MS
        )
        # Requests that wait although slots are free lack another resource;
        # evicting more tasks would not help them, so free slots count here.
        free_count = max(self._parts.free_slot_count(), 0)
        expected_free_count = (
            self._occupancy.evicting_count
            + int(expected_release_count)
            + free_count
        )
        missing_count = waiting - expected_free_count
        if missing_count <= 0:
            return []
        # A slot of an ejected endpoint would not help a waiting request.
        victims = self._planner.select_victims(
            (
                running
                for running in self._occupancy.running.values()
                if self._parts.health.allows_request(running.worker_id, now_ms)
            ),
            missing_count,
            now_ms,
        )
        reason = f'{waiting} requests wait for a slot'
        return [self._planner.evict(victim, reason) for victim in victims]

    @property
    def service_slot_count(self) -> int:
        """
        The number of slots that services use or are expected to need soon.
        """
        if not self._is_enabled:
            return self._occupancy.request_count
        level = math.ceil(self._forecast.level)
        return max(
            level, self._min_service_slot_count(), self._occupancy.request_count
        )

    def _min_service_slot_count(self) -> int:
        if not self._occupancy.shares.has_latency_targets:
            return 0
        slot_count = self._occupancy.ledger.capacity.slot_count
        return math.ceil(slot_count * _MIN_SERVICE_FRACTION)

    def _decayed_completed_count(self, now_ms: int) -> float:
        elapsed_ms = now_ms - self._completed_updated_ms
        return self._completed_count * math.exp(
            -elapsed_ms / _COMPLETION_DECAY_MS
        )
