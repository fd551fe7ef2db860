"""
The checker that no request and no task is lost.
"""

from collections.abc import Iterator

from hawthornpier.messages import TaskResult, TaskState
from hawthornpier_standin.history._index import History
from hawthornpier_standin.history._records import Record, RecordKind
from hawthornpier_standin.history._report import (
    Finding,
    Guarantee,
    Violation,
)

_FINAL_STATES = frozenset(
    (
        TaskState.DONE,
        TaskState.FAILED,
        TaskState.CANCELLED,
        TaskState.UNKNOWN,
    )
)


def check_nothing_lost(history: History) -> Finding:
    """
    Check that each attempt has one outcome and each accepted task ends.

    The history must be complete, that is recorded until the last outcome.
    """
    jobs = history.of_kind(RecordKind.JOB_ACCEPTED)
    return Finding(
        guarantee=Guarantee.NOTHING_LOST,
        checked_count=len(history.attempts) + len(jobs),
        violations=(
            *_outcome_violations(history),
            *_task_violations(history),
            *_settlement_violations(history),
        ),
    )


def _violation(subject: str, reason: str, *records: Record) -> Violation:
    return Violation(
        guarantee=Guarantee.NOTHING_LOST,
        subject=subject,
        reason=reason,
        records=records,
    )


def _outcome_violations(history: History) -> Iterator[Violation]:
    for attempt in history.attempts:
        # If the entry process died, the caller has recorded only that its
        # connection was cut.
        if not attempt.outcomes and attempt.cut is None:
            invoked = attempt.invoked
            yield _violation(
                invoked.operation, 'the attempt has no outcome', invoked
            )
    for unmatched in history.unmatched_outcomes:
        reason = 'the operation has more outcomes than attempts'
        yield _violation(unmatched.operation, reason, unmatched)


def _task_violations(history: History) -> Iterator[Violation]:
    cancelled = {
        record.operation for record in history.of_kind(RecordKind.JOB_CANCELLED)
    }
    settled = {
        record.task_id
        for record in history.of_kind(RecordKind.TASK_SETTLED)
        if record.detail in _FINAL_STATES
    }
    ended = _done_tasks(history) | settled
    for job in history.of_kind(RecordKind.JOB_ACCEPTED):
        if not job.task_ids:
            yield _violation(
                job.operation, 'the job was accepted without tasks', job
            )
        if job.operation in cancelled:
            continue
        for task_id in job.task_ids:
            if task_id not in ended:
                yield _violation(task_id, 'the task did not end', job)


def _settlement_violations(history: History) -> Iterator[Violation]:
    done = _done_tasks(history)
    for record in history.of_kind(RecordKind.TASK_SETTLED):
        if record.detail == TaskState.DONE and record.task_id not in done:
            reason = 'the task was reported done, but no run of it completed'
            yield _violation(record.task_id, reason, record)


def _done_tasks(history: History) -> set[str]:
    return {
        record.task_id
        for record in history.of_kind(RecordKind.RUN_ENDED)
        if record.detail == TaskResult.DONE
    }
