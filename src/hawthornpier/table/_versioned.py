"""
The table of one process: a copy of one version of the store's rows.
"""

import uuid
from collections.abc import Callable, Mapping, Sequence

from hawthornpier.ports import Clock, EventSink, StoreError, TableStore
from hawthornpier.table import _commit, _plan, _rows
from hawthornpier.table._errors import (
    EditConflictError,
    TableUnavailableError,
)
from hawthornpier.table._local import LocalTable

# If the copy is behind by more versions than this, a scan of all rows is
# cheaper than reading the deltas one by one.
_MAX_DELTA_READS = 16
# Reading a longer history would use up store reads that other work needs.
_MAX_HISTORY_COUNT = 1000
# A scan is repeated if an edit was accepted during it.
_MAX_SCAN_ATTEMPTS = 8
# Approvals by several members compete for the next version, and all but one
# have to try again.
_MAX_APPROVAL_ATTEMPTS = 16


def _new_edit_id() -> str:
    return uuid.uuid4().hex


def _always_true() -> bool:
    return True


class VersionedTable(LocalTable):
    """
    A copy of the shared table that is read from and edited in the store.

    The version of an instance never decreases.  All methods are called from
    one event loop.

    Args:
        store: The platform's table service.
        clock: The clock of the process.
        founders: Key hashes of the founding members by name, from the
            settings; used only while the table has no member.
        has_majority: Returns whether this process and a majority of the last
            known processes reach each other and the store; otherwise edits
            are refused.
        events: Records changes of the version.
        new_edit_id: Returns a new unique id.
    """

    def __init__(
        self,
        *,
        store: TableStore,
        clock: Clock,
        founders: Mapping[str, str] | None = None,
        has_majority: Callable[[], bool] = _always_true,
        events: EventSink | None = None,
        new_edit_id: Callable[[], str] = _new_edit_id,
    ) -> None:
        super().__init__(clock=clock, founders=founders, events=events)
        self._store = store
        self._has_majority = has_majority
        self._new_edit_id = new_edit_id

    async def refresh(self) -> int:
        """
        Read the head, and the edits after the local version, from the store.

        Returns:
            The version afterwards.

        Raises:
            TableUnavailableError: If the table cannot be read.
        """
        started_at_ms = self._clock.monotonic_ms()
        try:
            head = await _commit.read_head(self._store)
            await self._catch_up(head)
        except StoreError as error:
            raise TableUnavailableError(
                f'cannot read the table from the store: {error}'
            ) from error
        # Meanwhile the local version may have become newer than that head.
        if self._version >= head.version:
            self._record_confirmation(started_at_ms)
        return self._version

    async def edit(
        self,
        edits: Sequence[_rows.Edit],
        *,
        member: str,
        base_version: int,
    ) -> _rows.Delta:
        """
        Commit an operator's edits if the table is still at *base_version*.

        The calling code must have checked that the operator belongs to
        *member*.

        Returns:
            The accepted edit.

        Raises:
            EditConflictError: If another edit was accepted since
                *base_version*.
            NotPermittedError: If the member may not change one of the rows.
            RowErrorGroup: If the resulting table is invalid.
            EmptyEditError: If nothing changes.
            TableUnavailableError: If the edit was certainly not applied.
            EditOutcomeUnknownError: If the edit may have been applied.
        """
        head = await self._read_head_for_edit()
        if head.version != base_version or self._version != base_version:
            raise await self._conflict_error(base_version)
        changes = _plan.plan_edit(
            self._rows,
            edits,
            member=member,
            version=base_version + 1,
            founders=self._founders,
        )
        delta = await self._commit(head, changes, member)
        if delta is None:
            raise await self._conflict_error(base_version)
        return delta

    async def approve(
        self,
        subject: str,
        *,
        member: str,
        base_version: int,
    ) -> _rows.Delta:
        """
        Record *member*'s approval of the proposal for *subject*.

        Edits of other rows since *base_version* are no conflict: the approval
        is valid if the proposal has not changed since the operator saw it.

        Returns:
            The accepted approval.

        Raises:
            EditConflictError: If the proposal has changed since
                *base_version*.
            NotPermittedError: If there is no proposal for *subject*, or
                *member* may not approve it or has already done so.
            TableUnavailableError: If the approval was certainly not applied.
            EditOutcomeUnknownError: If the approval may have been applied.
        """
        for _ in range(_MAX_APPROVAL_ATTEMPTS):
            head = await self._read_head_for_edit()
            if self._version != head.version:
                continue
            proposal = self._rows.get(_rows.proposal_key(subject))
            if isinstance(proposal, _rows.ProposalRow) and (
                proposal.proposed_version > base_version
            ):
                raise await self._conflict_error(base_version)
            changes = _plan.plan_approval(
                self._rows,
                subject,
                member=member,
                version=head.version + 1,
            )
            delta = await self._commit(head, changes, member)
            if delta is not None:
                return delta
        raise TableUnavailableError(
            'the approval was not applied: other edits were accepted first in '
            'every attempt'
        )

    async def history(
        self,
        *,
        since: int = 0,
        limit: int = 100,
    ) -> tuple[_rows.Delta, ...]:
        """
        Return the newest edits after version *since*, oldest first.

        At most 1000 edits are read; those that the store no longer has are left
        out.

        Raises:
            TableUnavailableError: If the store cannot be read.
        """
        kept = {delta.version: delta for delta in self._deltas}
        count = min(limit, _MAX_HISTORY_COUNT)
        first = max(0, since, self._version - count) + 1
        try:
            deltas = [
                kept.get(version)
                or await _commit.read_delta(self._store, version)
                for version in range(first, self._version + 1)
            ]
        except StoreError as error:
            raise TableUnavailableError(
                f'cannot read the table from the store: {error}'
            ) from error
        return tuple(delta for delta in deltas if delta is not None)

    async def _read_head_for_edit(self) -> _commit.Head:
        """
        Read the head and bring the local rows up to its version.
        """
        if not self._has_majority():
            raise TableUnavailableError(
                'edits are refused: this process and a majority of the '
                'processes must reach each other and the store',
            )
        try:
            head = await _commit.read_head(self._store)
            await self._catch_up(head)
        except StoreError as error:
            raise TableUnavailableError(
                f'cannot read the table from the store: {error}'
            ) from error
        return head

    async def _catch_up(self, head: _commit.Head) -> None:
        """
        Bring the local rows to the version of *head* or a later one.
        """
        if head.version - self._version <= _MAX_DELTA_READS:
            await self._read_deltas(head)
        for _ in range(_MAX_SCAN_ATTEMPTS):
            if self._version >= head.version:
                return
            rows = await self._store.scan(_commit.ROW_PREFIX)
            newest = await _commit.read_head(self._store)
            if newest == head:
                self.apply_snapshot(_commit.decode_rows(rows, head))
            head = newest
        raise TableUnavailableError(
            'cannot read the table: it changed during every scan'
        )

    async def _read_deltas(self, head: _commit.Head) -> None:
        """
        Apply the deltas up to *head*, as far as the store has them.
        """
        while self._version < head.version:
            delta = await _commit.read_delta(self._store, self._version + 1)
            if delta is None:
                return
            self.apply_deltas((delta,))

    async def _commit(
        self,
        head: _commit.Head,
        changes: tuple[_rows.Change, ...],
        member: str,
    ) -> _rows.Delta | None:
        """
        Commit *changes* as the version after *head*.

        Returns:
            The accepted delta, or None if another edit was accepted first.
        """
        delta = _rows.Delta(
            version=head.version + 1,
            edit_id=self._new_edit_id(),
            member=member,
            at_ms=self._clock.wall_ms(),
            changes=changes,
        )
        started_at_ms = self._clock.monotonic_ms()
        if not await _commit.commit_delta(self._store, head, delta):
            return None
        self.apply_deltas((delta,))
        if self._version >= delta.version:
            self._record_confirmation(started_at_ms)
        return delta

    async def _conflict_error(self, base_version: int) -> EditConflictError:
        """
        Return the error that lists the edits since *base_version*.
        """
        await self.refresh()
        return EditConflictError(
            base_version=base_version,
            version=self._version,
            deltas=await self.history(since=base_version),
        )
