"""
What the owner of a shard knows of its jobs while they run.
"""

import enum
from collections.abc import Iterator

from hawthornpier.steps._model import JobPhase, JobPlan, RunOutcome, StepPlan


class RunPhase(enum.StrEnum):
    """
    What the owner knows of a run; it is charged to its worker in all phases.
    """

    STARTING = 'starting'
    RUNNING = 'running'
    STOPPING = 'stopping'
    # The start got no answer: it may run, or may still begin.
    UNCERTAIN = 'uncertain'


class Run:
    """
    One start of a task on one life of a worker.
    """

    __slots__ = (
        'attempt',
        'checkpoint',
        'cpu_or_tail',
        'has_resumed',
        'is_copy',
        'order_answered_ms',
        'paused_ms',
        'percent',
        'percent_changed_ms',
        'phase',
        'speed_percent',
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
        # When the worker last answered an order about the run; a listing
        # that was asked for later must contain it, or it has ended.
        self.order_answered_ms: float = 0
        self.checkpoint = ''
        self.percent = 0
        self.percent_changed_ms = now_ms
        self.speed_percent = 100
        # Since when it may not work at all; 0 if it may.
        self.paused_ms: float = 0
        # Tail in ms of a lasting task, processors in use of any other.
        self.cpu_or_tail = 0
        self.is_copy = False
        self.has_resumed = False
        self.stop_reason = ''
        self.ticket = ''
        self.was_throttled = False

    @property
    def has_unanswered_order(self) -> bool:
        """
        Tell whether an order for the start may still be carried out.
        """
        return self.phase is not RunPhase.RUNNING and not self.order_answered_ms

    @property
    def has_representative_duration(self) -> bool:
        """
        Tell whether the run time is that of the task's whole work.
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
        'failed_attempts',
        'index',
        'is_done',
        'key',
        'last_lost_ms',
        'runs',
        'step',
    )

    def __init__(self, step: 'Step', index: int) -> None:
        self.step = step
        self.index = index
        self.key = f'{step.key}.{index}'
        self.runs: list[Run] = []
        self.attempt = 0
        # Attempt numbers, so that an end that is listed twice counts once.
        self.failed_attempts: set[int] = set()
        self.checkpoint = ''
        self.is_done = False
        # Workers where this task failed or stood still.
        self.avoided_workers: set[str] = set()
        self.last_lost_ms: float = 0

    @property
    def failed_count(self) -> int:
        """
        Return how many runs have failed.
        """
        return len(self.failed_attempts)

    @property
    def is_waiting(self) -> bool:
        """
        Tell whether the task needs a start.
        """
        return not self.is_done and not self.runs


class Step:
    """
    The tasks of one step in one occurrence.
    """

    __slots__ = (
        'done_count',
        'gang_attempt',
        'number',
        'occurrence',
        'plan',
        'ready_ms',
        'tasks',
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
        self.gang_attempt = 0
        # When its turn came, by the owner's clock; None before that.
        self.ready_ms: float | None = None
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
        Return the name of the step, the common prefix of its tasks' names.
        """
        job_id = self.job.plan.job_id
        return f'{job_id}.{self.occurrence.number}.{self.number}'

    @property
    def is_done(self) -> bool:
        """
        Tell whether all tasks have ended as done.
        """
        return self.done_count >= len(self.tasks)

    def waiting(self) -> list[Task]:
        """
        Return the tasks that need a start.
        """
        return [task for task in self.tasks if task.is_waiting]


class Occurrence:
    """
    One time that the steps of a job run.
    """

    __slots__ = ('due_ms', 'job', 'number', 'steps')

    def __init__(self, job: 'Job', number: int) -> None:
        self.job = job
        self.number = number
        plan = job.plan
        # Unix time; 0 means at once.
        self.due_ms = 0
        if plan.repeat_count:
            self.due_ms = plan.first_due_ms + number * plan.interval_ms
        self.steps = [
            Step(self, index, step) for index, step in enumerate(plan.steps)
        ]

    @property
    def is_done(self) -> bool:
        """
        Tell whether every step is complete.
        """
        return all(step.is_done for step in self.steps)

    def due_steps(self, wall_ms: float) -> Iterator[Step]:
        """
        Yield the steps whose turn has come and that are not complete.
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
    One accepted job.

    Args:
        plan: What was submitted.
        accepted_ms: When the owner learned of it, by its own clock.
    """

    __slots__ = (
        'accepted_ms',
        'end_phase',
        'ended_ms',
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
        # The final state, and whether the store has it; it is shown only
        # then, because a later owner must not run the job again.
        self.end_phase: JobPhase | None = None
        self.is_stored = False
        self.ended_ms: float = 0
        # An earlier owner may have started tasks that are not listed yet.
        self.is_from_earlier_epoch = False
        self.occurrences = [
            Occurrence(self, number) for number in range(plan.occurrence_count)
        ]

    @property
    def is_terminal(self) -> bool:
        """
        Tell whether nothing of the job may be started.
        """
        return self.is_cancelled or self.end_phase is not None

    @property
    def is_removable(self) -> bool:
        """
        Tell whether the job is over, durably, and nothing of it runs.
        """
        is_durable = self.is_cancelled or self.is_stored
        return is_durable and not any(task.runs for task in self.tasks())

    @property
    def phase(self) -> JobPhase:
        """
        Return the state that callers are shown.
        """
        if self.end_phase is not None and self.is_stored:
            return self.end_phase
        if self.is_cancelled:
            return JobPhase.CANCELLED
        return JobPhase.RUNNING if self.has_started else JobPhase.QUEUED

    def tasks(self) -> Iterator[Task]:
        """
        Yield all tasks.
        """
        for occurrence in self.occurrences:
            for step in occurrence.steps:
                yield from step.tasks

    def find(self, occurrence: int, step: int, index: int) -> Task | None:
        """
        Return the task with these numbers, or None if there is none.
        """
        try:
            return self.occurrences[occurrence].steps[step].tasks[index]
        except IndexError:
            return None


def mark_done(task: Task) -> None:
    """
    Note that a task ended as done; for a gang this stands for all members.
    """
    step = task.step
    members = step.tasks if step.plan.is_gang else [task]
    for member in members:
        if not member.is_done:
            member.is_done = True
            step.done_count += 1


def apply_outcome(
    task: Task,
    attempt: int,
    kind: RunOutcome,
    checkpoint: str,
) -> None:
    """
    Take the end of a run into account.

    Args:
        task: The task whose run ended.
        attempt: Which run it was.
        kind: How it ended.
        checkpoint: What the run saved last, or empty.
    """
    if checkpoint:
        members = task.step.tasks if task.step.plan.is_gang else [task]
        for member in members:
            member.checkpoint = checkpoint
    if kind is RunOutcome.DONE and not task.step.plan.is_lasting:
        mark_done(task)
    elif kind is RunOutcome.FAILED:
        task.failed_attempts.add(attempt)


def update_end_phase(job: Job, now_ms: float) -> bool:
    """
    Settle the final state of a job; tell whether it has just changed.
    """
    if job.end_phase is not None or job.is_cancelled:
        return False
    limit = job.plan.queue.max_attempts
    if all(occurrence.is_done for occurrence in job.occurrences):
        job.end_phase = JobPhase.COMPLETED
    elif any(_is_exhausted(task, limit) for task in job.tasks()):
        job.end_phase = JobPhase.FAILED
    else:
        return False
    job.ended_ms = now_ms
    return True


def _is_exhausted(task: Task, limit: int) -> bool:
    plan = task.step.plan
    if task.is_done or plan.is_lasting:
        return False
    if plan.is_gang:
        members = task.step.tasks
        return sum(member.failed_count for member in members) >= limit
    return task.failed_count >= limit
