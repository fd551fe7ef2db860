"""
Regular comparison of the owner's state with what it should agree with.

It only logs.  The lines tell apart why a long-running task may have no run for
long; docs/OPERATIONS.md has the table.
"""

import collections
import dataclasses
from collections.abc import Iterator

from hawthornpier.fleet._denied_starts import DeniedStarts
from hawthornpier.fleet._difference import Difference, DifferenceKind
from hawthornpier.fleet._ledger_differences import (
    DifferenceBatch,
    walk_differences,
)
from hawthornpier.fleet._listed_room import rooms_by_service
from hawthornpier.fleet._observation_pace import ObservationPace
from hawthornpier.fleet._shard import Shard
from hawthornpier.fleet._unusable_workers import UnusableWorkers

# The time from the end of an audit to the beginning of the next one.
_AUDIT_PAUSE_MS = 10_000.0
# Runs and tasks that one pass compares before it leaves the rest to the next.
_BATCH_SIZE = 700
# Differences that have a line of their own in one audit at most, and those that
# the line about all of them describes.
_LINE_COUNT = 10
_EXAMPLE_COUNT = 5

# Identifies the same difference in two audits.
_DifferenceKey = tuple[DifferenceKind, str, str]


class LedgerAudit:
    """
    Logs the differences in the state of a shard, some of it in each pass.

    Args:
        shard: The state of the shard.
    """

    def __init__(self, shard: Shard) -> None:
        self._shard = shard
        self._batches: Iterator[DifferenceBatch] | None = None
        self._due_ms = shard.now_ms + _AUDIT_PAUSE_MS
        self._found: list[Difference] = []
        self._pass_count = 0
        # The first part of an audit is due when the audit is.
        self._pace = ObservationPace(0)
        # Those of the last audit, which have had a line.
        self._reported: set[_DifferenceKey] = set()
        self._unusable = UnusableWorkers(shard)
        self._denied = DeniedStarts(shard)

    def run_pass(self) -> None:
        """
        Continue an audit, or begin one if it is due.

        An error of the audit must not end the owner.
        """
        try:
            self._continue()
        except Exception as error:
            self._shard.log.record('ledger_audit_failed', why=repr(error))
            self._begin_pause()

    def _continue(self) -> None:
        now_ms = self._shard.now_ms
        self._unusable.run_pass()
        self._denied.run_pass()
        if self._batches is None:
            if now_ms < self._due_ms:
                return
            self._batches = walk_differences(self._shard)
        if self._pace.is_due(now_ms):
            self._compare_some(self._batches)
            self._pace.record(now_ms, self._shard.now_ms)

    def _compare_some(self, batches: Iterator[DifferenceBatch]) -> None:
        self._pass_count += 1
        compared_count = 0
        for count, differences in batches:
            self._found += differences
            compared_count += count
            if compared_count >= _BATCH_SIZE:
                return
        self._end_audit()

    def _end_audit(self) -> None:
        found = [*self._found, *self._unusable.differences()]
        self._log(found)
        self._reported = self._log_new(found)
        self._begin_pause()

    def _begin_pause(self) -> None:
        self._batches = None
        self._found = []
        self._pass_count = 0
        self._due_ms = self._shard.now_ms + _AUDIT_PAUSE_MS

    def _log_new(self, found: list[Difference]) -> set[_DifferenceKey]:
        """
        Log new differences by themselves, and return all that have a line.
        """
        by_key = {_key_of(difference): difference for difference in found}
        new_keys = [key for key in by_key if key not in self._reported]
        for key in new_keys[:_LINE_COUNT]:
            self._shard.log.record(
                'ledger_difference', **_describe(by_key[key])
            )
        return (by_key.keys() & self._reported) | set(new_keys[:_LINE_COUNT])

    def _log(self, found: list[Difference]) -> None:
        shard = self._shard
        permits = shard.permits
        shard.log.record(
            'ledger_audit',
            shard=shard.name,
            epoch=shard.epoch,
            passes=self._pass_count,
            differences=collections.Counter(each.kind for each in found),
            examples=[_describe(each) for each in found[:_EXAMPLE_COUNT]],
            room=rooms_by_service(shard.workers.values()),
            denied_ms=self._denied.ages_ms(),
            is_unclaimed=permits.is_unclaimed,
            # How old the last confirmed write and the last read are.
            writes_age_ms=int(permits.writes.age_ms),
            registry_age_ms=int(permits.registry.age_ms),
            dirty_jobs=len(shard.dirty),
            writing_jobs=len(shard.writing),
            unlisted_workers=len(shard.unlisted_tasks),
        )


def _key_of(difference: Difference) -> _DifferenceKey:
    subject = f'{difference.task} {difference.field}'
    return (difference.kind, difference.worker, subject)


def _describe(difference: Difference) -> dict[str, object]:
    described = dataclasses.asdict(difference)
    described['difference'] = described.pop('kind')
    return described
