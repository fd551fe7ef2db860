"""
Reads of the store that continue after the first page.
"""

import asyncio
from collections.abc import Iterable
from dataclasses import dataclass

from hawthornpier.fleet._ports import RecordStore, RowPage, StoredRow
from hawthornpier.ports import StoreError

# Maximum number of pages in one read of changes, so that a table that changes
# faster than its pages are read cannot hold up the reader.
_CHANGE_PAGES_MAX = 20


@dataclass(frozen=True, slots=True, kw_only=True)
class _Effort:
    """
    How many rows are requested at once.
    """

    page_rows: int | None
    parallel_reads: int


# Whole pages of all partitions at once take the shortest time.  On a slow link,
# they may take so long together that none of them arrives before the client of
# the store gives up.  Then the rest is read in small portions.
_FULL_EFFORT = _Effort(page_rows=None, parallel_reads=100)
_SMALL_EFFORT = _Effort(page_rows=100, parallel_reads=2)


class _PartitionRead:
    """
    A read of a partition that keeps the pages which have arrived.
    """

    def __init__(self, store: RecordStore, table: str, part: str) -> None:
        self.pages: list[RowPage] = []
        self._store = store
        self._table = table
        self._part = part

    @property
    def is_complete(self) -> bool:
        if not self.pages:
            return False
        last = self.pages[-1]
        return not (last.has_more and last.rows)

    async def read_page(self, row_limit: int | None) -> None:
        """
        Read the next page.
        """
        # The first key is inclusive, so continue with the next possible key.
        first_key = f'{self.pages[-1].rows[-1].key}\0' if self.pages else ''
        page = await self._store.read(
            self._table, self._part, first_key=first_key, row_limit=row_limit
        )
        self.pages.append(page)

    def rows(self) -> RowPage:
        """
        Return all rows, with the version and the time of the first page.
        """
        return RowPage(
            rows=_rows_of(self.pages),
            version=self.pages[0].version,
            store_ms=self.pages[0].store_ms,
        )


async def read_partitions(
    store: RecordStore, partitions: Iterable[tuple[str, str]]
) -> list[RowPage]:
    """
    Return all rows of each partition.

    The version and the time are those of the first page.  Rows of later pages
    may be newer.

    Args:
        store: The store.
        partitions: The table and the name of each partition.

    Raises:
        StoreError: No further rows could be read.
    """
    reads = [_PartitionRead(store, *each) for each in partitions]
    error = await _read_pages(reads, _FULL_EFFORT)
    while error is not None:
        page_count = _page_count(reads)
        error = await _read_pages(reads, _SMALL_EFFORT)
        if error is not None and _page_count(reads) == page_count:
            raise error
    return [read.rows() for read in reads]


async def read_all_rows(store: RecordStore, table: str, part: str) -> RowPage:
    """
    Return all rows of a partition; see `read_partitions`.
    """
    pages = await read_partitions(store, [(table, part)])
    return pages[0]


async def _read_pages(
    reads: Iterable[_PartitionRead], effort: _Effort
) -> StoreError | None:
    """
    Read the remaining pages, and return the first error.

    After an error, no further page is requested.
    """
    errors: list[StoreError] = []
    gate = asyncio.Semaphore(effort.parallel_reads)
    await asyncio.gather(
        *(_read_rest(read, effort, gate, errors) for read in reads)
    )
    return errors[0] if errors else None


async def _read_rest(
    read: _PartitionRead,
    effort: _Effort,
    gate: asyncio.Semaphore,
    errors: list[StoreError],
) -> None:
    while not read.is_complete:
        async with gate:
            if errors:
                return
            try:
                await read.read_page(effort.page_rows)
            except StoreError as error:
                errors.append(error)


def _page_count(reads: Iterable[_PartitionRead]) -> int:
    return sum(len(read.pages) for read in reads)


async def read_changes(
    store: RecordStore, table: str, *, after_version: int, wait_ms: int
) -> RowPage:
    """
    Return the rows of a table that changed after a version.

    If the result *has_more*, some changes up to now are still to be read.

    Args:
        store: The store.
        table: The table to read.
        after_version: The last version that the caller has seen.
        wait_ms: How long to wait if there are no changes yet.

    Raises:
        HistoryGoneError: The store no longer has all these changes.
        StoreError: The changes could not be read.
    """
    page = await store.changes(
        table, after_version=after_version, wait_ms=wait_ms
    )
    pages = [page]
    while pages[-1].has_more and len(pages) < _CHANGE_PAGES_MAX:
        pages.append(
            await store.changes(
                table, after_version=pages[-1].version, wait_ms=0
            ),
        )
    return RowPage(
        rows=_rows_of(pages),
        version=pages[-1].version,
        store_ms=pages[-1].store_ms,
        has_more=pages[-1].has_more,
    )


def _rows_of(pages: Iterable[RowPage]) -> tuple[StoredRow, ...]:
    return tuple(row for page in pages for row in page.rows)
