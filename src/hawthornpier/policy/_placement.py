"""
Choice of a worker for one request or task.
"""

import itertools
from collections.abc import Callable, Iterator

from hawthornpier.messages import Resources
from hawthornpier.policy._ledger import WorkerAccount
from hawthornpier.policy._occupancy import Occupancy
from hawthornpier.policy._settings import Placement

# Workers looked at for one placement, and fitting ones compared.  All workers
# of a small shard are looked at, so that none of them is overlooked.
_MAX_PROBED_COUNT = 32
_MAX_CANDIDATE_COUNT = 8

Cost = Callable[[WorkerAccount], float]
Filter = Callable[[WorkerAccount], bool]


class WorkerChooser:
    """
    Picks a worker that has what is demanded.

    Args:
        occupancy: What occupies the workers.
        placement: How the worker is chosen among those that fit.
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
        Return a worker that fits, or None if none was found.

        Args:
            demand: What is going to be charged.
            cost: Compares workers; the smallest is taken.
            is_allowed: Tells whether a worker may be used at all.
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
        every = tuple(self._occupancy.ledger.open_accounts())
        if self._placement is Placement.FIRST_FIT or not every:
            return iter(every)
        self._next_position = (self._next_position + 1) % len(every)
        return iter(every[self._next_position :] + every[: self._next_position])
