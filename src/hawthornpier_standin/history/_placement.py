"""
Checkers of capacity, single placement, resumption and leaving endpoints.
"""

import collections
import enum
import itertools
from collections.abc import Iterable, Iterator, Sequence
from dataclasses import dataclass

from hawthornpier.messages import Resources, TaskResult
from hawthornpier_standin.history._index import History, Span
from hawthornpier_standin.history._records import (
    WORKER_DEAD,
    Record,
    RecordKind,
)
from hawthornpier_standin.history._report import (
    Finding,
    Guarantee,
    Violation,
)

_LEAVING_GRACE_MS = 3_000

# A run that ended with one of these results may be repeated from the same
# checkpoint.
_REPEATABLE_RESULTS = frozenset(
    (
        TaskResult.FAILED,
        TaskResult.LEASE_LAPSED,
        WORKER_DEAD,
    )
)


class _ChangeKind(enum.IntEnum):
    # Recorders truncate the times of one shared clock, so different times can
    # be recorded as equal but never in the wrong order.  An end and a start at
    # the same recorded time prove no overlap, so releases are applied first.
    RELEASE = 0
    DECLARE = 1
    ACQUIRE = 2


@dataclass(frozen=True, slots=True, kw_only=True)
class _Checkpoint:
    taken: Record
    is_eviction: bool
    run: Span | None


def check_capacity(history: History) -> Finding:
    """
    Check that the work on a worker never exceeds its declared capacity.
    """
    changes: dict[str, list[tuple[float, _ChangeKind, Record]]] = (
        collections.defaultdict(list)
    )
    for declared in history.of_kind(RecordKind.CAPACITY_DECLARED):
        change = (declared.at_ms, _ChangeKind.DECLARE, declared)
        changes[declared.worker_id].append(change)
    spans = [*history.runs, *history.executions]
    for span in spans:
        # Work with a recorded duration of zero is not proven to overlap with
        # any other work.
        if span.end_ms > span.start_ms:
            changes[span.worker_id].extend(
                (
                    (span.start_ms, _ChangeKind.ACQUIRE, span.started),
                    (span.end_ms, _ChangeKind.RELEASE, span.started),
                )
            )
    violations = [
        violation
        for worker_id, worker_changes in changes.items()
        for violation in _overloads(worker_id, worker_changes)
    ]
    return Finding(
        guarantee=Guarantee.CAPACITY,
        checked_count=len(spans),
        violations=tuple(violations),
    )


def _overloads(
    worker_id: str,
    changes: list[tuple[float, _ChangeKind, Record]],
) -> Iterator[Violation]:
    capacity = Resources()
    used = Resources()
    for _at_ms, change, record in sorted(changes, key=lambda entry: entry[:2]):
        if change is _ChangeKind.DECLARE:
            capacity = record.demand
        elif change is _ChangeKind.RELEASE:
            used -= record.demand
        else:
            used += record.demand
            if not used.fits_in(capacity):
                yield Violation(
                    guarantee=Guarantee.CAPACITY,
                    subject=worker_id,
                    reason=f'work uses {used}, capacity is {capacity}',
                    records=(record,),
                )


def check_single_placement(history: History) -> Finding:
    """
    Check that no two runs of a task overlap and no run id is used twice.
    """
    violations = [
        Violation(
            guarantee=Guarantee.SINGLE_PLACEMENT,
            subject=task_id,
            reason=f'runs on {first.worker_id} and {second.worker_id} overlap',
            records=(first.started, second.started),
        )
        for task_id, runs in _runs_by_task(history).items()
        for first, second in _overlaps(runs)
    ]
    by_run: dict[str, list[Record]] = collections.defaultdict(list)
    for run in history.runs:
        by_run[run.started.run_id].append(run.started)
    violations.extend(
        Violation(
            guarantee=Guarantee.SINGLE_PLACEMENT,
            subject=run_id,
            reason='the run id was started more than once',
            records=tuple(starts),
        )
        for run_id, starts in by_run.items()
        if len(starts) > 1
    )
    return Finding(
        guarantee=Guarantee.SINGLE_PLACEMENT,
        checked_count=len(history.runs),
        violations=tuple(violations),
    )


def _runs_by_task(history: History) -> dict[str, list[Span]]:
    by_task: dict[str, list[Span]] = collections.defaultdict(list)
    for run in history.runs:
        by_task[run.started.task_id].append(run)
    return by_task


def _overlaps(runs: Sequence[Span]) -> Iterator[tuple[Span, Span]]:
    latest = runs[0]
    for run in runs[1:]:
        if run.start_ms < latest.end_ms:
            yield latest, run
        latest = max(latest, run, key=lambda span: span.end_ms)


def check_resume_once(history: History) -> Finding:
    """
    Check that evicted tasks resume once, from the latest checkpoint.
    """
    checkpoints = _checkpoints_by_task(history)
    violations = [
        violation
        for task_id, runs in _runs_by_task(history).items()
        for violation in (
            *_wrong_resumptions(history, runs, checkpoints[task_id]),
            *_repeated_resumptions(history, runs, checkpoints[task_id]),
        )
    ]
    return Finding(
        guarantee=Guarantee.RESUME_ONCE,
        checked_count=sum(
            checkpoint.is_eviction
            for task_checkpoints in checkpoints.values()
            for checkpoint in task_checkpoints
        ),
        violations=tuple(violations),
    )


def _checkpoints_by_task(history: History) -> dict[str, list[_Checkpoint]]:
    runs = {run.started.run_id: run for run in history.runs}
    taken = [
        *history.of_kind(RecordKind.RUN_CHECKPOINTED),
        *history.of_kind(RecordKind.RUN_ENDED),
    ]
    by_task: dict[str, list[_Checkpoint]] = collections.defaultdict(list)
    for record in sorted(taken, key=lambda candidate: candidate.at_ms):
        if not record.checkpoint:
            continue
        checkpoint = _Checkpoint(
            taken=record,
            is_eviction=record.detail == TaskResult.EVICTED,
            run=runs.get(record.run_id),
        )
        by_task[record.task_id].append(checkpoint)
    return by_task


def _wrong_resumptions(
    history: History,
    runs: Iterable[Span],
    checkpoints: Sequence[_Checkpoint],
) -> Iterator[Violation]:
    resumed_names: set[str] = set()
    for run in runs:
        origin = run.started.checkpoint
        earlier = [
            checkpoint
            for checkpoint in checkpoints
            if checkpoint.taken.at_ms <= run.start_ms
            and checkpoint.taken.run_id != run.started.run_id
        ]
        allowed = _allowed_names(history, earlier, resumed_names, run.start_ms)
        if origin not in allowed:
            wanted = ' or '.join(repr(name) for name in sorted(allowed))
            yield Violation(
                guarantee=Guarantee.RESUME_ONCE,
                subject=run.started.task_id,
                reason=f'resumed from {origin!r}, expected {wanted}',
                records=(run.started,),
            )
        resumed_names.add(origin)


def _allowed_names(
    history: History,
    earlier: Sequence[_Checkpoint],
    resumed_names: set[str],
    start_ms: float,
) -> set[str]:
    allowed: set[str] = set()
    for checkpoint in reversed(earlier):
        name = checkpoint.taken.checkpoint
        allowed.add(name)
        if name in resumed_names or not _may_be_unreported(
            history, checkpoint, start_ms
        ):
            return allowed
    return allowed | {''}


def _may_be_unreported(
    history: History,
    checkpoint: _Checkpoint,
    start_ms: float,
) -> bool:
    # A worker reports a checkpoint in its next reply to the scheduler.  If the
    # worker exits before, or is unreachable until the lease of the run expires,
    # the checkpoint is unknown to the scheduler, which may use an older one.
    taken = checkpoint.taken
    if history.exit_after(taken.worker_id, taken.at_ms) <= start_ms:
        return True
    run = checkpoint.run
    return run is not None and run.result == TaskResult.LEASE_LAPSED


def _repeated_resumptions(
    history: History,
    runs: Sequence[Span],
    checkpoints: Iterable[_Checkpoint],
) -> Iterator[Violation]:
    for checkpoint in checkpoints:
        if not checkpoint.is_eviction:
            continue
        resumed = [
            run
            for run in runs
            if run.started.checkpoint == checkpoint.taken.checkpoint
            and run.start_ms >= checkpoint.taken.at_ms
        ]
        for first, second in itertools.pairwise(resumed):
            if not _is_repeatable(history, first, second.start_ms):
                yield Violation(
                    guarantee=Guarantee.RESUME_ONCE,
                    subject=first.started.task_id,
                    reason=f'resumed twice from {first.started.checkpoint!r}',
                    records=(first.started, second.started),
                )


def _is_repeatable(history: History, run: Span, before_ms: float) -> bool:
    # The progress of a run that failed or was lost with its worker is gone, so
    # a second run from the same checkpoint is correct recovery.
    if run.end_ms > before_ms:
        return False
    if run.ended is None or run.result in _REPEATABLE_RESULTS:
        return True
    # A run that is evicted without progress may keep its initial checkpoint.
    kept = ('', run.started.checkpoint)
    if run.result == TaskResult.EVICTED and run.ended.checkpoint in kept:
        return True
    return history.exit_after(run.worker_id, run.end_ms) <= before_ms


def check_leaving_endpoint(history: History) -> Finding:
    """
    Check that no work starts over 3 s after an endpoint began to leave.
    """
    leavings = history.of_kind(RecordKind.ENDPOINT_LEAVING)
    violations = [
        Violation(
            guarantee=Guarantee.LEAVING_ENDPOINT,
            subject=leaving.worker_id,
            reason=f'work started {late.start_ms - leaving.at_ms:.0f} ms later',
            records=(leaving, late.started),
        )
        for leaving in leavings
        for late in _late_starts(history, leaving)
    ]
    return Finding(
        guarantee=Guarantee.LEAVING_ENDPOINT,
        checked_count=len(leavings),
        violations=tuple(violations),
    )


def _late_starts(history: History, leaving: Record) -> Iterator[Span]:
    # A worker that restarts under the same id is no longer leaving.
    exit_ms = history.exit_after(leaving.worker_id, leaving.at_ms)
    deadline_ms = leaving.at_ms + _LEAVING_GRACE_MS
    for span in itertools.chain(history.runs, history.executions):
        if span.worker_id != leaving.worker_id:
            continue
        if deadline_ms < span.start_ms <= exit_ms:
            yield span
