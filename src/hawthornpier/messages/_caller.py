"""
Messages between callers or operators and entry processes.
"""

import enum
from dataclasses import dataclass

from hawthornpier.messages._resources import Resources


class OutcomeKind(enum.StrEnum):
    """
    The possible outcomes of a caller's request.
    """

    ANSWER = 'answer'
    NOT_RUN = 'not_run'
    UNKNOWN = 'unknown'


@dataclass(frozen=True, slots=True, kw_only=True)
class Answer:
    """
    The complete response of the service's endpoint to a request.
    """

    request_id: str
    body: str


@dataclass(frozen=True, slots=True, kw_only=True)
class NotRun:
    """
    A guarantee that the request has not run and will never run.

    *retry_after_ms* is the delay after which the caller may send the request
    again; 0 means that no delay is suggested.
    """

    request_id: str
    reason: str
    retry_after_ms: int = 0


@dataclass(frozen=True, slots=True, kw_only=True)
class Unknown:
    """
    The scheduler cannot determine whether the request ran.

    *ask_again* is an instruction in prose: whether the caller may send the
    request again and where it can obtain the outcome.
    """

    request_id: str
    reason: str
    ask_again: str = ''


Outcome = Answer | NotRun | Unknown


@dataclass(frozen=True, slots=True, kw_only=True)
class JobSpec:
    """
    A batch job as submitted by an operator.

    *demand* is the demand of each task.  *declared_work_ms* is the operator's
    estimate of the run time of each task, which may be far off.  *work_ms* is
    the actual run time of each task on the simulated workers of
    `hawthornpier_standin`; 0 means *declared_work_ms*.
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

    An `EVICTED` task is queued again and resumes from its checkpoint.
    `UNKNOWN` is final: the lease of a run of a task that is not idempotent
    expired, so the task may or may not have completed.
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
    The state of one task as shown to operators.
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
    The state of one job and its tasks as shown to operators.

    *waits_for* names the limit that keeps a queued task of the job from
    starting; it is empty if no task is queued.
    """

    job_id: str
    spec: JobSpec
    is_cancelled: bool
    tasks: tuple[TaskView, ...]
    waits_for: str = ''
