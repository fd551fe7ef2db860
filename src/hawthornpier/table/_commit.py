"""
How the table is laid out in the store, and the transaction of an edit.

``table/head`` holds the version, ``table/delta/<version>`` the edit that
made it and ``table/row/<key>`` the rows.  An edit changes all of them in one
transaction that checks the head.
"""

from collections.abc import Iterable
from dataclasses import dataclass
from typing import Any

import msgspec

from hawthornpier.messages import (
    ABSENT_VERSION,
    Row,
    RowCheck,
    RowPut,
    Transaction,
)
from hawthornpier.ports import (
    StoreError,
    StoreUnavailableError,
    TableStore,
)
from hawthornpier.table import _documents, _rows
from hawthornpier.table._errors import (
    EditOutcomeUnknownError,
    RowErrorGroup,
    TableUnavailableError,
)

HEAD_KEY = 'table/head'
ROW_PREFIX = 'table/row/'
_DELTA_PREFIX = 'table/delta/'
# The history in the store: a day at the design scale of 45,000 edits.
_MAX_STORED_DELTA_COUNT = 45000
# One lost answer is common; a store that loses three in a row is out.
_MAX_ATTEMPTS = 3


@dataclass(frozen=True, slots=True, kw_only=True)
class Head:
    """
    The version of the table and the store's version of the head row.
    """

    version: int
    row_version: int


async def read_head(store: TableStore) -> Head:
    """
    Return the head; that of an empty store has version 0.

    Raises:
        StoreError: If the store does not answer.
        TableUnavailableError: If the row is not a head.
    """
    row = await store.read(HEAD_KEY)
    if row is None:
        return Head(version=0, row_version=ABSENT_VERSION)
    document = _decode(row)
    try:
        version = int(document['version'])
    except (KeyError, TypeError, ValueError) as error:
        raise TableUnavailableError(f'{HEAD_KEY} has no version') from error
    return Head(version=version, row_version=row.version)


async def read_delta(store: TableStore, version: int) -> _rows.Delta | None:
    """
    Return the edit that made *version*, or None if it is not kept.

    Raises:
        StoreError: If the store does not answer.
        TableUnavailableError: If the row is not a delta.
    """
    row = await store.read(delta_key(version))
    if row is None:
        return None
    try:
        return _documents.delta_from_document(_decode(row))
    except _documents.DocumentError as error:
        raise TableUnavailableError(f'{row.key}: {error}') from error


def decode_rows(rows: Iterable[Row], head: Head) -> _rows.Snapshot:
    """
    Return the table of scanned store rows.

    Raises:
        TableUnavailableError: If a row is invalid.
    """
    decoded: list[_rows.TableRow] = []
    for row in rows:
        try:
            decoded.append(
                _documents.row_from_document(
                    _decode(row),
                    location=row.key,
                    is_lenient=True,
                ),
            )
        except RowErrorGroup as group:
            reasons = '; '.join(str(error) for error in group.exceptions)
            raise TableUnavailableError(reasons) from group
    return _rows.Snapshot(version=head.version, rows=tuple(decoded))


async def commit_delta(
    store: TableStore,
    head: Head,
    delta: _rows.Delta,
) -> bool:
    """
    Write *delta* if the table is still at *head*.

    A transaction whose answer was lost is sent again with the same id.  A
    store that does not recognise the id then reports a conflict with our own
    edit, so after a conflict the delta of that version tells who made it.

    Returns:
        Whether the edit was accepted; False if another edit came first.

    Raises:
        TableUnavailableError: If the store was not reached at all.
        EditOutcomeUnknownError: If the edit may have been applied.
    """
    transaction = _transaction(head, delta)
    unknown = EditOutcomeUnknownError(
        edit_id=delta.edit_id,
        version=delta.version,
    )
    failures: list[StoreError] = []
    while len(failures) < _MAX_ATTEMPTS:
        try:
            outcome = await store.transact(transaction)
        except StoreError as error:
            failures.append(error)
            _raise_if_not_applied(failures)
        else:
            return outcome.is_committed or await _is_applied(
                store, delta, unknown
            )
    raise unknown


def _raise_if_not_applied(failures: list[StoreError]) -> None:
    """
    Give up at once while certainly nothing was applied.
    """
    if isinstance(failures[0], StoreUnavailableError):
        raise TableUnavailableError(f'not applied: {failures[0]}')


async def _is_applied(
    store: TableStore,
    delta: _rows.Delta,
    unknown: EditOutcomeUnknownError,
) -> bool:
    """
    Tell whether the accepted edit of this version is *delta*.
    """
    for _ in range(_MAX_ATTEMPTS):
        try:
            accepted = await read_delta(store, delta.version)
        except StoreError:
            continue
        return accepted is not None and accepted.edit_id == delta.edit_id
    raise unknown


def delta_key(version: int) -> str:
    """
    Return the store key of the edit that made *version*.
    """
    return f'{_DELTA_PREFIX}{version}'


def _transaction(head: Head, delta: _rows.Delta) -> Transaction:
    puts = [
        _put(HEAD_KEY, {'version': delta.version}),
        _put(delta_key(delta.version), _documents.delta_to_document(delta)),
    ]
    deletes = []
    for change in delta.changes:
        if change.after is None:
            deletes.append(f'{ROW_PREFIX}{change.key}')
        else:
            document = _documents.row_to_document(change.after)
            puts.append(_put(f'{ROW_PREFIX}{change.key}', document))
    if delta.version > _MAX_STORED_DELTA_COUNT:
        deletes.append(delta_key(delta.version - _MAX_STORED_DELTA_COUNT))
    return Transaction(
        transaction_id=f'table-{delta.edit_id}',
        checks=(RowCheck(key=HEAD_KEY, version=head.row_version),),
        puts=tuple(puts),
        deletes=tuple(deletes),
    )


def _put(key: str, document: dict[str, Any]) -> RowPut:
    return RowPut(key=key, text=msgspec.json.encode(document).decode())


def _decode(row: Row) -> Any:
    try:
        return msgspec.json.decode(row.text)
    except msgspec.DecodeError as error:
        raise TableUnavailableError(f'{row.key} is not JSON') from error
