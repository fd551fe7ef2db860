"""
Messages that say why a queued task waits.
"""

from hawthornpier.messages import Resources
from hawthornpier.policy._decisions import TaskDemand
from hawthornpier.policy._headroom import ServiceHeadroom
from hawthornpier.policy._ledger import WorkerAccount, effective_demand
from hawthornpier.policy._parts import ShardParts
from hawthornpier.policy._short_tasks import ShortTaskReservation

_DIMENSIONS = (
    ('slot_count', 'slots'),
    ('processor_millis', 'processors'),
    ('memory_bytes', 'memory'),
    ('accelerator_count', 'accelerators'),
)
# Limit on the workers inspected for one explanation.
_MAX_PROBED_COUNT = 64


class WaitExplainer:
    """
    Determines which limit keeps a queued task from starting.

    Args:
        parts: Components of the shard's scheduler.
        headroom: Limits the number of free slots for batch tasks.
        short_task_reservation: Limits the number of slots for long tasks.
    """

    def __init__(
        self,
        *,
        parts: ShardParts,
        headroom: ServiceHeadroom,
        short_task_reservation: ShortTaskReservation,
    ) -> None:
        self._parts = parts
        self._headroom = headroom
        self._short_task_reservation = short_task_reservation

    def explain(self, task_id: str) -> str:
        """
        Return a message that names the limit, or '' if the task is not queued.
        """
        task = self._parts.tasks.get(task_id)
        if task is None:
            return ''
        demand = effective_demand(task.demand)
        occupancy = self._parts.occupancy
        if not occupancy.ledger.capacity.slot_count:
            return 'the shard has no worker that accepts work'
        if not self._parts.worker_capacities.could_fit(demand):
            return 'no worker of the shard has enough capacity for the task'
        return (
            occupancy.shares.binding_limit(task.member, task.workload, demand)
            or self._slot_limit(task)
            or self._missing_resource(task, demand)
            or 'tasks with a smaller weighted share start first'
        )

    def _slot_limit(self, task: TaskDemand) -> str:
        if task.is_urgent:
            return ''
        free_count = self._parts.occupancy.ledger.free.slot_count
        budget = self._headroom.batch_budget()
        if free_count > 0 and budget.total_count <= 0:
            return f'the {free_count} free slots are reserved for services'
        if not self._short_task_reservation.allows(task):
            return (
                'long tasks occupy all '
                f'{self._short_task_reservation.long_task_limit} slots '
                'that are not reserved for short tasks'
            )
        return ''

    def _missing_resource(self, task: TaskDemand, demand: Resources) -> str:
        occupancy = self._parts.occupancy
        accounts = [
            occupancy.ledger.accounts[worker_id]
            for worker_id in occupancy.index.probe(0, _MAX_PROBED_COUNT)
        ]
        fitting = [
            account for account in accounts if demand.fits_in(account.free)
        ]
        if fitting:
            return self._exclusions(task, fitting)
        for dimension, label in _DIMENSIONS:
            wanted = getattr(demand, dimension)
            largest = max(
                getattr(account.free, dimension) for account in accounts
            )
            if wanted > largest:
                return (
                    f'no worker has {wanted} {label} free; the largest free '
                    f'amount is {largest}'
                )
        return 'no single worker has enough of all resources free'

    def _exclusions(
        self,
        task: TaskDemand,
        accounts: list[WorkerAccount],
    ) -> str:
        reasons = {self._exclusion(task, account) for account in accounts}
        if '' in reasons:
            return ''
        return f'the workers with enough free: {", ".join(sorted(reasons))}'

    def _exclusion(self, task: TaskDemand, account: WorkerAccount) -> str:
        worker_id = account.info.worker_id
        health = self._parts.health
        is_reserve = self._headroom.batch_budget().healthy_count <= 0
        holder = self._parts.reserved_workers.get(worker_id, task.task_id)
        if holder != task.task_id:
            return 'reserved for an urgent task'
        if health.has_failed_on(task.task_id, worker_id):
            return 'the task failed there'
        if health.is_quarantined(worker_id):
            return 'in quarantine'
        if is_reserve and not task.is_urgent and health.is_healthy(worker_id):
            return 'slots reserved for services'
        return ''
