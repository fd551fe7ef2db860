"""
Encoding of submitted jobs and of their progress for the store.
"""

import msgspec

from hawthornpier.decoding import decode_json
from hawthornpier.errors import HawthornpierError
from hawthornpier.steps._model import JobPhase, JobPlan
from hawthornpier.steps._outcomes import mark_done
from hawthornpier.steps._state import Job, Step, Suspicion


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
    """
    return msgspec.json.encode(plan)


def decode_plan(content: bytes) -> JobPlan:
    """
    Decode a submitted job.

    Raises:
        RecordError: The content cannot be decoded.
    """
    return decode_json(content, JobPlan, RecordError, subject='stored job')


def encode_progress(job: Job) -> bytes:
    """
    Encode the progress of a job, which the next owner continues from.
    """
    steps: dict[str, StepProgress] = {}
    for occurrence in job.occurrences:
        for step in occurrence.steps:
            progress = _step_progress(step)
            if progress is not None:
                steps[f'{occurrence.number}.{step.number}'] = progress
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


def _step_progress(step: Step) -> StepProgress | None:
    bits = sum(1 << task.index for task in step.tasks if task.is_done)
    tasks = [task for task in step.tasks if not task.is_done]
    progress = StepProgress(
        done=f'{bits:x}' if bits else '',
        failed={
            task.index: tuple(sorted(task.failed_attempts))
            for task in tasks
            if task.failed_attempts
        },
        saved={
            task.index: task.checkpoint for task in tasks if task.checkpoint
        },
        crashes={task.index: task.crashes for task in tasks if task.crashes},
        suspicions={
            task.index: task.suspicions for task in tasks if task.suspicions
        },
    )
    return None if progress == _NO_PROGRESS else progress


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
