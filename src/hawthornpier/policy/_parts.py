"""
Components of one shard's scheduler that its dispatchers share.
"""

import random
from dataclasses import dataclass

from hawthornpier.policy._costs import PlacementCosts
from hawthornpier.policy._eviction import EvictionPlanner
from hawthornpier.policy._fairness import FairShares
from hawthornpier.policy._health import HealthTracker
from hawthornpier.policy._interference import InterferenceModel
from hawthornpier.policy._occupancy import Occupancy
from hawthornpier.policy._placement import WorkerChooser
from hawthornpier.policy._request_queue import RequestQueue
from hawthornpier.policy._service_times import ServiceTimes
from hawthornpier.policy._settings import PolicySettings
from hawthornpier.policy._sizes import SizeEstimator
from hawthornpier.policy._task_queue import TaskQueue
from hawthornpier.policy._traffic import TrafficMeter
from hawthornpier.policy._worker_capacities import WorkerCapacities

# Batch tasks are not throttled or evicted for a service whose p99 latency is
# below this fraction of its latency target.
_TARGET_MARGIN = 0.8


@dataclass(frozen=True, slots=True, kw_only=True)
class ShardParts:
    """
    The components of one shard's scheduler.

    *reserved_workers* maps the id of each reserved worker to the urgent task
    that it is reserved for.  The keys of *service_times* are pairs of a member
    and a service.
    """

    settings: PolicySettings
    occupancy: Occupancy
    requests: RequestQueue
    tasks: TaskQueue
    chooser: WorkerChooser
    interference_model: InterferenceModel
    traffic: TrafficMeter
    costs: PlacementCosts
    sizes: SizeEstimator
    health: HealthTracker
    worker_capacities: WorkerCapacities
    eviction_planner: EvictionPlanner
    reserved_workers: dict[str, str]
    service_times: dict[tuple[str, str], ServiceTimes]

    def meets_target(self, service: str) -> bool:
        """
        Return whether a service stays well within its latency target.

        The result is false for a service without a target.
        """
        for key, service_times in self.service_times.items():
            target_ms = self.occupancy.shares.latency_target_ms(*key)
            if key[1] == service and target_ms is not None:
                return (
                    0
                    < service_times.p99_duration_ms
                    <= _TARGET_MARGIN * target_ms
                )
        return False

    def free_slot_count(self) -> int:
        """
        Return the number of free slots on open workers in good health.

        Workers in quarantine or with an ejected endpoint do not count.
        """
        ledger = self.occupancy.ledger
        unusable_count = 0
        for worker_id in self.health.unusable_workers():
            account = ledger.accounts.get(worker_id)
            if account is not None and account.is_open:
                unusable_count += account.free.slot_count
        return ledger.free.slot_count - unusable_count


def build_parts(*, settings: PolicySettings, seed: int) -> ShardParts:
    """
    Create the components for a shard without workers or queued work.

    Args:
        settings: The variant of each scheduling mechanism.
        seed: Seed of all random choices.
    """
    occupancy = Occupancy(shares=FairShares(), source=random.Random(seed))
    interference_model = InterferenceModel()
    traffic = TrafficMeter()
    sizes = SizeEstimator(source=settings.size_estimate)
    health = HealthTracker(choice=settings.health)
    return ShardParts(
        settings=settings,
        occupancy=occupancy,
        requests=RequestQueue(),
        tasks=TaskQueue(order=settings.queue_order),
        chooser=WorkerChooser(
            occupancy=occupancy,
            placement=settings.placement,
        ),
        interference_model=interference_model,
        traffic=traffic,
        costs=PlacementCosts(
            occupancy=occupancy,
            interference_model=interference_model,
            traffic=traffic,
            choice=settings.interference,
        ),
        sizes=sizes,
        health=health,
        worker_capacities=WorkerCapacities(),
        eviction_planner=EvictionPlanner(
            occupancy=occupancy,
            sizes=sizes,
            health=health,
        ),
        reserved_workers={},
        service_times={},
    )
