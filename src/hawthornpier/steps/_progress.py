"""
Encoding of submitted jobs and of their progress for the store.
"""

import heapq
import itertools
import zlib
from collections.abc import Sequence
from dataclasses import fields
from functools import singledispatch
from typing import Any

import msgspec

from hawthornpier.decoding import decode_json
from hawthornpier.errors import HawthornpierError
from hawthornpier.steps._model import (
    AdviceTimings,
    JobPhase,
    JobPlan,
    QueuePolicy,
    StepPlan,
)
from hawthornpier.steps._state import Job, Step, Task
from hawthornpier.steps._suspicion import Suspicion
from hawthornpier.steps._task_runs import mark_done

# Plans above this size are stored compressed.
_PLAIN_PLAN_BYTES = 8_192
# Limit of a decompressed plan; submissions are limited to less.
_MAX_PLAN_BYTES = 4_000_000
# With these limits, the progress of one task fits into a row of the store.
# Checkpoints above the limit are not stored.
_MAX_CHECKPOINT_CHARACTERS = 4_000
_MAX_STORED_SUSPICIONS = 5


class RecordError(HawthornpierError):
    """
    A stored job or its progress cannot be decoded.
    """


class StepProgress(msgspec.Struct, omit_defaults=True):
    """
    The progress of one step.

    *done* is a bit set of task indexes in hexadecimal, *failed* maps a task
    index to the numbers of its failed attempts, and *saved* maps a task index
    to its latest checkpoint.  *crashes* maps a task index to the attempts
    during which the worker crashed, and these to the weight of the evidence
    that the task caused it.  *suspicions* maps a task index to the runs
    that may have crashed a worker which did not respond when the progress was
    stored, by worker.
    """

    done: str = ''
    failed: dict[int, tuple[int, ...]] = {}
    saved: dict[int, str] = {}
    crashes: dict[int, dict[int, int]] = {}
    suspicions: dict[int, dict[str, Suspicion]] = {}


class JobProgress(msgspec.Struct, omit_defaults=True):
    """
    The progress of a job; the keys of *steps* are ``OCCURRENCE.STEP``.
    """

    phase: str = ''
    has_started: bool = False
    steps: dict[str, StepProgress] = {}


_NO_PROGRESS = StepProgress()


def encode_plan(plan: JobPlan) -> bytes:
    """
    Encode a submitted job for the store.

    Fields that have their default are left out: each new owner reads all jobs,
    perhaps over a slow network link.
    """
    content = msgspec.json.encode(_sparse(plan))
    if len(content) <= _PLAIN_PLAN_BYTES:
        return content
    return zlib.compress(content)


def decode_plan(content: bytes) -> JobPlan:
    """
    Decode a submitted job.

    Raises:
        RecordError: The content cannot be decoded.
    """
    plain = content if content.startswith(b'{') else _decompress(content)
    return decode_json(plain, JobPlan, RecordError, subject='stored job')


@singledispatch
def _sparse(part: Any) -> Any:
    """
    Return a part of a plan without the fields that have their default.
    """
    return part


@_sparse.register(JobPlan)
@_sparse.register(StepPlan)
@_sparse.register(QueuePolicy)
@_sparse.register(AdviceTimings)
def _sparse_record(
    part: JobPlan | StepPlan | QueuePolicy | AdviceTimings,
) -> dict[str, Any]:
    return {
        field.name: _sparse(getattr(part, field.name))
        for field in fields(part)
        if getattr(part, field.name) != field.default
    }


@_sparse.register(tuple)
def _sparse_items(part: tuple[Any, ...]) -> list[Any]:
    return [_sparse(each) for each in part]


def encode_progress(job: Job) -> bytes:
    """
    Encode the progress of a job, which the next owner continues from.
    """
    return encode_task_progress(job, tuple(job.tasks()), has_phase=True)


def encode_phase(job: Job) -> bytes:
    """
    Encode the state of a job without the progress of its tasks.
    """
    return encode_task_progress(job, (), has_phase=True)


def encode_task_progress(
    job: Job, tasks: Sequence[Task], *, has_phase: bool
) -> bytes:
    """
    Encode the progress of some tasks of a job.

    Args:
        job: The job.
        tasks: The tasks, in the order of `Job.tasks`.
        has_phase: Whether to include the state of the job.
    """
    steps: dict[str, StepProgress] = {}
    for step, members in itertools.groupby(tasks, key=_step_of):
        progress = _step_progress(tuple(members))
        if progress is not None:
            steps[f'{step.occurrence.number}.{step.number}'] = progress
    if not has_phase:
        return msgspec.json.encode(JobProgress(steps=steps))
    phase = '' if job.end_phase is None else job.end_phase.value
    return msgspec.json.encode(
        JobProgress(phase=phase, has_started=job.has_started, steps=steps),
    )


def decode_phase(content: bytes) -> JobPhase:
    """
    Return the state of a job according to its encoded progress.

    Raises:
        RecordError: The content cannot be decoded.
    """
    progress = _decode(content)
    end_phase = _end_phase(progress)
    if end_phase is not None:
        return end_phase
    return JobPhase.RUNNING if progress.has_started else JobPhase.QUEUED


def restore_progress(
    job: Job,
    content: bytes,
    *,
    is_stored: bool = True,
) -> None:
    """
    Merge encoded progress into a job.

    Args:
        job: The job to update.
        content: The encoded progress.
        is_stored: Whether the store contains this progress.

    Raises:
        RecordError: The content cannot be decoded, or names a step that the
            job does not have.
    """
    progress = _decode(content)
    end_phase = _end_phase(progress)
    if end_phase is not None:
        job.end_phase = end_phase
        job.is_stored = is_stored
    job.has_started = job.has_started or progress.has_started
    for name, part in progress.steps.items():
        occurrence, _, number = name.partition('.')
        try:
            step = job.occurrences[int(occurrence)].steps[int(number)]
            done_bits = int(part.done or '0', 16)
        except (IndexError, ValueError) as error:
            raise RecordError(
                f'stored progress names step {name}, which the job lacks, or '
                'its tasks are unreadable',
            ) from error
        _restore_step(step, part, done_bits)


def _decode(content: bytes) -> JobProgress:
    return decode_json(
        content,
        JobProgress,
        RecordError,
        subject='stored progress',
    )


def _end_phase(progress: JobProgress) -> JobPhase | None:
    if not progress.phase:
        return None
    try:
        return JobPhase(progress.phase)
    except ValueError as error:
        raise RecordError(f'stored progress: {error}') from error


def _decompress(content: bytes) -> bytes:
    try:
        return zlib.decompressobj().decompress(content, _MAX_PLAN_BYTES)
    except zlib.error as error:
        raise RecordError(f'unreadable stored job: {error}') from error


def _step_of(task: Task) -> Step:
    return task.step


def _step_progress(members: Sequence[Task]) -> StepProgress | None:
    bits = sum(1 << task.index for task in members if task.is_done)
    tasks = [task for task in members if not task.is_done]
    progress = StepProgress(
        done=f'{bits:x}' if bits else '',
        failed={
            task.index: tuple(sorted(task.failed_attempts))
            for task in tasks
            if task.failed_attempts
        },
        saved={
            task.index: task.checkpoint
            for task in tasks
            if 0 < len(task.checkpoint) <= _MAX_CHECKPOINT_CHARACTERS
        },
        crashes={task.index: task.crashes for task in tasks if task.crashes},
        suspicions={
            task.index: _strongest_suspicions(task)
            for task in tasks
            if task.suspicions
        },
    )
    return None if progress == _NO_PROGRESS else progress


def _strongest_suspicions(task: Task) -> dict[str, Suspicion]:
    suspicions = task.suspicions
    if len(suspicions) <= _MAX_STORED_SUSPICIONS:
        return suspicions
    strongest = heapq.nlargest(
        _MAX_STORED_SUSPICIONS,
        suspicions,
        key=lambda worker_id: suspicions[worker_id].weight,
    )
    return {worker_id: suspicions[worker_id] for worker_id in strongest}


def _restore_step(
    step: Step,
    progress: StepProgress,
    done_bits: int,
) -> None:
    for task in step.tasks:
        if done_bits >> task.index & 1:
            mark_done(task)
        task.failed_attempts.update(progress.failed.get(task.index, ()))
        task.crashes.update(progress.crashes.get(task.index, {}))
        task.suspicions.update(progress.suspicions.get(task.index, {}))
        task.checkpoint = progress.saved.get(task.index, task.checkpoint)
        if task.failed_attempts or task.crashes:
            step.job.failed_tasks.add(task)
