"""
Chooses the shard for work that any shard may do.
"""

import random
from collections.abc import Callable, Collection, Mapping, Sequence

from hawthornpier.coordination import failure_domain_of
from hawthornpier.messages import JobSpec, ShardLoad

# Two candidates are compared at random, so that entries with the same old
# loads do not all choose the same shard.
_SAMPLE_COUNT = 2


class NearestShardChooser:
    """
    Prefers the own failure domain, then the own region, then any other.

    Args:
        region: The region of this process.
        failure_domain: The failure domain of this process.
        regions: The region of each failure domain.
        loads: Returns the newest known loads.
        rng: The source of random choices.
    """

    def __init__(
        self,
        *,
        region: str,
        failure_domain: str,
        regions: Mapping[str, str],
        loads: Callable[[], Sequence[ShardLoad]],
        rng: random.Random,
    ) -> None:
        self._region = region
        self._failure_domain = failure_domain
        self._regions = regions
        self._loads = loads
        self._rng = rng

    def choose_for_request(
        self,
        service: str,
        body_bytes: int,
        excluded: Collection[str],
    ) -> str | None:
        """
        Return the nearest shard with a free slot, else the least queued.
        """
        loads = [
            load
            for load in self._loads()
            if load.shard not in excluded and load.slot_count
        ]
        free = [load for load in loads if _spare_slots(load) > 0]
        return self._nearest(free or loads)

    def choose_for_job(self, spec: JobSpec) -> str | None:
        """
        Return the shard with the fewest queued tasks for each slot.
        """
        loads = [load for load in self._loads() if load.slot_count]
        if not loads:
            return None
        return min(loads, key=_tasks_per_slot).shard

    def _nearest(self, loads: Sequence[ShardLoad]) -> str | None:
        if not loads:
            return None
        distance = min(self._distance(load) for load in loads)
        near = [load for load in loads if self._distance(load) == distance]
        sample = self._rng.sample(near, min(_SAMPLE_COUNT, len(near)))
        return max(sample, key=_spare_slots).shard

    def _distance(self, load: ShardLoad) -> int:
        domain = failure_domain_of(load.shard)
        if domain == self._failure_domain:
            return 0
        return 1 if self._regions.get(domain) == self._region else 2


def _spare_slots(load: ShardLoad) -> int:
    return load.free_slot_count - load.queued_request_count


def _tasks_per_slot(load: ShardLoad) -> float:
    return (load.queued_task_count - load.free_slot_count) / load.slot_count
