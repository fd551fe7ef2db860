"""
Selection of a worker for one request or task.
"""

import itertools
from collections.abc import Callable, Iterator

from hawthornpier.messages import Resources
from hawthornpier.policy._ledger import WorkerAccount
from hawthornpier.policy._occupancy import Occupancy
from hawthornpier.policy._settings import Placement

# Limits on the workers that are probed for one placement, and on the suitable
# ones whose cost is compared.  In a shard of up to 32 workers, all are probed,
# so that no suitable worker is missed.
_MAX_PROBED_COUNT = 32
_MAX_CANDIDATE_COUNT = 8

Cost = Callable[[WorkerAccount], float]
Filter = Callable[[WorkerAccount], bool]


class WorkerChooser:
    """
    Selects a worker with enough free resources.

    Args:
        occupancy: The resources in use on each worker.
        placement: How the worker is selected among the suitable ones.
    """

    def __init__(self, *, occupancy: Occupancy, placement: Placement) -> None:
        self._occupancy = occupancy
        self._placement = placement
        self._next_position = 0

    def choose(
        self,
        demand: Resources,
        *,
        cost: Cost,
        is_allowed: Filter,
    ) -> str | None:
        """
        Return the id of a suitable worker, or None if none was found.

        Args:
            demand: The resources that the worker must have free.
            cost: Returns the cost of a worker; with sampled placement, the
                cheapest candidate is selected.
            is_allowed: Returns whether a worker may be used at all.
        """
        fitting = (
            account
            for account in self._candidates(demand.slot_count)
            if demand.fits_in(account.free) and is_allowed(account)
        )
        if self._placement is Placement.SAMPLED:
            best = min(
                itertools.islice(fitting, _MAX_CANDIDATE_COUNT),
                key=cost,
                default=None,
            )
        else:
            best = next(fitting, None)
        return None if best is None else best.info.worker_id

    def _candidates(self, slot_count: int) -> Iterator[WorkerAccount]:
        accounts = self._occupancy.ledger.accounts
        if self._placement is Placement.SAMPLED:
            probed = self._occupancy.index.probe(slot_count, _MAX_PROBED_COUNT)
            return (accounts[worker_id] for worker_id in probed)
        available = tuple(self._occupancy.ledger.open_accounts())
        if self._placement is Placement.FIRST_FIT or not available:
            return iter(available)
        self._next_position = (self._next_position + 1) % len(available)
        return iter(
            available[self._next_position :] + available[: self._next_position]
        )
