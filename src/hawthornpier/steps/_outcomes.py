"""
Effects of ended runs on tasks and jobs.
"""

from hawthornpier.steps._crashes import has_crashed_too_often
from hawthornpier.steps._model import JobPhase, RunOutcome
from hawthornpier.steps._state import Job, Step, Task
from hawthornpier.steps._task_runs import mark_done


def apply_outcome(
    task: Task,
    attempt: int,
    outcome: RunOutcome,
    checkpoint: str,
) -> None:
    """
    Update a task for a run that has ended.

    Args:
        task: The task whose run ended.
        attempt: The attempt number of the run.
        outcome: How the run ended.
        checkpoint: The last checkpoint of the run, or an empty string.
    """
    if checkpoint:
        for member in task.members:
            member.checkpoint = checkpoint
    if outcome is RunOutcome.DONE and not task.step.plan.is_lasting:
        mark_done(task)
    elif outcome is RunOutcome.FAILED and not task.step.plan.is_lasting:
        for failed_member in task.members:
            failed_member.failed_attempts.add(attempt)
            task.step.job.failed_tasks.add(failed_member)


def release_followers(step: Step, now_ms: float) -> None:
    """
    Record that the steps after a completed one may start as far as it goes.
    """
    if not step.is_done:
        return
    for later in step.occurrence.steps:
        if step.number in later.plan.after:
            later.startable_ms = now_ms


def update_end_phase(job: Job, now_ms: float) -> bool:
    """
    Set the final state of a job if it has ended.

    Returns:
        Whether the job ended with this call.
    """
    if job.end_phase is not None or job.is_cancelled:
        return False
    limit = job.plan.queue.max_attempts
    if all(occurrence.is_done for occurrence in job.occurrences):
        job.end_phase = JobPhase.COMPLETED
    elif any(_is_exhausted(task, limit) for task in job.failed_tasks):
        job.end_phase = JobPhase.FAILED
    else:
        return False
    job.ended_ms = now_ms
    return True


def _is_exhausted(task: Task, limit: int) -> bool:
    if task.is_done:
        return False
    if has_crashed_too_often(task):
        return True
    return not task.step.plan.is_lasting and task.failed_count >= limit
