"""
Moves of tasks to other workers.
"""

from hawthornpier.fleet._eligibility import find_exclusion
from hawthornpier.fleet._reservations import Reservation
from hawthornpier.fleet._shard import Shard
from hawthornpier.fleet._worker_state import WorkerState
from hawthornpier.steps import Run, Task, is_crash_suspect

# Room is reserved for a task for at most this long.  The run that it moves away
# from has ended by then, unless its worker does not respond.
_RESERVATION_MS = 4_000.0


class Moves:
    """
    Stops runs to start their tasks again where room is reserved for them.

    Without the reservation, other tasks could take that room and the room of
    the stopped run, and the task would have to wait.

    Args:
        shard: The state of the shard.
    """

    def __init__(self, shard: Shard) -> None:
        self._shard = shard
        self._reservations = shard.reservations

    def begin(self, run: Run, destination: WorkerState, reason: str) -> None:
        """
        Reserve room for a task on a worker, and stop its run.

        Args:
            run: The run to stop.
            destination: A worker that is eligible for the task.
            reason: Why the task moves, for the log.
        """
        task = run.task
        self._cancel(task.key)
        self._reservations[task.key] = Reservation(
            task=task,
            destination=destination,
            expires_ms=self._shard.now_ms + _RESERVATION_MS,
        )
        destination.reserve(task.step)
        self._shard.stop_run(run, reason)

    def run_pass(self) -> None:
        """
        Start the tasks whose runs have ended where room is reserved for them.

        Releases room that is no longer needed or has been reserved for too
        long.
        """
        now_ms = self._shard.now_ms
        for move in list(self._reservations.values()):
            task = move.task
            if task.step.job.is_terminal or now_ms > move.expires_ms:
                self._cancel(task.key)
            elif task.is_waiting:
                self._cancel(task.key)
                self._start(task, move.destination)

    def _start(self, task: Task, worker: WorkerState) -> None:
        shard = self._shard
        is_known = shard.workers.get(worker.worker_id) is worker
        if not is_known or is_crash_suspect(task):
            return
        # The configuration may have moved the queue to another service.
        service = shard.service_of(task.step.job)
        is_allowed = shard.permits.may_start_on(service)
        if worker.entry.service != service or not is_allowed:
            return
        if find_exclusion(worker, task.step, shard.now_ms) is None:
            shard.start_run(task, worker, reason='move')

    def _cancel(self, task_key: str) -> None:
        move = self._reservations.pop(task_key, None)
        if move is not None:
            move.destination.cancel_reservation(move.task.step)
