"""
Selection of the batch tasks whose eviction costs least.
"""

import heapq
import itertools
from collections.abc import Container, Iterable

from hawthornpier.messages import Resources
from hawthornpier.policy._decisions import EvictTask
from hawthornpier.policy._health import HealthTracker
from hawthornpier.policy._interference import THROTTLED_WEIGHT
from hawthornpier.policy._ledger import WorkerAccount
from hawthornpier.policy._occupancy import Occupancy, RunningTask
from hawthornpier.policy._sizes import SizeEstimator

# Limits on the running tasks compared for one selection of victims, and on the
# workers compared for one preemption.
_MAX_CANDIDATE_COUNT = 512
_MAX_WORKER_COUNT = 16
# Eviction of a task that is expected to end within this time has a high cost,
# since the eviction itself takes about as long.  Each earlier eviction of a
# task adds this time to its cost.
_NEARLY_DONE_MS = 1_000


class EvictionPlanner:
    """
    Selects victims by the expected cost of their eviction.

    If the checkpoint of an evicted task fails, all work since the start of the
    run is lost, and each eviction delays the task in any case.  Tasks that
    started recently and were seldom evicted are therefore evicted first.

    Args:
        occupancy: The work that runs on each worker.
        sizes: Expected run times of tasks.
        health: Decides whether a worker may run the preempting task.
    """

    def __init__(
        self,
        *,
        occupancy: Occupancy,
        sizes: SizeEstimator,
        health: HealthTracker,
    ) -> None:
        self._occupancy = occupancy
        self._sizes = sizes
        self._health = health

    def eviction_cost(self, running: RunningTask, now_ms: int) -> float:
        """
        Return the expected cost of evicting a task, in ms of lost work.
        """
        elapsed_ms = now_ms - running.started_ms
        attained_ms = running.task.done_work_ms + elapsed_ms
        expected_ms = self._sizes.expected_ms(running.task)
        cost = elapsed_ms + _NEARLY_DONE_MS * running.task.eviction_count
        if 0 < expected_ms - attained_ms < _NEARLY_DONE_MS:
            cost += 10 * _NEARLY_DONE_MS
        # A throttled task makes the least progress in its slot.
        return cost * THROTTLED_WEIGHT if running.is_throttled else cost

    def select_victims(
        self,
        candidates: Iterable[RunningTask],
        count: int,
        now_ms: int,
    ) -> list[RunningTask]:
        """
        Return up to *count* candidates with the lowest eviction cost.

        Urgent tasks and tasks that are already being evicted are left out.
        """
        evictable = (task for task in candidates if task.is_evictable)
        return heapq.nsmallest(
            count,
            itertools.islice(evictable, _MAX_CANDIDATE_COUNT),
            key=lambda running: self.eviction_cost(running, now_ms),
        )

    def evict(self, running: RunningTask, reason: str) -> EvictTask:
        """
        Mark the task as being evicted and return the eviction decision.
        """
        self._occupancy.mark_evicting(running)
        return EvictTask(
            task_id=running.task.task_id,
            worker_id=running.worker_id,
            reason=reason,
        )

    def plan_preemption(
        self,
        task_id: str,
        demand: Resources,
        now_ms: int,
        *,
        reserved_workers: Container[str],
    ) -> tuple[str, list[RunningTask]]:
        """
        Return a worker and the tasks to evict from it at the lowest cost.

        Reserved workers are left out.  The worker is '' if no eviction frees
        enough resources.

        Args:
            task_id: The preempting task.
            demand: Resources that the preempting task needs.
            now_ms: Monotonic time.
            reserved_workers: Ids of workers that are reserved for urgent tasks.
        """
        best_cost = float('inf')
        best: tuple[str, list[RunningTask]] = ('', [])
        for worker_id in self._occupancy.index.probe(
            0,
            _MAX_WORKER_COUNT,
        ):
            is_allowed = self._health.allows_task(worker_id, task_id, now_ms)
            if worker_id in reserved_workers or not is_allowed:
                continue
            account = self._occupancy.ledger.accounts[worker_id]
            victims = self._victims(account, demand, now_ms)
            cost = sum(self.eviction_cost(victim, now_ms) for victim in victims)
            if victims and cost < best_cost:
                best_cost = cost
                best = (worker_id, victims)
        return best

    def _victims(
        self,
        account: WorkerAccount,
        demand: Resources,
        now_ms: int,
    ) -> list[RunningTask]:
        free = account.free
        victims: list[RunningTask] = []
        tasks = self._occupancy.tasks_on(account.info.worker_id)
        for running in self.select_victims(tasks, len(tasks), now_ms):
            charge = account.tasks[running.task.task_id]
            free += charge.demand
            victims.append(running)
            if demand.fits_in(free):
                return victims
        return []
