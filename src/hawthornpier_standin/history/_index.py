"""
An index of the records: spans of work on workers and attempts of callers.
"""

import bisect
import collections
import functools
import math
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass, field

from hawthornpier.messages import Resources
from hawthornpier_standin.history._records import (
    WORKER_DEAD,
    Record,
    RecordKind,
)

_OUTCOMES = frozenset(
    (
        RecordKind.REQUEST_ANSWERED,
        RecordKind.REQUEST_NOT_RUN,
        RecordKind.REQUEST_UNKNOWN,
    )
)


@dataclass(frozen=True, slots=True, kw_only=True)
class Span:
    """
    One run of a task or execution of a request on a worker.

    *end_ms* is the recorded end, or else the worker's exit, or else infinity.
    """

    started: Record
    ended: Record | None
    end_ms: float

    @property
    def start_ms(self) -> float:
        """
        The time at which the work started.
        """
        return self.started.at_ms

    @property
    def worker_id(self) -> str:
        """
        The worker that ran the work.
        """
        return self.started.worker_id

    @property
    def demand(self) -> Resources:
        """
        The resources that the work used.
        """
        return self.started.demand

    @property
    def result(self) -> str:
        """
        The recorded result, or an empty string if there is none.
        """
        return self.ended.detail if self.ended else ''


@dataclass(slots=True, kw_only=True)
class Attempt:
    """
    One invocation of an operation and the outcomes that the caller received.

    *cut* is the record of a cut connection, if the caller had received no
    outcome by then.
    """

    invoked: Record
    outcomes: list[Record] = field(default_factory=list)
    cut: Record | None = None

    @property
    def is_not_run(self) -> bool:
        """
        Whether the caller received the outcome "not run" for this attempt.
        """
        return any(
            outcome.kind is RecordKind.REQUEST_NOT_RUN
            for outcome in self.outcomes
        )


class History:
    """
    An index of a complete history, ordered by time.

    Records with the same time keep the order in which they are passed, since
    a recorder writes events in their true order even if they are closer
    together than the resolution of its clock.
    """

    def __init__(self, records: Iterable[Record]) -> None:
        self.records: Sequence[Record] = sorted(
            records,
            key=lambda record: record.at_ms,
        )
        self._by_kind: dict[RecordKind, list[Record]] = collections.defaultdict(
            list
        )
        for record in self.records:
            self._by_kind[record.kind].append(record)

    @property
    def end_ms(self) -> float:
        """
        The time of the last record.
        """
        return self.records[-1].at_ms if self.records else 0

    def of_kind(self, kind: RecordKind) -> Sequence[Record]:
        """
        Return the records of one kind, ordered by time.
        """
        return self._by_kind.get(kind, [])

    def exit_after(self, worker_id: str, at_ms: float) -> float:
        """
        Return the time of the worker's first exit at or after *at_ms*.

        The result is infinity if the worker did not exit.
        """
        exits = self._worker_exits.get(worker_id, [])
        index = bisect.bisect_left(exits, at_ms)
        return exits[index] if index < len(exits) else math.inf

    @functools.cached_property
    def runs(self) -> Sequence[Span]:
        """
        The runs of tasks, ordered by start.
        """
        return self._spans(
            RecordKind.RUN_STARTED,
            RecordKind.RUN_ENDED,
            lambda record: (record.worker_id, record.run_id, ''),
        )

    @functools.cached_property
    def executions(self) -> Sequence[Span]:
        """
        The executions of requests, ordered by start.
        """
        return self._spans(
            RecordKind.EXECUTION_STARTED,
            RecordKind.EXECUTION_ENDED,
            lambda record: (record.worker_id, record.run_id, record.operation),
        )

    @functools.cached_property
    def attempts(self) -> Sequence[Attempt]:
        """
        The attempts of callers, ordered by invocation.
        """
        return self._matched[0]

    @functools.cached_property
    def unmatched_outcomes(self) -> Sequence[Record]:
        """
        The outcomes in excess of the attempts of their operation.
        """
        return self._matched[1]

    @functools.cached_property
    def _worker_exits(self) -> dict[str, list[float]]:
        exits: dict[str, list[float]] = collections.defaultdict(list)
        running_worker_ids: set[str] = set()
        for record in self.records:
            is_declared = record.kind is RecordKind.CAPACITY_DECLARED
            # A worker that declares its capacity again has restarted, even if
            # its exit was not recorded.
            is_restart = is_declared and record.worker_id in running_worker_ids
            is_exit = record.kind is RecordKind.PROCESS_EXITED
            if is_restart or is_exit or record.detail == WORKER_DEAD:
                exits[record.worker_id].append(record.at_ms)
                running_worker_ids.discard(record.worker_id)
            if is_declared:
                running_worker_ids.add(record.worker_id)
        return exits

    @functools.cached_property
    def _matched(self) -> tuple[list[Attempt], list[Record]]:
        attempts: list[Attempt] = []
        unmatched: list[Record] = []
        by_caller: dict[tuple[str, str], list[Attempt]] = (
            collections.defaultdict(list)
        )
        for record in self.records:
            own_attempts = by_caller[record.source, record.operation]
            if record.kind is RecordKind.REQUEST_INVOKED:
                own_attempts.append(Attempt(invoked=record))
                attempts.append(own_attempts[-1])
            elif record.kind is RecordKind.CONNECTION_CUT:
                _assign_cut(own_attempts, record)
            elif record.kind in _OUTCOMES and not _assign_outcome(
                own_attempts, record
            ):
                unmatched.append(record)
        return attempts, unmatched

    def _spans(
        self,
        start_kind: RecordKind,
        end_kind: RecordKind,
        key: Callable[[Record], tuple[str, str, str]],
    ) -> list[Span]:
        ends: dict[tuple[str, str, str], collections.deque[Record]] = (
            collections.defaultdict(collections.deque)
        )
        for end in self.of_kind(end_kind):
            ends[key(end)].append(end)
        return [
            self._span(start, ends[key(start)])
            for start in self.of_kind(start_kind)
        ]

    def _span(self, start: Record, ends: collections.deque[Record]) -> Span:
        # An end before the start belongs to a span whose start is not recorded.
        while ends and ends[0].at_ms < start.at_ms:
            ends.popleft()
        exit_ms = self.exit_after(start.worker_id, start.at_ms)
        if ends and ends[0].at_ms <= exit_ms:
            end = ends.popleft()
            return Span(started=start, ended=end, end_ms=end.at_ms)
        return Span(started=start, ended=None, end_ms=exit_ms)


def _assign_cut(attempts: Sequence[Attempt], record: Record) -> None:
    for attempt in attempts:
        if not attempt.outcomes and attempt.cut is None:
            attempt.cut = record
            return


def _assign_outcome(attempts: Sequence[Attempt], record: Record) -> bool:
    # A caller may retry an operation after its connection was cut, so an
    # outcome is preferably assigned to an attempt whose connection was not.
    undecided = [attempt for attempt in attempts if not attempt.outcomes]
    undecided.sort(key=lambda attempt: attempt.cut is not None)
    for attempt in undecided[:1]:
        attempt.outcomes.append(record)
    return bool(undecided)
