"""
Checkers of the outcomes that callers receive.
"""

import collections
import itertools
import re
from collections.abc import Iterable, Iterator, Sequence

import msgspec

from hawthornpier_standin.history._index import Attempt, History
from hawthornpier_standin.history._records import Record, RecordKind
from hawthornpier_standin.history._report import (
    Finding,
    Guarantee,
    Violation,
)


class _SharedAnswers:
    """
    An index of the operations that share an idempotency key, and so an answer.
    """

    def __init__(self, history: History) -> None:
        self._key_of: dict[str, str] = {}
        self._by_key: dict[str, set[str]] = collections.defaultdict(set)
        for record in history.of_kind(RecordKind.REQUEST_INVOKED):
            key = record.idempotency_key
            if key:
                self._key_of[record.operation] = key
                self._by_key[key].add(record.operation)

    def sharing_with(self, operation: str) -> set[str]:
        """
        Return the operations whose answer *operation* may receive.
        """
        key = self._key_of.get(operation, '')
        return {operation, *self._by_key.get(key, ())}


class _EchoBody(msgspec.Struct):
    """
    The body of an answer, which echoes the body of the request.
    """

    echo: str


class _AnswerChecker:
    """
    Checks answers against the requests sent and executed.
    """

    def __init__(self, history: History) -> None:
        self._started_ms: dict[str, float] = {}
        for execution in history.executions:
            operation = execution.started.operation
            self._started_ms.setdefault(operation, execution.start_ms)
        self._sent_bodies = {
            record.operation: record.content
            for record in history.of_kind(RecordKind.REQUEST_INVOKED)
        }

    def fault(self, answer: Record, names: Iterable[str]) -> str:
        """
        Return what is wrong with *answer*, or an empty string.

        Args:
            answer: The record of the answer.
            names: Ids of the operations that the answer may belong to.
        """
        started_ms = [
            self._started_ms[name] for name in names if name in self._started_ms
        ]
        if not started_ms or min(started_ms) > answer.at_ms:
            return 'the request was answered before or without an execution'
        try:
            body = msgspec.json.decode(answer.content, type=_EchoBody)
        except msgspec.MsgspecError:
            return f'incomplete body {answer.content[:80]!r}'
        is_own = any(
            self._sent_bodies.get(name) == body.echo
            and _contains_id(body.echo, name)
            for name in names
        )
        return '' if is_own else f'foreign body {answer.content[:80]!r}'


def check_own_answer(history: History) -> Finding:
    """
    Check that each attempt gets at most one answer, complete and its own.
    """
    operations = _SharedAnswers(history)
    answer_checker = _AnswerChecker(history)
    answers = history.of_kind(RecordKind.REQUEST_ANSWERED)
    faults = [
        (unmatched, 'the operation has more answers than attempts')
        for unmatched in history.unmatched_outcomes
        if unmatched.kind is RecordKind.REQUEST_ANSWERED
    ]
    for answer in answers:
        fault = answer_checker.fault(
            answer, operations.sharing_with(answer.operation)
        )
        if fault:
            faults.append((answer, fault))
    return Finding(
        guarantee=Guarantee.OWN_ANSWER,
        checked_count=len(answers),
        violations=tuple(
            Violation(
                guarantee=Guarantee.OWN_ANSWER,
                subject=record.operation,
                reason=reason,
                records=(record,),
            )
            for record, reason in faults
        ),
    )


def _contains_id(content: str, operation: str) -> bool:
    # The id of operation 12 does not match operation 1.
    pattern = rf'(?<![\w.-]){re.escape(operation)}(?![\w.-])'
    return re.search(pattern, content) is not None


def check_not_run(history: History) -> Finding:
    """
    Check that no attempt with the outcome "not run" was executed.

    An operation may be retried after "not run".  Its executions then belong
    to the later attempts and must not start before those.
    """
    attempts: dict[str, list[Attempt]] = collections.defaultdict(list)
    for attempt in history.attempts:
        attempts[attempt.invoked.operation].append(attempt)
    violations = [
        violation
        for execution in history.executions
        for violation in _unjustified_execution(
            execution.started,
            attempts.get(execution.started.operation, []),
        )
    ]
    return Finding(
        guarantee=Guarantee.NOT_RUN,
        checked_count=len(history.of_kind(RecordKind.REQUEST_NOT_RUN)),
        violations=tuple(violations),
    )


def _unjustified_execution(
    started: Record,
    attempts: Sequence[Attempt],
) -> Iterator[Violation]:
    if any(
        not attempt.is_not_run and attempt.invoked.at_ms <= started.at_ms
        for attempt in attempts
    ):
        return
    refusals = [
        outcome
        for attempt in attempts
        if attempt.is_not_run
        for outcome in attempt.outcomes
    ]
    reason = 'was executed although the caller received the outcome "not run"'
    yield Violation(
        guarantee=Guarantee.NOT_RUN,
        subject=started.operation,
        reason=reason if refusals else 'was executed before any invocation',
        records=(started, *refusals),
    )


def check_at_most_once(history: History) -> Finding:
    """
    Check that keyed requests and non-idempotent tasks run at most once.

    A task may run again from a checkpoint, but only once from each.
    """
    executions: dict[str, list[Record]] = collections.defaultdict(list)
    for execution in history.executions:
        if execution.started.idempotency_key:
            key = execution.started.idempotency_key
            executions[key].append(execution.started)
    non_idempotent = {
        task_id
        for job in history.of_kind(RecordKind.JOB_ACCEPTED)
        if not job.is_idempotent
        for task_id in job.task_ids
    }
    runs: dict[str, list[Record]] = collections.defaultdict(list)
    for run in history.runs:
        if run.started.task_id in non_idempotent:
            origin = f'{run.started.task_id} from {run.started.checkpoint!r}'
            runs[origin].append(run.started)
    violations = [
        Violation(
            guarantee=Guarantee.AT_MOST_ONCE,
            subject=subject,
            reason=f'started {len(starts)} times',
            records=tuple(starts),
        )
        for subject, starts in itertools.chain(
            executions.items(),
            runs.items(),
        )
        if len(starts) > 1
    ]
    return Finding(
        guarantee=Guarantee.AT_MOST_ONCE,
        checked_count=len(executions) + len(runs),
        violations=tuple(violations),
    )
