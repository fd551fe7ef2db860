"""
The in-memory state of jobs at the owner of their shard.
"""

from collections.abc import Iterator

from hawthornpier.steps._model import JobPhase, JobPlan, StepPlan
from hawthornpier.steps._run import Run
from hawthornpier.steps._run_end import RunEnd
from hawthornpier.steps._suspicion import Suspicion


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
        'considered_ms',
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
        # When a scheduling pass last found the step due.
        self.considered_ms: float = 0
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

    @property
    def waiting_count(self) -> int:
        """
        Return the number of incomplete tasks that have no run.
        """
        return len(self.tasks) - self.busy_count

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
            if step.is_done:
                continue
            after = step.plan.after
            if not after or all(self.steps[number].is_done for number in after):
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
