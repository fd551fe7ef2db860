"""
Orders about runs, queued for the workers of a shard.
"""

from hawthornpier.events import DecisionLog
from hawthornpier.fleet._job_index import JobIndex
from hawthornpier.fleet._orders import Order, OrderKind
from hawthornpier.fleet._owner_load import OwnerLoad
from hawthornpier.fleet._reservations import Reservation
from hawthornpier.fleet._start_gate import StartGate
from hawthornpier.fleet._wait_times import WaitTimes
from hawthornpier.fleet._worker_state import WorkerState
from hawthornpier.ports import Clock
from hawthornpier.steps import Run, RunPhase, add_run


class RunOrders(JobIndex):
    """
    The workers of a shard, and the orders that are queued for them.

    Args:
        clock: The clock of this process.
        log: The log of scheduling decisions.
        row_bytes: The largest content of a row of the store.
        load: The load of the owner, which sends them.
    """

    def __init__(
        self,
        clock: Clock,
        log: DecisionLog,
        *,
        row_bytes: int,
        load: OwnerLoad,
    ) -> None:
        super().__init__(clock, row_bytes)
        self.load = load
        self.start_gate = StartGate(clock, load)
        self.log = log
        self.workers: dict[str, WorkerState] = {}
        # When a scheduling pass last looked for steps that are due.
        self.considered_ms: float = 0
        # The room that is reserved for tasks that move, by task key.
        self.reservations: dict[str, Reservation] = {}
        self.waits = WaitTimes()

    def order_start(self, run: Run, reason: str) -> None:
        """
        Order the start of a run that has its resources allocated already.
        """
        task = run.task
        if task.attempt:
            self.waits.add_restart(task.step)
        else:
            self.waits.add_placement(run)
        task.attempt = run.attempt
        run.is_copy = bool(task.runs)
        run.checkpoint = task.checkpoint
        run.has_resumed = bool(task.checkpoint)
        add_run(task, run)
        worker = self.workers[run.worker_id]
        worker.orders.put_nowait(
            Order(
                kind=OrderKind.START,
                task_key=task.key,
                attempt=run.attempt,
                run=run,
            ),
        )
        self.log.record(
            'run_placed',
            task=task.key,
            attempt=run.attempt,
            worker=worker.worker_id,
            why=reason,
        )

    def stop_run(self, run: Run, reason: str) -> None:
        """
        Order a run to stop.

        Its resources stay allocated until it is known to have ended.
        """
        if run.phase is RunPhase.STOPPING:
            return
        run.phase = RunPhase.STOPPING
        run.order_acknowledged_ms = 0
        run.stop_reason = reason
        worker = self.workers[run.worker_id]
        self.order_stop(worker, run.task.key, run.attempt, run=run)
        self.log.record(
            'run_stopping',
            task=run.task.key,
            attempt=run.attempt,
            worker=run.worker_id,
            why=reason,
        )

    def order_stop(
        self,
        worker: WorkerState,
        task_key: str,
        attempt: int,
        *,
        run: Run | None = None,
    ) -> None:
        """
        Order a worker to stop a run, which the owner may have no record of.
        """
        stop = Order(
            kind=OrderKind.STOP,
            task_key=task_key,
            attempt=attempt,
            run=run,
        )
        worker.orders.put_nowait(stop)

    def order_throttle(
        self, worker: WorkerState, run: Run, percent: int
    ) -> None:
        """
        Order a worker to throttle a run to a percentage of its full speed.
        """
        run.speed_percent = percent
        run.was_throttled = run.was_throttled or percent < 100
        run.percent_changed_ms = self.now_ms
        worker.orders.put_nowait(
            Order(
                kind=OrderKind.THROTTLE,
                task_key=run.task.key,
                attempt=run.attempt,
                run=run,
                percent=percent,
            ),
        )
        self.log.record(
            'run_throttled',
            task=run.task.key,
            attempt=run.attempt,
            worker=run.worker_id,
            percent=percent,
        )
