"""
Validation of the rows of a whole table.
"""

from collections.abc import Iterable, Iterator, Mapping
from dataclasses import fields
from functools import singledispatch

from hawthornpier.table._columns import check_cell
from hawthornpier.table._errors import RowError
from hawthornpier.table._rows import (
    QUOTA_COLUMNS,
    Change,
    MemberRow,
    ProposalRow,
    TableRow,
    WorkloadClass,
    WorkloadRow,
    member_key,
)


def validate_rows(
    rows: Mapping[str, TableRow],
    *,
    changed: Iterable[Change] = (),
) -> Iterator[RowError]:
    """
    Yield every mistake in a whole table.

    Args:
        rows: All rows by key; the rules between rows are checked for all.
        changed: The changes whose new cells are also checked one by one.
    """
    for change in changed:
        if change.after is not None:
            yield from _validate_cells(change.key, change.after)
    for key in sorted(rows):
        for column, reason in _validate(rows[key], rows):
            yield RowError(reason, row=key, column=column)


def _validate_cells(key: str, row: TableRow) -> Iterator[RowError]:
    for field in fields(row):
        try:
            check_cell(field.name, getattr(row, field.name))
        except ValueError as error:
            yield RowError(str(error), row=key, column=field.name)


@singledispatch
def _validate(
    row: object,
    rows: Mapping[str, TableRow],
) -> Iterator[tuple[str, str]]:
    raise TypeError(f'{type(row).__name__} is not a row of the table')


@_validate.register(MemberRow)
@_validate.register(ProposalRow)
def _validate_member(
    row: MemberRow | ProposalRow,
    rows: Mapping[str, TableRow],
) -> Iterator[tuple[str, str]]:
    if not row.operator_key_hash:
        yield (
            'operator_key_hash',
            ('required, but not set: nobody could edit the rows of the member'),
        )


@_validate.register
def _validate_workload(
    row: WorkloadRow,
    rows: Mapping[str, TableRow],
) -> Iterator[tuple[str, str]]:
    member = rows.get(member_key(row.member))
    if isinstance(member, MemberRow):
        yield from _validate_quotas(row, member)
    else:
        yield 'member', f'{row.member} is not a member'
    if member_key(row.name) in rows:
        # Limits are identified by name alone, so these two would be confused.
        yield 'name', f'{row.name} is already the name of a member'
    if row.workload_class is WorkloadClass.BATCH and row.latency_target_ms:
        yield 'latency_target_ms', 'must not be set for a batch workload'
    if (
        row.latency_target_ms
        and row.deadline_ms
        and row.latency_target_ms > row.deadline_ms
    ):
        yield (
            'latency_target_ms',
            f'{row.latency_target_ms} is more than deadline_ms, '
            f'{row.deadline_ms}',
        )


def _validate_quotas(
    row: WorkloadRow,
    member: MemberRow,
) -> Iterator[tuple[str, str]]:
    for column in QUOTA_COLUMNS:
        quota, member_quota = getattr(row, column), getattr(member, column)
        if (
            quota is not None
            and member_quota is not None
            and quota > member_quota
        ):
            yield (
                column,
                f'{quota} is more than the quota of the member, {member_quota}',
            )
    for demand_column in ('processor_millis', 'memory_bytes'):
        demand = getattr(row, demand_column)
        workload_quota = getattr(row, f'max_{demand_column}')
        if workload_quota is not None and demand > workload_quota:
            yield (
                demand_column,
                f'{demand} is more than max_{demand_column}, {workload_quota}',
            )
