"""
Checkers of planned stops of processes and of the configuration table.
"""

import bisect
import collections
import itertools
import math
from collections.abc import Iterable, Iterator, Sequence
from dataclasses import dataclass

from hawthornpier_standin.history._index import Attempt, History
from hawthornpier_standin.history._records import (
    EXIT_KILLED,
    TABLE_UNCONFIRMED,
    Record,
    RecordKind,
)
from hawthornpier_standin.history._report import (
    Finding,
    Guarantee,
    Violation,
)

_MAX_PROPAGATION_MS = 5_000


def check_planned_stop(history: History) -> Finding:
    """
    Check that a stopping process cuts no connection until it has exited.

    A stop is not planned if the recorder killed the process in the end.  A
    record of a cut connection without a process id counts against every
    process that is stopping.
    """
    stops = [
        (stop, _exit_of(history, stop))
        for stop in history.of_kind(RecordKind.STOP_REQUESTED)
    ]
    planned = [
        (stop, exited)
        for stop, exited in stops
        if exited is None or exited.detail != EXIT_KILLED
    ]
    violations = [
        Violation(
            guarantee=Guarantee.PLANNED_STOP,
            subject=stop.process,
            reason=f'cut the connection of {cut.operation}',
            records=(stop, cut),
        )
        for stop, exited in planned
        for cut in _cuts(history, stop, exited)
    ]
    return Finding(
        guarantee=Guarantee.PLANNED_STOP,
        checked_count=len(planned),
        violations=tuple(violations),
    )


def _exit_of(history: History, stop: Record) -> Record | None:
    return next(
        (
            exited
            for exited in history.of_kind(RecordKind.PROCESS_EXITED)
            if exited.process == stop.process and exited.at_ms >= stop.at_ms
        ),
        None,
    )


def _cuts(
    history: History,
    stop: Record,
    exited: Record | None,
) -> Iterator[Record]:
    exit_ms = exited.at_ms if exited else math.inf
    # The caller may detect that its connection was cut only after the exit was
    # recorded, so the cut connection is attributed to the process if the
    # request was sent before the exit.
    invoked_ms_by_cut = {
        attempt.cut: attempt.invoked.at_ms
        for attempt in history.attempts
        if attempt.cut is not None
    }
    for cut in history.of_kind(RecordKind.CONNECTION_CUT):
        may_be_own = cut.process_id in {'', stop.process}
        sent_ms = min(cut.at_ms, invoked_ms_by_cut.get(cut, math.inf))
        if may_be_own and cut.at_ms >= stop.at_ms and sent_ms <= exit_ms:
            yield cut


@dataclass(frozen=True, slots=True, kw_only=True)
class _Edit:
    accepted: Record
    invoked: Record | None


@dataclass(frozen=True, slots=True, kw_only=True)
class _Incarnation:
    """
    One incarnation of a process and the table versions that it reported.
    """

    process: str
    seen: Sequence[Record]
    exit_ms: float


def check_table(history: History) -> Finding:
    """
    Check that accepted edits are ordered and in force within 5 s.
    """
    edits = _edits(history)
    incarnations = _incarnations(history)
    return Finding(
        guarantee=Guarantee.TABLE,
        checked_count=len(edits),
        violations=(
            *_version_decreases(incarnations),
            *_order_violations(edits),
            *_unfounded_conflicts(history, edits),
            *_late_edits(history, edits, incarnations),
            *_unconfirmed_admissions(history, edits, incarnations),
        ),
    )


def _table_violation(
    subject: str,
    reason: str,
    *records: Record | None,
) -> Violation:
    return Violation(
        guarantee=Guarantee.TABLE,
        subject=subject,
        reason=reason,
        records=tuple(record for record in records if record is not None),
    )


def _edits(history: History) -> list[_Edit]:
    invoked = {
        record.operation: record
        for record in history.of_kind(RecordKind.TABLE_EDIT_INVOKED)
    }
    return [
        _Edit(accepted=record, invoked=invoked.get(record.operation))
        for record in history.of_kind(RecordKind.TABLE_EDIT_ACCEPTED)
    ]


def _incarnations(history: History) -> list[_Incarnation]:
    exits: dict[str, list[float]] = collections.defaultdict(list)
    for exited in history.of_kind(RecordKind.PROCESS_EXITED):
        exits[exited.process].append(exited.at_ms)
    seen: dict[tuple[str, float], list[Record]] = collections.defaultdict(list)
    for record in history.of_kind(RecordKind.TABLE_VERSION_SEEN):
        exit_ms = next(
            (at_ms for at_ms in exits[record.process] if at_ms >= record.at_ms),
            math.inf,
        )
        seen[record.process, exit_ms].append(record)
    return [
        _Incarnation(process=process, seen=records, exit_ms=exit_ms)
        for (process, exit_ms), records in seen.items()
    ]


def _version_decreases(
    incarnations: Sequence[_Incarnation],
) -> Iterator[Violation]:
    for incarnation in incarnations:
        for before, after in itertools.pairwise(incarnation.seen):
            if after.version < before.version:
                reason = (
                    f'version fell from {before.version} to {after.version}'
                )
                yield _table_violation(
                    incarnation.process, reason, before, after
                )


def _order_violations(edits: Sequence[_Edit]) -> Iterator[Violation]:
    for first, second in itertools.combinations(edits, 2):
        reason = _order_fault(first, second) or _order_fault(second, first)
        if reason:
            yield _table_violation(
                second.accepted.operation,
                reason,
                first.accepted,
                second.accepted,
            )
    for edit in edits:
        if edit.invoked is None:
            reason = 'the edit was accepted without an invocation'
            yield _table_violation(
                edit.accepted.operation,
                reason,
                edit.accepted,
            )
        elif edit.accepted.version <= edit.invoked.version:
            reason = 'the new version is not above the one the operator saw'
            yield _table_violation(
                edit.accepted.operation,
                reason,
                edit.invoked,
                edit.accepted,
            )


def _order_fault(first: _Edit, second: _Edit) -> str:
    """
    Return why *second* cannot follow *first*, or an empty string if it can.
    """
    if first.accepted.version == second.accepted.version:
        return f'version {second.accepted.version} was accepted twice'
    invoked = second.invoked
    if invoked is None:
        return ''
    if (
        first.accepted.at_ms < invoked.at_ms
        and first.accepted.version > second.accepted.version
    ):
        return 'the edit was invoked after a higher version had been accepted'
    # An edit is a compare-and-set, so no version lies between the one that the
    # operator saw and the one that the edit created.
    seen = invoked.version
    if seen < first.accepted.version < second.accepted.version:
        return (
            f'the edit overwrote version {first.accepted.version}, '
            'which the operator had not seen'
        )
    return ''


def _unfounded_conflicts(
    history: History,
    edits: Sequence[_Edit],
) -> Iterator[Violation]:
    accepted = {edit.accepted.operation: edit.accepted for edit in edits}
    conflicts = {
        record.operation: record
        for record in history.of_kind(RecordKind.TABLE_EDIT_CONFLICT)
    }
    invoked = history.of_kind(RecordKind.TABLE_EDIT_INVOKED)
    for own_edit in invoked:
        conflict = conflicts.get(own_edit.operation)
        if conflict is None:
            continue
        # An edit without a recorded outcome may have been applied.
        competing_edits = (
            other
            for other in invoked
            if other.operation != own_edit.operation
            and other.operation not in conflicts
            and other.at_ms <= conflict.at_ms
        )
        if not any(
            other.operation not in accepted
            or accepted[other.operation].version > own_edit.version
            for other in competing_edits
        ):
            reason = 'the edit was refused without a competing edit'
            yield _table_violation(
                own_edit.operation, reason, own_edit, conflict
            )


def _late_edits(
    history: History,
    edits: Sequence[_Edit],
    incarnations: Sequence[_Incarnation],
) -> Iterator[Violation]:
    for edit in edits:
        deadline_ms = edit.accepted.at_ms + _MAX_PROPAGATION_MS
        if deadline_ms > history.end_ms:
            continue
        for incarnation in incarnations:
            for record in _outdated_records(incarnation, edit, deadline_ms):
                reason = (
                    f'{incarnation.process} still has version {record.version}'
                )
                yield _table_violation(
                    edit.accepted.operation,
                    reason,
                    edit.accepted,
                    record,
                )


def _outdated_records(
    incarnation: _Incarnation,
    edit: _Edit,
    deadline_ms: float,
) -> Iterator[Record]:
    """
    Yield records that show a version older than *edit* from the deadline on.

    A process that reports its version as unconfirmed admits nothing, so the
    older version is not in force there.
    """
    split = bisect.bisect_right(
        incarnation.seen,
        deadline_ms,
        key=lambda record: record.at_ms,
    )
    # The last record before the deadline shows the version at the deadline,
    # unless the process had exited by then.
    first = split - 1 if incarnation.exit_ms > deadline_ms else split
    for record in incarnation.seen[max(0, first) :]:
        is_unconfirmed = record.detail == TABLE_UNCONFIRMED
        if record.version < edit.accepted.version and not is_unconfirmed:
            yield record


def _unconfirmed_admissions(
    history: History,
    edits: Sequence[_Edit],
    incarnations: Sequence[_Incarnation],
) -> Iterator[Violation]:
    """
    Yield violations by processes that admitted requests while unconfirmed.

    A process whose version is outdated and unconfirmed must admit nothing.
    What it serves between two reports of an older version, it serves under
    that version.
    """
    answered = _answered_by_process(history)
    for incarnation in incarnations:
        served = answered[incarnation.process]
        for before, after in itertools.pairwise(incarnation.seen):
            if not _is_admission_forbidden(edits, before, after):
                continue
            for invoked in _served_between(served, before, after):
                reason = f'{incarnation.process} answered while unconfirmed'
                yield _table_violation(
                    incarnation.process, reason, before, invoked
                )


def _answered_by_process(history: History) -> dict[str, list[Attempt]]:
    answered: dict[str, list[Attempt]] = collections.defaultdict(list)
    for attempt in history.attempts:
        for outcome in attempt.outcomes:
            if outcome.kind is RecordKind.REQUEST_ANSWERED:
                answered[outcome.process_id].append(attempt)
    return answered


def _served_between(
    attempts: Iterable[Attempt],
    before: Record,
    after: Record,
) -> Iterator[Record]:
    for attempt in attempts:
        answered_ms = attempt.outcomes[0].at_ms
        if before.at_ms < attempt.invoked.at_ms and answered_ms < after.at_ms:
            yield attempt.invoked


def _is_admission_forbidden(
    edits: Sequence[_Edit],
    before: Record,
    after: Record,
) -> bool:
    """
    Return whether the process must admit nothing between two reports.

    That is so if both are unconfirmed and lack an edit that is due.
    """
    if {before.detail, after.detail} != {TABLE_UNCONFIRMED}:
        return False
    return any(
        edit.accepted.version > after.version
        and edit.accepted.at_ms + _MAX_PROPAGATION_MS <= before.at_ms
        for edit in edits
    )
