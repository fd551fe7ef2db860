"""
Pending commits, and how they are merged into one transaction.
"""

import asyncio
from collections import deque
from collections.abc import Container, Iterable, Mapping, Sequence
from dataclasses import dataclass

from hawthornpier.coordination._errors import CommitError
from hawthornpier.messages import RowCheck, RowPut, Transaction

Versions = Mapping[str, int]


@dataclass(slots=True, kw_only=True, eq=False)
class PendingCommit:
    """
    A commit whose outcome is not known yet.

    *is_sent* is true once the commit has been part of a transaction that was
    sent to the store, so that it may have been applied.
    """

    puts: tuple[RowPut, ...]
    deletes: tuple[str, ...]
    checks: tuple[RowCheck, ...]
    future: 'asyncio.Future[Versions]'
    is_sent: bool = False

    @property
    def row_count(self) -> int:
        """
        Return how many rows the commit writes or checks.
        """
        return len(self.puts) + len(self.deletes) + len(self.checks)

    @property
    def written_keys(self) -> set[str]:
        """
        Return the keys of all rows that the commit writes or deletes.
        """
        return {put.key for put in self.puts} | set(self.deletes)

    def conflicts_with(
        self,
        written: Container[str],
        versions: Mapping[str, int],
    ) -> bool:
        """
        Return whether a check conflicts with the rest of a transaction.

        Args:
            written: The keys that earlier commits of the transaction write.
            versions: The row versions that the transaction checks already.
        """
        return any(
            check.key in written
            or versions.get(check.key, check.version) != check.version
            for check in self.checks
        )

    def resolve(self, versions: Versions) -> None:
        """
        Complete the commit with the new versions of the rows it wrote.
        """
        if not self.future.done():
            keys = [put.key for put in self.puts if put.key in versions]
            self.future.set_result({key: versions[key] for key in keys})

    def fail(self, error: CommitError) -> None:
        """
        Raise *error* in the task that waits for the commit.
        """
        if not self.future.done():
            self.future.set_exception(error)


def pop_batch(
    queue: deque[PendingCommit], max_row_count: int
) -> list[PendingCommit]:
    """
    Remove from the queue the commits for the next transaction, in order.

    The batch ends before a commit that checks a row written by an earlier
    commit of the batch, because it expects the new version of that row.  It
    also ends before a commit that expects another version of a row than an
    earlier commit does, because a transaction can check only one version.  A
    commit with more than *max_row_count* rows gets a transaction of its own.
    """
    batch: list[PendingCommit] = []
    written: set[str] = set()
    versions: dict[str, int] = {}
    row_count = 0
    while queue:
        entry = queue[0]
        row_count += entry.row_count
        if batch and row_count > max_row_count:
            break
        if entry.conflicts_with(written, versions):
            break
        batch.append(queue.popleft())
        written |= entry.written_keys
        versions.update((check.key, check.version) for check in entry.checks)
    return batch


def drop_abandoned(queue: deque[PendingCommit]) -> None:
    """
    Remove unsent commits whose callers have timed out or were cancelled.
    """
    waiting = [entry for entry in queue if not entry.future.done()]
    queue.clear()
    queue.extend(waiting)


def merge_commits(
    transaction_id: str,
    batch: Sequence[PendingCommit],
    checks: Iterable[RowCheck],
    puts: Iterable[RowPut],
) -> Transaction:
    """
    Build one transaction; if commits write the same row, the last one wins.
    """
    versions = {check.key: check.version for check in checks}
    texts_by_key: dict[str, str | None] = {}
    for entry in batch:
        versions.update((check.key, check.version) for check in entry.checks)
        texts_by_key.update(dict.fromkeys(entry.deletes))
        texts_by_key.update((put.key, put.text) for put in entry.puts)
    texts_by_key.update((put.key, put.text) for put in puts)
    return Transaction(
        transaction_id=transaction_id,
        checks=tuple(
            RowCheck(key=key, version=version)
            for key, version in versions.items()
        ),
        puts=tuple(
            RowPut(key=key, text=text)
            for key, text in texts_by_key.items()
            if text is not None
        ),
        deletes=tuple(
            key for key, text in texts_by_key.items() if text is None
        ),
    )
