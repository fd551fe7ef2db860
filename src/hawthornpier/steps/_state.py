"""
The in-memory state of jobs at the owner of their shard.
"""

from collections.abc import Iterator

from hawthornpier.steps._model import JobPhase, JobPlan, StepPlan
from hawthornpier.steps._run_end import RunEnd
from hawthornpier.steps._run_phase import RunPhase
from hawthornpier.steps._suspicion import Suspicion


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


class Task:
    """
    One task of a step.
    """

    __slots__ = (
        'attempt',
        'avoided_workers',
        'checkpoint',
        'crashes',
        'failed_attempts',
        'index',
        'is_done',
        'key',
        'last_end',
        'runs',
        'step',
        'suspicions',
        'tried_ms',
    )

    def __init__(self, step: 'Step', index: int) -> None:
        self.step = step
        self.index = index
        self.key = f'{step.key}.{index}'
        self.runs: list[Run] = []
        self.attempt = 0
        # Attempt numbers rather than a count, because a worker may list the
        # same failed run twice, and several members of a gang fail together.
        self.failed_attempts: set[int] = set()
        # By attempt during which its worker crashed: the weight of the
        # evidence that the task caused the crash (see `CrashEvidence`).
        self.crashes: dict[int, int] = {}
        # Runs that may have crashed a worker which does not respond, by worker.
        self.suspicions: dict[str, Suspicion] = {}
        # When it was last started on trial, by the owner's monotonic clock.
        self.tried_ms: float | None = None
        self.checkpoint = ''
        # Of the runs that this owner knew.
        self.last_end: RunEnd | None = None
        self.is_done = False
        # Workers on which a run of this task or of its gang failed, stalled, or
        # may still start because its start was not acknowledged.
        self.avoided_workers: set[str] = set()

    @property
    def members(self) -> 'list[Task]':
        """
        Return the members of the task's gang, or the task itself.

        The runs of a gang's members with the same number are one attempt.
        """
        return self.step.tasks if self.step.plan.is_gang else [self]

    @property
    def failed_count(self) -> int:
        """
        Return how many runs of the task, or attempts of its gang, have failed.
        """
        return len(self.failed_attempts)

    def avoid_worker(self, worker_id: str) -> None:
        """
        Prefer other workers for the next attempts.
        """
        for member in self.members:
            member.avoided_workers.add(worker_id)

    @property
    def is_waiting(self) -> bool:
        """
        Return whether the task is incomplete and has no run.
        """
        return not self.is_done and not self.runs


class Step:
    """
    The tasks of one step in one occurrence.
    """

    __slots__ = (
        'busy_count',
        'done_count',
        'fully_searched_ms',
        'number',
        'occurrence',
        'plan',
        'ready_ms',
        'refused_ms',
        'searched_ms',
        'startable_ms',
        'tasks',
        'unplaced_since_ms',
    )

    def __init__(
        self,
        occurrence: 'Occurrence',
        number: int,
        plan: StepPlan,
    ) -> None:
        self.occurrence = occurrence
        self.number = number
        self.plan = plan
        self.done_count = 0
        # The number of tasks that are not waiting.
        self.busy_count = 0
        # When the step became ready to start, by the owner's monotonic clock;
        # None before that.
        self.ready_ms: float | None = None
        # When the owner learned that nothing holds the step back but a worker,
        # and when a pass first found none for a task of it.
        self.startable_ms = occurrence.job.accepted_ms
        self.refused_ms: float | None = None
        # When no worker was found for a task of the step, and when all workers
        # were last considered; both by the owner's monotonic clock.  None
        # while all its tasks have found one.
        self.searched_ms: float | None = None
        self.fully_searched_ms: float = 0
        # Since when no worker has been found for a task of the step.
        self.unplaced_since_ms: float | None = None
        self.tasks = [Task(self, index) for index in range(plan.task_count)]

    @property
    def job(self) -> 'Job':
        """
        Return the job that the step belongs to.
        """
        return self.occurrence.job

    @property
    def key(self) -> str:
        """
        Return the step's key, which prefixes the keys of its tasks.
        """
        job_id = self.job.plan.job_id
        return f'{job_id}.{self.occurrence.number}.{self.number}'

    @property
    def is_done(self) -> bool:
        """
        Return whether all tasks are complete.
        """
        return self.done_count >= len(self.tasks)

    def waiting(self) -> list[Task]:
        """
        Return the incomplete tasks that have no run.
        """
        return [task for task in self.tasks if task.is_waiting]


class Occurrence:
    """
    One execution of all steps of a job; repeated jobs have several.
    """

    __slots__ = ('due_ms', 'job', 'number', 'steps')

    def __init__(self, job: 'Job', number: int) -> None:
        self.job = job
        self.number = number
        plan = job.plan
        # Unix time at which the steps may start; 0 means immediately.
        self.due_ms = 0
        if plan.repeat_count:
            self.due_ms = plan.first_due_ms + number * plan.interval_ms
        self.steps = [
            Step(self, index, step) for index, step in enumerate(plan.steps)
        ]

    @property
    def is_done(self) -> bool:
        """
        Return whether every step is complete.
        """
        return all(step.is_done for step in self.steps)

    def due_steps(self, wall_ms: float) -> Iterator[Step]:
        """
        Yield the incomplete steps that may start.

        Args:
            wall_ms: The current Unix time.
        """
        if wall_ms < self.due_ms:
            return
        for step in self.steps:
            if not step.is_done and all(
                self.steps[number].is_done for number in step.plan.after
            ):
                yield step


class Job:
    """
    An accepted job.

    Args:
        plan: The job as submitted.
        accepted_ms: When the job was accepted, by the owner's monotonic clock.
    """

    __slots__ = (
        'accepted_ms',
        'end_phase',
        'ended_ms',
        'failed_tasks',
        'has_started',
        'is_cancelled',
        'is_from_earlier_epoch',
        'is_stored',
        'occurrences',
        'plan',
    )

    def __init__(self, plan: JobPlan, accepted_ms: float) -> None:
        self.plan = plan
        self.accepted_ms = accepted_ms
        self.is_cancelled = False
        self.has_started = False
        # The final state, and whether it is stored.  Callers see it only once
        # it is stored, because otherwise the next owner would run the job
        # again.
        self.end_phase: JobPhase | None = None
        self.is_stored = False
        self.ended_ms: float = 0
        # Includes all tasks of which a run has failed or crashed its worker.
        self.failed_tasks: set[Task] = set()
        # An earlier owner may have started tasks of this job on workers that
        # have not listed their runs yet.
        self.is_from_earlier_epoch = False
        self.occurrences = [
            Occurrence(self, number) for number in range(plan.occurrence_count)
        ]

    @property
    def is_terminal(self) -> bool:
        """
        Return whether the job has ended or was cancelled.
        """
        return self.is_cancelled or self.end_phase is not None

    @property
    def is_removable(self) -> bool:
        """
        Return whether the final state is stored and no runs are left.
        """
        is_durable = self.is_cancelled or self.is_stored
        return is_durable and not any(task.runs for task in self.tasks())

    @property
    def phase(self) -> JobPhase:
        """
        Return the state that is reported to callers.
        """
        if self.end_phase is not None and self.is_stored:
            return self.end_phase
        if self.is_cancelled:
            return JobPhase.CANCELLED
        return JobPhase.RUNNING if self.has_started else JobPhase.QUEUED

    def tasks(self) -> Iterator[Task]:
        """
        Yield the tasks of all occurrences.
        """
        for occurrence in self.occurrences:
            for step in occurrence.steps:
                yield from step.tasks

    def find(self, occurrence: int, step: int, index: int) -> Task | None:
        """
        Return the task at these indexes, or None if there is none.
        """
        try:
            return self.occurrences[occurrence].steps[step].tasks[index]
        except IndexError:
            return None
