"""
Jobs of steps as they are submitted, and the queues that they come from.
"""

import enum
from dataclasses import dataclass


class JobPhase(enum.StrEnum):
    """
    The states of a job that a caller can see.
    """

    QUEUED = 'queued'
    RUNNING = 'running'
    COMPLETED = 'completed'
    FAILED = 'failed'
    CANCELLED = 'cancelled'


class RunOutcome(enum.StrEnum):
    """
    How a run ended on its worker.

    Only FAILED counts against the attempts of a task.
    """

    DONE = 'done'
    FAILED = 'failed'
    STOPPED = 'stopped'
    LAPSED = 'lapsed'
    GANG_BROKEN = 'broken'
    GANG_INCOMPLETE = 'alone'
    # The worker began a new life, or its lease certainly lapsed unseen.
    LOST = 'lost'


@dataclass(frozen=True, slots=True, kw_only=True)
class StepPlan:
    """
    One step: a number of equal tasks and what each of them needs.

    *after* lists earlier steps that must be complete first.  The processors
    of a filling task are not reserved: it gets what other tasks leave.
    A lasting task runs until its job is cancelled.
    """

    task_count: int
    processor_millis: int = 0
    memory_mb: int = 0
    accelerator_count: int = 0
    estimate_ms: int = 0
    after: tuple[int, ...] = ()
    image: str = ''
    tail_target_ms: int = 0
    # How many tasks the scheduler itself may keep away from work at a time.
    unavailable_limit: int | None = None
    required_label: str = ''
    near_rack: str = ''
    per_worker_limit: int = 0
    is_gang: bool = False
    is_same_rack: bool = False
    has_checkpoints: bool = False
    may_run_copies: bool = False
    is_lasting: bool = False
    is_filling: bool = False


@dataclass(frozen=True, slots=True, kw_only=True)
class AdviceTimings:
    """
    The durations of the service that approves workers for a queue's steps.
    """

    decide_ms: float
    per_worker_ms: float
    valid_ms: float


@dataclass(frozen=True, slots=True, kw_only=True)
class QueuePolicy:
    """
    What the configuration says of the jobs of one queue.
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

    With *repeat_count* above 0 the steps run that many times, occurrence K
    from *first_due_ms* (Unix time) plus K times *interval_ms* on.
    """

    job_id: str
    payload: str
    steps: tuple[StepPlan, ...]
    queue: QueuePolicy
    first_due_ms: int = 0
    interval_ms: int = 0
    repeat_count: int = 0
    # Unix time at which the job was submitted, by the accepting process.
    submitted_ms: int = 0

    @property
    def occurrence_count(self) -> int:
        """
        Return how many times the steps run.
        """
        return max(1, self.repeat_count)

    @property
    def is_lasting(self) -> bool:
        """
        Tell whether the job runs until it is cancelled.
        """
        return any(step.is_lasting for step in self.steps)
