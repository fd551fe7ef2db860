"""
Moves of long-running tasks off workers that are draining.
"""

import math

from hawthornpier.fleet._moves import Moves
from hawthornpier.fleet._placement import Placement
from hawthornpier.fleet._shard import Shard
from hawthornpier.fleet._worker_state import WorkerState
from hawthornpier.steps import Run, RunPhase

# Assumed time until a draining worker stops, if the registry has none.
DEFAULT_REMAINING_MS = 2_000.0
# A task for which there is no room elsewhere is stopped this long before its
# worker stops.  A run that is lost with its worker holds up its task until the
# lease of the worker has expired.
_STOP_MARGIN_MS = 1_200.0
# Minimum interval between two passes.
_CHECK_INTERVAL_MS = 200.0


class Departures:
    """
    Moves long-running tasks off draining workers as soon as there is room.

    Until then they go on, unless the time that is left requires a stop.

    Args:
        shard: The state of the shard.
        placement: Chooses where the tasks move.
        moves: Moves them.
    """

    def __init__(
        self, shard: Shard, placement: Placement, moves: Moves
    ) -> None:
        self._shard = shard
        self._placement = placement
        self._moves = moves
        # When draining workers stop, by worker.
        self._stop_ms: dict[str, float] = {}
        # In the current pass, by service: no worker has as many processors.
        self._missing_millis: dict[str, int] = {}
        self._last_pass_ms: float = 0

    def run_pass(self) -> None:
        """
        Check all draining workers, unless the last pass was too recent.
        """
        now_ms = self._shard.now_ms
        if now_ms - self._last_pass_ms < _CHECK_INTERVAL_MS:
            return
        self._last_pass_ms = now_ms
        self._missing_millis.clear()
        draining = {
            worker.worker_id: worker
            for worker in self._shard.workers.values()
            if worker.entry.is_draining
        }
        for worker_id in self._stop_ms.keys() - draining.keys():
            self._stop_ms.pop(worker_id)
        for worker in draining.values():
            self._move_runs(worker, now_ms)

    def _move_runs(self, worker: WorkerState, now_ms: float) -> None:
        remaining_ms = worker.entry.remaining_ms
        if remaining_ms is None:
            remaining_ms = int(DEFAULT_REMAINING_MS)
        stop_ms = self._stop_ms.setdefault(
            worker.worker_id, now_ms + remaining_ms
        )
        is_urgent = now_ms >= stop_ms - _STOP_MARGIN_MS
        for run in worker.long_running_runs():
            if run.phase is not RunPhase.RUNNING:
                continue
            destination = self._find_destination(run, now_ms)
            if destination is not None:
                self._moves.begin(run, destination, 'worker is draining')
            elif is_urgent:
                self._shard.stop_run(run, 'worker is draining')

    def _find_destination(self, run: Run, now_ms: float) -> WorkerState | None:
        shard, plan = self._shard, run.task.step.plan
        service = shard.service_of(run.task.step.job)
        missing_millis = self._missing_millis.get(service, math.inf)
        if plan.processor_millis >= missing_millis:
            return None
        if not shard.permits.may_start_on(service):
            return None
        roomy = [
            worker
            for worker in shard.workers.values()
            if worker.entry.service == service
            and worker.free_millis >= plan.processor_millis
            and worker.is_usable
        ]
        if not roomy:
            self._missing_millis[service] = plan.processor_millis
        return self._placement.choose(run.task, roomy, now_ms)
