"""
Costs by which placement compares candidate workers.
"""

from hawthornpier.policy._interference import CoResidents, InterferenceModel
from hawthornpier.policy._ledger import WorkerAccount
from hawthornpier.policy._occupancy import Occupancy
from hawthornpier.policy._settings import Interference
from hawthornpier.policy._traffic import TrafficMeter

# Log slowdown (logarithm of the slowdown factor) expected on a worker without
# free processors, for any workload.
_FULL_LOAD_COST = 0.1


class PlacementCosts:
    """
    Predicts how much a placement slows services down.

    Costs are log slowdowns: logarithms of the factor by which latency grows.

    Args:
        occupancy: The work that runs on each worker.
        interference_model: Interference learned from latency samples.
        traffic: Recent requests of each service on each worker.
        choice: Whether costs include interference or processor load alone.
    """

    def __init__(
        self,
        *,
        occupancy: Occupancy,
        interference_model: InterferenceModel,
        traffic: TrafficMeter,
        choice: Interference,
    ) -> None:
        self._occupancy = occupancy
        self._model = interference_model
        self._traffic = traffic
        self._is_learned = choice is Interference.LEARNED

    def request_cost(self, service: str, account: WorkerAccount) -> float:
        """
        Return the log slowdown that a request would suffer on a worker.
        """
        cost = _load_cost(account)
        if self._is_learned:
            # Throttled tasks count at full strength, so that requests go to
            # other workers and the throttling can end.
            residents = self._occupancy.unthrottled_residents(
                account.info.worker_id
            )
            cost += self._model.slowdown(service, residents)
        return cost

    def task_cost(
        self,
        workload: str,
        now_ms: int,
        account: WorkerAccount,
    ) -> float:
        """
        Return the log slowdown that a task would cause on a worker.

        The slowdown of each service is weighted by its recent requests there.
        """
        cost = _load_cost(account)
        if self._is_learned:
            request_counts = self._traffic.request_counts(
                account.info.worker_id, now_ms
            )
            cost += sum(
                self._model.pair_slowdown(service, workload) * level
                for service, level in request_counts.items()
            )
        return cost

    def residents(self, worker_id: str) -> CoResidents:
        """
        Return the batch workloads that run on a worker now.
        """
        history = self._occupancy.history(worker_id)
        return history.latest if history else {}


def _load_cost(account: WorkerAccount) -> float:
    capacity = account.info.capacity.processor_millis or 1
    free = account.free.processor_millis / capacity
    return _FULL_LOAD_COST * (1 - free)
