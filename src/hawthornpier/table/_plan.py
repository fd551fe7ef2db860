"""
Pure functions that compute the row changes of an edit or an approval.

The rules:

- Only a member's own operators may put or delete its rows.
- A member row for a name that is not a member becomes a proposal.  It takes
  effect when every member has approved it, each by its own operators.
- A member may lower its own weight and quotas at once.  An increase reduces
  what is left for the others, so it becomes a proposal that every other member
  has to approve.
- While the table has no member, the rows of the founders named in the settings
  take effect at once.
"""

from collections.abc import Iterable, Iterator, Mapping, Sequence
from dataclasses import replace
from functools import singledispatch
from typing import Any

from hawthornpier.table._errors import (
    EmptyEditError,
    NotPermittedError,
    RowError,
    RowErrorGroup,
)
from hawthornpier.table._rows import (
    QUOTA_COLUMNS,
    Change,
    DeleteRow,
    Edit,
    MemberRow,
    ProposalRow,
    PutRow,
    TableRow,
    WorkloadRow,
    member_key,
    proposal_key,
    row_key,
)
from hawthornpier.table._validate import validate_rows

_SHARE_COLUMNS = ('weight', *QUOTA_COLUMNS)


class Draft:
    """
    The rows of the next version, to which an edit is applied step by step.

    Args:
        rows: The rows of the current version.
        member: The member whose operator edits.
        version: The version that the edit will have.
        founders: Key hashes of the founding members by name; used only while
            the table has no member.
    """

    def __init__(
        self,
        rows: Mapping[str, TableRow],
        *,
        member: str,
        version: int,
        founders: Mapping[str, str],
    ) -> None:
        self.rows = dict(rows)
        self.member = member
        self.version = version
        is_empty = not any(isinstance(row, MemberRow) for row in rows.values())
        self.founders = dict(founders) if is_empty else {}

    def members(self) -> frozenset[str]:
        """
        Return the names of the members, without proposed ones.
        """
        return member_names(self.rows)

    def put(self, row: TableRow) -> None:
        """
        Add or replace a row.
        """
        self.rows[row_key(row)] = row

    def apply_approved_proposals(self) -> None:
        """
        Turn proposals that every other member has approved into member rows.
        """
        for key, row in tuple(self.rows.items()):
            if not isinstance(row, ProposalRow):
                continue
            required_approvers = self.members() - {row.member}
            if required_approvers and required_approvers <= set(
                row.approved_by
            ):
                self.rows.pop(key)
                self.put(
                    _member_from_proposal(
                        row, self.rows.get(member_key(row.member))
                    )
                )


def member_names(rows: Mapping[str, TableRow]) -> frozenset[str]:
    """
    Return the names of the members, without proposed ones.
    """
    return frozenset(
        row.member for row in rows.values() if isinstance(row, MemberRow)
    )


def plan_edit(
    rows: Mapping[str, TableRow],
    edits: Sequence[Edit],
    *,
    member: str,
    version: int,
    founders: Mapping[str, str],
) -> tuple[Change, ...]:
    """
    Return the changes that an operator's edits make.

    Args:
        rows: The rows of the current version by key.
        edits: The requested edits, in the order in which they are applied.
        member: The member that the operator belongs to.
        version: The version that the edit will have.
        founders: Key hashes of the founding members by name; used only while
            the table has no member.

    Raises:
        NotPermittedError: If the member may not change one of the rows.
        RowErrorGroup: If the resulting table is invalid.
        EmptyEditError: If nothing changes.
    """
    draft = Draft(rows, member=member, version=version, founders=founders)
    if member not in draft.members() | draft.founders.keys():
        _check_proposed_member_edits(draft, edits)
    for edit in edits:
        _apply_edit(edit, draft)
    draft.apply_approved_proposals()
    return _validated_changes(rows, draft)


def plan_approval(
    rows: Mapping[str, TableRow],
    subject: str,
    *,
    member: str,
    version: int,
) -> tuple[Change, ...]:
    """
    Return the changes that *member*'s approval makes.

    Args:
        rows: The rows of the current version by key.
        subject: The member whose proposal is approved.
        member: The member that approves.
        version: The version that the approval will have.

    Raises:
        NotPermittedError: If there is no proposal for *subject*, or *member*
            may not approve it or has already done so.
    """
    draft = Draft(rows, member=member, version=version, founders={})
    proposal = rows.get(proposal_key(subject))
    if not isinstance(proposal, ProposalRow):
        raise NotPermittedError(f'there is no proposal for {subject}')
    if member not in draft.members() - {subject}:
        raise NotPermittedError(
            f'{member} may not approve the proposal for {subject}',
        )
    if member in proposal.approved_by:
        raise NotPermittedError(
            f'{member} has already approved the proposal for {subject}'
        )
    draft.put(replace(proposal, approved_by=(*proposal.approved_by, member)))
    draft.apply_approved_proposals()
    return _validated_changes(rows, draft)


def apply_changes(
    rows: Mapping[str, TableRow],
    changes: Iterable[Change],
) -> dict[str, TableRow]:
    """
    Return a copy of *rows* with *changes* applied.
    """
    result = dict(rows)
    for change in changes:
        if change.after is None:
            result.pop(change.key, None)
        else:
            result[change.key] = change.after
    return result


def diff_rows(
    before: Mapping[str, TableRow],
    after: Mapping[str, TableRow],
) -> tuple[Change, ...]:
    """
    Return the changes that lead from *before* to *after*, ordered by key.
    """
    return tuple(
        Change(key=key, before=before.get(key), after=after.get(key))
        for key in sorted(before.keys() | after.keys())
        if before.get(key) != after.get(key)
    )


def _validated_changes(
    rows: Mapping[str, TableRow],
    draft: Draft,
) -> tuple[Change, ...]:
    changes = diff_rows(rows, draft.rows)
    if not changes:
        raise EmptyEditError('the edit changes nothing')
    errors = tuple(validate_rows(draft.rows, changed=changes))
    if errors:
        raise RowErrorGroup('invalid table', errors)
    return changes


def _check_proposed_member_edits(draft: Draft, edits: Sequence[Edit]) -> None:
    """
    Raise unless the proposed member's edits only withdraw its proposal.
    """
    withdrawal = DeleteRow(key=proposal_key(draft.member))
    if any(edit != withdrawal for edit in edits):
        raise NotPermittedError(
            f'{draft.member} is not a member yet and may only delete its '
            'proposal',
        )


@singledispatch
def _apply_edit(edit: object, draft: Draft) -> None:
    raise TypeError(f'{type(edit).__name__} is not an edit')


@_apply_edit.register
def _apply_put(edit: PutRow, draft: Draft) -> None:
    _put(edit.row, draft)


@_apply_edit.register
def _apply_delete(edit: DeleteRow, draft: Draft) -> None:
    row = draft.rows.get(edit.key)
    if row is None:
        raise RowErrorGroup(
            'invalid edit',
            [RowError('there is no such row', row=edit.key)],
        )
    owners = {row.member}
    if isinstance(row, ProposalRow):
        owners.add(row.proposed_by)
    if draft.member not in owners:
        raise NotPermittedError(
            f'{edit.key} belongs to {row.member}, not to {draft.member}',
        )
    draft.rows.pop(edit.key)
    if isinstance(row, MemberRow):
        _clean_up_deleted_member(row.member, draft)


def _clean_up_deleted_member(member: str, draft: Draft) -> None:
    if not draft.members():
        raise NotPermittedError('the last member cannot be deleted')
    draft.rows.pop(proposal_key(member), None)
    for row in tuple(draft.rows.values()):
        if isinstance(row, ProposalRow):
            approved_by = tuple(
                name for name in row.approved_by if name != member
            )
            draft.put(replace(row, approved_by=approved_by))


@singledispatch
def _put(row: object, draft: Draft) -> None:
    raise TypeError(f'{type(row).__name__} cannot be put into the table')


@_put.register
def _put_workload(row: WorkloadRow, draft: Draft) -> None:
    if row.member != draft.member:
        raise NotPermittedError(
            f'{row_key(row)} belongs to {row.member}, not to {draft.member}',
        )
    draft.put(row)


@_put.register
def _put_member(row: MemberRow, draft: Draft) -> None:
    current = draft.rows.get(member_key(row.member))
    founder_hash = draft.founders.get(row.member)
    if founder_hash:
        key_hash = row.operator_key_hash or (founder_hash,)
        draft.put(replace(row, operator_key_hash=key_hash))
    elif current is None:
        _propose(row, draft)
    elif isinstance(current, MemberRow) and row.member == draft.member:
        _put_own_member(row, current, draft)
    else:
        raise NotPermittedError(
            f'{row_key(row)} may be changed only by operators of that member',
        )


def _put_own_member(row: MemberRow, current: MemberRow, draft: Draft) -> None:
    others = draft.members() - {row.member}
    if others and any(_increases(row, current)):
        # A key rotation in the same edit takes effect at once.
        draft.put(replace(current, operator_key_hash=row.operator_key_hash))
        _propose(row, draft)
        return
    draft.put(row)
    if any(
        getattr(row, column) != getattr(current, column)
        for column in _SHARE_COLUMNS
    ):
        # The approval of an older proposal would overwrite this change.
        draft.rows.pop(proposal_key(row.member), None)


def _propose(row: MemberRow, draft: Draft) -> None:
    key = proposal_key(row.member)
    open_proposal = draft.rows.get(key)
    if isinstance(open_proposal, ProposalRow) and (
        open_proposal.proposed_by != draft.member
    ):
        raise NotPermittedError(
            f'{key} may be changed only by operators of '
            f'{open_proposal.proposed_by}',
        )
    draft.put(
        ProposalRow(
            **_member_cells(row),
            proposed_by=draft.member,
            proposed_version=draft.version,
        ),
    )


def _increases(row: MemberRow, current: MemberRow) -> Iterator[bool]:
    yield row.weight > current.weight
    for column in QUOTA_COLUMNS:
        requested, current_quota = (
            getattr(row, column),
            getattr(current, column),
        )
        yield current_quota is not None and (
            requested is None or requested > current_quota
        )


def _member_from_proposal(
    proposal: ProposalRow, current: TableRow | None
) -> MemberRow:
    member = MemberRow(**_member_cells(proposal))
    if isinstance(current, MemberRow):
        # The operator keys may have been rotated since the proposal.
        return replace(member, operator_key_hash=current.operator_key_hash)
    return member


def _member_cells(row: MemberRow | ProposalRow) -> dict[str, Any]:
    columns = ('member', 'operator_key_hash', *_SHARE_COLUMNS)
    return {column: getattr(row, column) for column in columns}
