"""
The reason why a queued task waits, in words.
"""

from hawthornpier.messages import Resources
from hawthornpier.policy._decisions import TaskDemand
from hawthornpier.policy._headroom import HeadroomKeeper
from hawthornpier.policy._ledger import effective_demand
from hawthornpier.policy._parts import ShardParts
from hawthornpier.policy._short_work import ShortTaskReservation

_DIMENSIONS = (
    ('slot_count', 'slots'),
    ('processor_millis', 'processors'),
    ('memory_bytes', 'memory'),
    ('accelerator_count', 'accelerators'),
)
# Workers looked at for an explanation.
_MAX_PROBED_COUNT = 64


class WaitExplainer:
    """
    Names the limit that a queued task waits for.

    Args:
        parts: The parts of the shard.
        headroom: Limits the free slots that batch work may take.
        short_task_reservation: Limits the slots that long tasks may take.
    """

    def __init__(
        self,
        *,
        parts: ShardParts,
        headroom: HeadroomKeeper,
        short_task_reservation: ShortTaskReservation,
    ) -> None:
        self._parts = parts
        self._headroom = headroom
        self._short_work = short_task_reservation

    def explain(self, task_id: str) -> str:
        """
        Return the binding limit; '' if the task is not queued.
        """
        task = self._parts.tasks.get(task_id)
        if task is None:
            return ''
        demand = effective_demand(task.demand)
        occupancy = self._parts.occupancy
        if not occupancy.ledger.capacity.slot_count:
            return 'the shard has no usable worker'
        if not self._parts.worker_capacities.could_fit(demand):
            return 'no worker of the shard is large enough'
        return (
            occupancy.shares.binding_limit(task.member, task.workload, demand)
            or self._slot_limit(task)
            or self._missing_resource(demand)
            or 'other tasks go first by their fair share'
        )

    def _slot_limit(self, task: TaskDemand) -> str:
        if task.is_urgent:
            return ''
        free_count = self._parts.free_slot_count()
        if free_count > 0 and self._headroom.batch_budget() <= 0:
            return f'the {free_count} free slots are kept for services'
        if not self._short_work.allows(task):
            return (
                'long tasks hold all '
                f'{self._short_work.long_task_limit} slots open to them'
            )
        return ''

    def _missing_resource(self, demand: Resources) -> str:
        occupancy = self._parts.occupancy
        accounts = [
            occupancy.ledger.accounts[worker_id]
            for worker_id in occupancy.index.probe(0, _MAX_PROBED_COUNT)
        ]
        if any(demand.fits_in(account.free) for account in accounts):
            return ''
        for dimension, label in _DIMENSIONS:
            wanted = getattr(demand, dimension)
            largest = max(
                getattr(account.free, dimension) for account in accounts
            )
            if wanted > largest:
                return f'no worker has {wanted} {label} free; the most is {largest}'
        return 'no single worker has enough of everything free'
