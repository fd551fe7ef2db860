"""
Choice of the batch tasks whose eviction loses least.
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

# Running tasks compared for one choice, and workers compared for a preemption.
_MAX_CANDIDATE_COUNT = 512
_MAX_WORKER_COUNT = 16
# A task that is expected to end within this time is left alone: an eviction
# takes about as long.
_NEARLY_DONE_MS = 1_000


class EvictionPlanner:
    """
    Compares running tasks by what an eviction would lose.

    The run since its start is lost if its checkpoint fails, and an eviction
    takes time from a task in any case; so young runs and tasks that were
    seldom evicted go first.

    Args:
        occupancy: What occupies the workers.
        sizes: Expected run times.
        health: Where preempted work may be placed.
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

    def loss(self, running: RunningTask, now_ms: int) -> float:
        """
        Return the expected loss of an eviction, in ms of work.
        """
        elapsed_ms = now_ms - running.started_ms
        attained_ms = running.task.done_work_ms + elapsed_ms
        expected_ms = self._sizes.expected_ms(running.task)
        loss = elapsed_ms + _NEARLY_DONE_MS * running.task.eviction_count
        if 0 < expected_ms - attained_ms < _NEARLY_DONE_MS:
            loss += 10 * _NEARLY_DONE_MS
        # A throttled task gains least from its slot.
        return loss * THROTTLED_WEIGHT if running.is_throttled else loss

    def select_victims(
        self,
        candidates: Iterable[RunningTask],
        count: int,
        now_ms: int,
    ) -> list[RunningTask]:
        """
        Return the tasks whose eviction loses least.
        """
        evictable = (task for task in candidates if task.is_evictable)
        return heapq.nsmallest(
            count,
            itertools.islice(evictable, _MAX_CANDIDATE_COUNT),
            key=lambda running: self.loss(running, now_ms),
        )

    def evict(self, running: RunningTask, reason: str) -> EvictTask:
        """
        Mark the task as being evicted and return the decision.
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
        Return the worker, and its tasks to evict, that lose least.

        Workers held for other tasks are left out.  The worker is '' if no
        eviction makes room.
        """
        best_loss = float('inf')
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
            loss = sum(self.loss(victim, now_ms) for victim in victims)
            if victims and loss < best_loss:
                best_loss = loss
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
