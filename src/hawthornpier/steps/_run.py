"""
The attempts to execute tasks.
"""

from typing import TYPE_CHECKING

from hawthornpier.steps._run_phase import RunPhase

if TYPE_CHECKING:
    from hawthornpier.steps._state import Task


class Run:
    """
    One attempt to execute a task on one incarnation of a worker.
    """

    __slots__ = (
        'attempt',
        'checkpoint',
        'confirmed_ms',
        'cpu_or_tail',
        'has_lost_connection',
        'has_resumed',
        'is_copy',
        'is_delivered',
        'is_listed',
        'listed_ms',
        'may_start_late',
        'order_acknowledged_ms',
        'paused_ms',
        'percent',
        'percent_changed_ms',
        'phase',
        'sent_ms',
        'speed_percent',
        'start_deadline_clock_ms',
        'started_ms',
        'stop_reason',
        'task',
        'ticket',
        'was_throttled',
        'worker_id',
    )

    def __init__(
        self,
        task: 'Task',
        attempt: int,
        worker_id: str,
        now_ms: float,
    ) -> None:
        self.task = task
        self.attempt = attempt
        self.worker_id = worker_id
        self.phase = RunPhase.STARTING
        self.started_ms = now_ms
        # When the owner learned that the worker executes the run, which may be
        # long after it was placed; as for `started_ms` before that.
        self.confirmed_ms = now_ms
        # When this owner first sent the start to the worker, or first saw the
        # run in its listing; 0 before.
        self.sent_ms: float = 0
        # Until when its start may be executed, by the worker's clock, or 0.
        self.start_deadline_clock_ms = 0
        # Whether the start has certainly reached the worker, which has replied
        # or listed the run.
        self.is_delivered = False
        # Whether a listing of the worker's current incarnation contained it.
        self.is_listed = False
        # Whether a start whose reply is not known may still be executed, also
        # by the next incarnation of the worker.
        self.may_start_late = False
        # Whether the connection broke as the start was sent.
        self.has_lost_connection = False
        # When the worker last acknowledged an order for the run or first
        # listed it; 0 while an order is pending.  If a listing requested
        # later does not contain the run, the run has ended.
        self.order_acknowledged_ms: float = 0
        self.checkpoint = ''
        # Progress; a long-running task is ready at 100.
        self.percent = 0
        self.percent_changed_ms = now_ms
        # When the owner requested the latest listing that contained the run.
        self.listed_ms = now_ms
        # Percentage of full speed that was last ordered; -1 if that order got
        # no response.
        self.speed_percent = 100
        # Since when the run has been paused; 0 if it is not.
        self.paused_ms: float = 0
        # As reported by the worker: the tail latency in ms of a long-running
        # task, the processors in use (thousandths of a core) of any other.
        self.cpu_or_tail = 0
        # Whether another run of the task existed when this one was started.
        self.is_copy = False
        # Whether it started from a checkpoint, or was adopted by a new owner,
        # which does not know when it started.
        self.has_resumed = False
        self.stop_reason = ''
        self.ticket = ''
        self.was_throttled = False

    @property
    def key(self) -> tuple[str, int]:
        """
        Return the task's key and the attempt, which identify the run.
        """
        return (self.task.key, self.attempt)

    @property
    def is_ready(self) -> bool:
        """
        Return whether it runs a long-running task that is at work.
        """
        return self.task.step.plan.is_lasting and self.percent >= 100

    @property
    def has_unacknowledged_order(self) -> bool:
        """
        Return whether the last start or stop order is not acknowledged.

        The worker may then still carry out a start of this run.
        """
        return (
            self.phase is not RunPhase.RUNNING
            and not self.order_acknowledged_ms
        )

    @property
    def has_representative_duration(self) -> bool:
        """
        Return whether the run time is a sample of the task's duration.

        It is not for long-running tasks, resumed runs and throttled runs.
        """
        if self.task.step.plan.is_lasting or self.has_resumed:
            return False
        return not self.was_throttled
