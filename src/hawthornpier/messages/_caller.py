"""
Messages between callers and entry processes.
"""

import enum
from dataclasses import dataclass

from hawthornpier.messages._resources import Resources


class OutcomeKind(enum.StrEnum):
    """
    The three outcomes that a caller can get.
    """

    ANSWER = 'answer'
    NOT_RUN = 'not_run'
    UNKNOWN = 'unknown'


@dataclass(frozen=True, slots=True, kw_only=True)
class Answer:
    """
    The whole answer of the endpoint to this request.
    """

    request_id: str
    body: str


@dataclass(frozen=True, slots=True, kw_only=True)
class NotRun:
    """
    A promise that the request did not run and will not run.
    """

    request_id: str
    reason: str
    retry_after_ms: int = 0


@dataclass(frozen=True, slots=True, kw_only=True)
class Unknown:
    """
    The request may have run; *ask_again* says how to learn the outcome.
    """

    request_id: str
    reason: str
    ask_again: str = ''


Outcome = Answer | NotRun | Unknown


@dataclass(frozen=True, slots=True, kw_only=True)
class JobSpec:
    """
    A batch job as its operator submits it.

    *declared_work_ms* is the run time that the operator declares for each
    task; it may be far off.  *work_ms* is what a stand-in worker really runs.
    """

    member: str
    workload: str
    task_count: int
    demand: Resources
    declared_work_ms: int
    work_ms: int = 0
    is_idempotent: bool = True
    is_urgent: bool = False


class TaskState(enum.StrEnum):
    """
    The states of a task of a batch job.
    """

    QUEUED = 'queued'
    RUNNING = 'running'
    EVICTED = 'evicted'
    DONE = 'done'
    FAILED = 'failed'
    CANCELLED = 'cancelled'
    UNKNOWN = 'unknown'


@dataclass(frozen=True, slots=True, kw_only=True)
class TaskView:
    """
    What an operator sees of one task.
    """

    task_id: str
    state: TaskState
    worker_id: str = ''
    run_id: str = ''
    eviction_count: int = 0
    detail: str = ''


@dataclass(frozen=True, slots=True, kw_only=True)
class JobView:
    """
    What an operator sees of one job; *waits_for* names the binding limit.
    """

    job_id: str
    spec: JobSpec
    is_cancelled: bool
    tasks: tuple[TaskView, ...]
    waits_for: str = ''
