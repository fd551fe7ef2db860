"""
A difference between the state of a shard's owner and what it should agree with.
"""

import enum
from dataclasses import dataclass


class DifferenceKind(enum.StrEnum):
    """
    What a difference is about.
    """

    # A counter of a worker's load, against its runs and its reservations.
    WORKER_COUNTER = 'worker counter'
    # A counter of a step, against its tasks.
    STEP_COUNTER = 'step counter'
    # A run that occupies a worker, but is none of its task's runs.
    RUN_WITHOUT_TASK = 'run without task'
    # A run that keeps its task from waiting, but is not with its worker.
    RUN_WITHOUT_WORKER = 'run without worker'
    # Room is reserved on a worker that is no longer one of the shard.
    STALE_RESERVATION = 'reservation on a removed worker'
    # A job that has not ended, but is not considered for placement.
    INACTIVE_JOB = 'inactive job'
    # A step that is due and has waiting tasks, but that no pass considers.
    STEP_NOT_CONSIDERED = 'step not considered'
    # A run that the worker's last listing does not contain.
    RUN_NOT_LISTED = 'run not listed'
    # A listed run that the owner has no record of.
    LISTED_WITHOUT_RECORD = 'listed run without record'
    # A worker that replies, but whose capacity was not read again for long.
    OLD_ENTRY = 'old registry entry'
    UNUSABLE_WORKER = 'unusable worker'


@dataclass(frozen=True, slots=True, kw_only=True)
class Difference:
    """
    One difference between the owner's state and what it should agree with.

    *kept* is what the owner acts on, *counted* what was found instead.  *task*
    is the key of a task, of a step or of a job.  *age_ms* tells for how long
    there has been the difference, as far as that is known.
    """

    kind: DifferenceKind
    worker: str = ''
    task: str = ''
    field: str = ''
    kept: int | str = ''
    counted: int | str = ''
    age_ms: int = 0
