"""
Reads of the store that continue after the first page.
"""

from collections.abc import Iterable

from hawthornpier.fleet._ports import RecordStore, RowPage, StoredRow

# Maximum number of pages in one read of changes, so that a table that changes
# faster than its pages are read cannot hold up the reader.
_CHANGE_PAGES_MAX = 20


async def read_all_rows(store: RecordStore, table: str, part: str) -> RowPage:
    """
    Return all rows of a partition.

    The version and the time are those of the first page.  Rows of later pages
    may be newer.
    """
    first = await store.read(table, part)
    pages = [first]
    while pages[-1].has_more and pages[-1].rows:
        # The first key is inclusive, so continue with the next possible key.
        first_key = f'{pages[-1].rows[-1].key}\0'
        pages.append(await store.read(table, part, first_key=first_key))
    return RowPage(
        rows=_rows_of(pages),
        version=first.version,
        store_ms=first.store_ms,
    )


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
