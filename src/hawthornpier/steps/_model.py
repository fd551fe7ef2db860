"""
Submitted jobs and the policies of the queues that accept them.
"""

import enum
from dataclasses import dataclass


class JobPhase(enum.StrEnum):
    """
    The states of a job that are reported to callers.
    """

    QUEUED = 'queued'
    RUNNING = 'running'
    COMPLETED = 'completed'
    FAILED = 'failed'
    CANCELLED = 'cancelled'


class RunOutcome(enum.StrEnum):
    """
    How a run ended.

    Only FAILED counts towards the maximum number of attempts of a task.
    """

    DONE = 'done'
    FAILED = 'failed'
    STOPPED = 'stopped'
    # The worker ended the run because its lease had expired.
    LAPSED = 'lapsed'
    # Another member of the gang ended early.
    GANG_BROKEN = 'broken'
    # The other members of the gang did not start in time.
    GANG_INCOMPLETE = 'alone'
    # Concluded by the owner: the worker refused the start, restarted, no
    # longer lists the run, or was unreachable until the lease had expired.
    LOST = 'lost'


@dataclass(frozen=True, slots=True, kw_only=True)
class StepPlan:
    """
    One step: the number of its tasks and the requirements of each task.

    Resources are per task; processors are in thousandths of a core.
    """

    task_count: int
    processor_millis: int = 0
    memory_mb: int = 0
    accelerator_count: int = 0
    estimate_ms: int = 0
    # Indexes of the steps that must be complete before this one starts.
    after: tuple[int, ...] = ()
    image: str = ''
    # Target of the tail latency of a long-running task; 0 if it has none.
    tail_target_ms: int = 0
    # How many tasks the scheduler may make unavailable at the same time, for
    # example by moving them.
    unavailable_limit: int | None = None
    required_label: str = ''
    # Preferred rack.
    near_rack: str = ''
    # Maximum number of the step's runs on one worker; 0 means no limit.
    per_worker_limit: int = 0
    # The tasks form a gang: they start, save checkpoints and complete together.
    is_gang: bool = False
    # All tasks must run in one rack.
    is_same_rack: bool = False
    has_checkpoints: bool = False
    # Several runs of one task may execute at the same time.
    may_run_copies: bool = False
    # Long-running: each task runs until the job is cancelled.
    is_lasting: bool = False
    # Best-effort: the task reserves no processors and uses those that other
    # tasks on the worker leave idle.
    is_filling: bool = False


@dataclass(frozen=True, slots=True, kw_only=True)
class AdviceTimings:
    """
    Durations of the service that approves workers for a queue's steps.
    """

    decide_ms: float
    # Added for each worker named in a request.
    per_worker_ms: float
    # How long an approval is valid.
    valid_ms: float


@dataclass(frozen=True, slots=True, kw_only=True)
class QueuePolicy:
    """
    The configured policy for the jobs of one queue.
    """

    name: str
    service: str
    priority: int = 0
    max_attempts: int = 1
    slack_factor: float = 1
    objective_ms: int = 0
    advice: AdviceTimings | None = None


@dataclass(frozen=True, slots=True, kw_only=True)
class JobPlan:
    """
    A job as its caller submitted it.

    If *repeat_count* is above 0, the steps run that many times.  Occurrence K
    is due at *first_due_ms* (Unix time) plus K times *interval_ms*.
    """

    job_id: str
    payload: str
    steps: tuple[StepPlan, ...]
    queue: QueuePolicy
    first_due_ms: int = 0
    interval_ms: int = 0
    repeat_count: int = 0
    # Unix time of the submission, by the clock of the accepting process.
    submitted_ms: int = 0

    @property
    def occurrence_count(self) -> int:
        """
        Return how many times the steps have to run.
        """
        return max(1, self.repeat_count)

    @property
    def is_lasting(self) -> bool:
        """
        Return whether a step is long-running, so that only cancelling ends it.
        """
        return any(step.is_lasting for step in self.steps)
