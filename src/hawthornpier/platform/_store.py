"""
HTTP client of the platform's store, which implements `RecordStore`.
"""

import base64
from collections.abc import Coroutine
from http import HTTPStatus
from typing import Any
from urllib.parse import urlencode

import msgspec

from hawthornpier.adapters import (
    AdapterError,
    ConnectionPool,
    HttpReply,
    NotSentError,
)
from hawthornpier.decoding import decode_json
from hawthornpier.fleet import (
    HistoryGoneError,
    RowPage,
    RowTransaction,
    StoredRow,
    TransactionOutcome,
)
from hawthornpier.platform import _client
from hawthornpier.ports import (
    StoreError,
    StoreRejectedError,
    StoreReplyLostError,
    StoreUnavailableError,
)

_CONNECTION_COUNT = 24
_CONNECT_TIMEOUT_MS = 700
_READ_TIMEOUT_MS = 1_200.0
_WRITE_TIMEOUT_MS = 1_200.0
# Added to the long-polling timeout of a request for changes.
_FEED_TIMEOUT_SLACK_MS = 800.0
# The request is malformed, too large, or not permitted.
_REJECTION_STATUSES = frozenset(
    (
        HTTPStatus.BAD_REQUEST,
        HTTPStatus.FORBIDDEN,
        HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
    ),
)
# Maximum number of rows that the store returns in one page.
_MAX_PAGE_ROWS = 500
# A reply is cut at 1 MB, between two rows.  One of this size may have been.
_FULL_PAGE_BYTES = 900_000


class _Row(msgspec.Struct):
    """
    A row in a reply of the store.
    """

    table: str
    # The partition.
    part: str = ''
    key: str = ''
    # The content in base64.
    value: str | None = None
    # The version of this row.
    ver: int = 0
    # The row was deleted.
    tombstone: bool = False


class _RowsReply(msgspec.Struct):
    """
    A reply of the store to a read or a transaction.
    """

    # The latest version of the whole store.
    ver: int = 0
    # The monotonic clock of the store.
    now_ms: int = 0
    rows: list[_Row] = []
    has_more: bool = False


class PlatformStore:
    """
    Reads and writes rows of the platform's store.

    The methods raise `StoreUnavailableError` if the request had no effect, or
    `StoreReplyLostError` if it is unknown whether it had one.
    """

    def __init__(self, address: str) -> None:
        self._pool = ConnectionPool(
            address,
            connection_limit=_CONNECTION_COUNT,
            connect_ms=_CONNECT_TIMEOUT_MS,
        )

    async def transact(
        self,
        transaction: RowTransaction,
        *,
        timeout_ms: float = _WRITE_TIMEOUT_MS,
    ) -> TransactionOutcome:
        """
        Apply *transaction* atomically if its condition holds.
        """
        reply = await self._send(
            _client.post(
                self._pool,
                '/hawthornpier/rows-tx',
                _transaction_body(transaction),
                timeout_ms=timeout_ms,
            ),
        )
        if reply.status not in {
            HTTPStatus.OK,
            HTTPStatus.PRECONDITION_FAILED,
        }:
            raise _status_error(reply)
        rows_reply = _decode(reply)
        return TransactionOutcome(
            is_applied=reply.status == HTTPStatus.OK,
            version=rows_reply.ver,
            store_ms=rows_reply.now_ms,
            rows=_decode_rows(rows_reply),
        )

    async def read(
        self,
        table: str,
        part: str,
        *,
        first_key: str = '',
        end_key: str = '',
        row_limit: int | None = None,
    ) -> RowPage:
        """
        Return the rows of a partition with *first_key* <= key < *end_key*.

        A page has at most *row_limit* rows, and no more than the store allows.
        """
        limit = min(row_limit or _MAX_PAGE_ROWS, _MAX_PAGE_ROWS)
        query = {'table': table, 'part': part, 'limit': str(limit)}
        if first_key:
            query['from'] = first_key
        if end_key:
            query['to'] = end_key
        return await self._get_page(
            f'/hawthornpier/rows-get?{urlencode(query)}',
            _READ_TIMEOUT_MS,
            row_limit=limit,
        )

    async def changes(
        self,
        table: str,
        *,
        after_version: int,
        wait_ms: int,
    ) -> RowPage:
        """
        Return the rows that changed after a version.

        Args:
            table: The table to read.
            after_version: The last version that this process has seen.
            wait_ms: How long the store waits if there are no changes yet.

        Raises:
            HistoryGoneError: The store no longer has all these changes.
        """
        query = urlencode(
            {'table': table, 'after': after_version, 'wait_ms': wait_ms},
        )
        return await self._get_page(
            f'/hawthornpier/rows-feed?{query}',
            wait_ms + _FEED_TIMEOUT_SLACK_MS,
        )

    def close(self) -> None:
        """
        Close the connections.
        """
        self._pool.close()

    async def _get_page(
        self,
        path: str,
        timeout_ms: float,
        *,
        row_limit: int = _MAX_PAGE_ROWS,
    ) -> RowPage:
        reply = await self._send(
            _client.get(self._pool, path, timeout_ms=timeout_ms),
        )
        if reply.status == HTTPStatus.GONE:
            raise HistoryGoneError(path)
        if reply.status != HTTPStatus.OK:
            raise _status_error(reply)
        rows_reply = _decode(reply)
        return RowPage(
            rows=_decode_rows(rows_reply),
            version=rows_reply.ver,
            store_ms=rows_reply.now_ms,
            has_more=rows_reply.has_more
            or _may_be_cut(reply, rows_reply, row_limit),
        )

    async def _send(
        self, exchange: Coroutine[Any, Any, HttpReply]
    ) -> HttpReply:
        try:
            return await exchange
        except NotSentError as error:
            raise StoreUnavailableError(str(error)) from error
        except AdapterError as error:
            raise StoreReplyLostError(str(error)) from error


def _transaction_body(transaction: RowTransaction) -> dict[str, object]:
    part = transaction.part
    return {
        'expected': [
            {'table': table, 'part': part, 'key': key, 'ver': version}
            for (table, key), version in transaction.expected.items()
        ],
        'writes': [
            {
                'table': table,
                'part': part,
                'key': key,
                'value': base64.b64encode(content).decode(),
            }
            for (table, key), content in transaction.writes.items()
        ],
        'remove': [
            {'table': table, 'part': part, 'key': key}
            for table, key in transaction.removals
        ],
    }


def _status_error(reply: HttpReply) -> StoreError:
    why = f'the store responded with status {reply.status}'
    if reply.status in _REJECTION_STATUSES:
        return StoreRejectedError(why)
    if reply.status < HTTPStatus.INTERNAL_SERVER_ERROR or _client.is_refusal(
        reply,
    ):
        return StoreUnavailableError(why)
    return StoreReplyLostError(why)


def _may_be_cut(
    reply: HttpReply,
    rows_reply: _RowsReply,
    row_limit: int = _MAX_PAGE_ROWS,
) -> bool:
    """
    Return whether the store may have left out rows; only some replies tell.
    """
    return (
        len(rows_reply.rows) >= row_limit or len(reply.body) >= _FULL_PAGE_BYTES
    )


def _decode(reply: HttpReply) -> _RowsReply:
    return decode_json(
        reply.body,
        _RowsReply,
        StoreReplyLostError,
        subject='reply of the store',
    )


def _decode_rows(rows_reply: _RowsReply) -> tuple[StoredRow, ...]:
    return tuple(
        StoredRow(
            table=row.table,
            part=row.part,
            key=row.key,
            content=_decode_value(row),
            version=row.ver,
            is_deleted=row.tombstone,
        )
        for row in rows_reply.rows
    )


def _decode_value(row: _Row) -> bytes:
    try:
        return base64.b64decode(row.value or '')
    except ValueError:
        # The row of another writer is malformed.  Return no content, which the
        # decoder of the row rejects.
        return b''
