"""
Throttling and eviction of batch tasks that slow a service down.
"""

from dataclasses import dataclass, field

from hawthornpier.policy._decisions import Decision, ThrottleTask
from hawthornpier.policy._interference import THROTTLED_WEIGHT
from hawthornpier.policy._occupancy import RunningTask
from hawthornpier.policy._parts import ShardParts
from hawthornpier.policy._settings import Mitigation

# Log slowdown (logarithm of the slowdown factor) of a service above which the
# ladder throttles or evicts tasks, and below which it ends their throttling.
# The gap is hysteresis: it prevents oscillation between the two.
_ESCALATION_SLOWDOWN = 0.3
_RELAXATION_SLOWDOWN = 0.2
# Tasks that contribute less log slowdown than this are left alone.
_MIN_CONTRIBUTION = 0.08
# Minimum interval between two steps on a worker.  Reports lag by about 2 s, so
# the effect of a step becomes visible only after that.
_STEP_INTERVAL_MS = 3_000
# Weighted number of recent requests on a worker below which a service is
# ignored there.
_MIN_TRAFFIC = 0.5


@dataclass(slots=True)
class _WorkerState:
    """
    Time of the last step on a worker.
    """

    last_step_ms: int
    throttled: dict[str, None] = field(default_factory=dict)


class MitigationLadder:
    """
    Throttles or evicts the batch tasks that slow a service down most.

    The first step throttles tasks.  The second one evicts a task if no further
    task can be throttled.  No step is needed to keep the service and the
    workload apart afterwards: the interference learned before the eviction
    stays known and is part of the cost of later placements.

    Args:
        parts: Components of the shard's scheduler.
    """

    def __init__(self, parts: ShardParts) -> None:
        self._parts = parts
        self._occupancy = parts.occupancy
        self._model = parts.interference_model
        self._traffic = parts.traffic
        self._costs = parts.costs
        self._planner = parts.eviction_planner
        self._choice = parts.settings.mitigation
        self._states: dict[str, _WorkerState] = {}
        self._due_workers: dict[str, None] = {}

    def remove_worker(self, worker_id: str) -> None:
        """
        Discard the state of a worker.
        """
        self._states.pop(worker_id, None)
        self._due_workers.pop(worker_id, None)

    def mark_due(self, worker_id: str) -> None:
        """
        Schedule a check of the worker for the next call of `decide`.
        """
        if self._choice is not Mitigation.NONE:
            self._due_workers[worker_id] = None

    def decide(self, now_ms: int) -> list[Decision]:
        """
        Return the throttling and evictions on the workers due for a check.
        """
        decisions: list[Decision] = []
        for worker_id in self._due_workers:
            if worker_id in self._occupancy.ledger.accounts:
                decisions.extend(self._step(worker_id, now_ms))
        self._due_workers.clear()
        return decisions

    def _step(self, worker_id: str, now_ms: int) -> list[Decision]:
        state = self._states.setdefault(
            worker_id, _WorkerState(-_STEP_INTERVAL_MS)
        )
        if now_ms - state.last_step_ms < _STEP_INTERVAL_MS:
            return []
        service, slowdown = self._worst_service(worker_id, now_ms)
        decisions: list[Decision] = []
        if slowdown > _ESCALATION_SLOWDOWN:
            decisions = self._escalate(worker_id, service, slowdown, now_ms)
        elif slowdown < _RELAXATION_SLOWDOWN:
            decisions = self._relax(worker_id, service, slowdown, now_ms)
        if decisions:
            state.last_step_ms = now_ms
        return decisions

    def _worst_service(
        self,
        worker_id: str,
        now_ms: int,
    ) -> tuple[str, float]:
        residents = self._costs.residents(worker_id)
        worst: tuple[str, float] = ('', 0)
        for service, level in self._traffic.request_counts(
            worker_id, now_ms
        ).items():
            if level < _MIN_TRAFFIC or self._parts.meets_target(service):
                continue
            slowdown = self._model.slowdown(service, residents)
            if slowdown > worst[1]:
                worst = (service, slowdown)
        return worst

    def _escalate(
        self,
        worker_id: str,
        service: str,
        slowdown: float,
        now_ms: int,
    ) -> list[Decision]:
        decisions: list[Decision] = []
        tasks = [
            running
            for running in self._occupancy.tasks_on(worker_id)
            if running.is_evictable
            and self._contribution(service, running) > _MIN_CONTRIBUTION
        ]
        tasks.sort(key=lambda running: -self._contribution(service, running))
        if self._choice is Mitigation.LADDER:
            for running in tasks:
                if slowdown > _ESCALATION_SLOWDOWN and not running.is_throttled:
                    contribution = self._contribution(service, running)
                    slowdown -= contribution * (1 - THROTTLED_WEIGHT)
                    decisions.append(self._toggle_throttle(running, now_ms))
        if not decisions and tasks:
            reason = f'the task slows service {service} down'
            decisions.append(self._planner.evict(tasks[0], reason))
        return decisions

    def _relax(
        self,
        worker_id: str,
        service: str,
        slowdown: float,
        now_ms: int,
    ) -> list[Decision]:
        decisions: list[Decision] = []
        tasks = [
            running
            for running in self._occupancy.tasks_on(worker_id)
            if running.is_throttled
        ]
        tasks.sort(key=lambda running: self._contribution(service, running))
        for running in tasks:
            slowdown += self._contribution(service, running) * (
                1 - THROTTLED_WEIGHT
            )
            if slowdown < _ESCALATION_SLOWDOWN or not service:
                decisions.append(self._toggle_throttle(running, now_ms))
        return decisions

    def _contribution(self, service: str, running: RunningTask) -> float:
        return self._model.pair_slowdown(service, running.task.workload)

    def _toggle_throttle(
        self, running: RunningTask, now_ms: int
    ) -> ThrottleTask:
        is_throttled = not running.is_throttled
        self._occupancy.throttle(running, now_ms, is_throttled=is_throttled)
        return ThrottleTask(
            task_id=running.task.task_id,
            worker_id=running.worker_id,
            is_throttled=is_throttled,
        )
