"""
The marker row of group commits, for stores that forget transaction ids.
"""

import enum

from hawthornpier.coordination._errors import UnreadableRowError
from hawthornpier.coordination._link import Backoff, read_with_retries
from hawthornpier.coordination._rows import (
    MARKER_PREFIX,
    MarkerRow,
    decode,
    encode,
)
from hawthornpier.messages import ABSENT_VERSION, RowCheck, RowPut
from hawthornpier.ports import TableStore


class TransactionOutcome(enum.Enum):
    """
    The outcome of a transaction whose reply was lost.
    """

    APPLIED = 'applied'
    NOT_APPLIED = 'not_applied'
    UNKNOWN = 'unknown'


class CommitMarker:
    """
    Maintain the row `commit/<shard>`, which every group commit replaces.

    Each commit checks the version of the row.  An attempt that arrives late
    therefore fails, and the row shows which commit was applied last.

    Args:
        shard: The id of the shard.
        epoch: The epoch of this owner.
        store: The store.
        backoff: The delays between attempts to read.
    """

    def __init__(
        self,
        shard: str,
        epoch: int,
        store: TableStore,
        backoff: Backoff,
    ) -> None:
        self._key = MARKER_PREFIX + shard
        self._epoch = epoch
        self._store = store
        self._backoff = backoff
        self._version = ABSENT_VERSION
        self._row = MarkerRow(epoch=0, sequence=0)
        self._is_read = False
        self._is_unreadable = False

    async def prepare(self, sequence: int) -> tuple[RowCheck, RowPut]:
        """
        Return the check and the write of the marker row for a commit.

        Args:
            sequence: The number of the commit within the epoch.
        """
        if not self._is_read:
            await self._read()
        check = RowCheck(key=self._key, version=self._version)
        return check, RowPut(
            key=self._key, text=encode(self._next_row(sequence))
        )

    def record_commit(self, sequence: int, version: int | None) -> None:
        """
        Record that a commit was applied.

        Args:
            sequence: The number of the commit within the epoch.
            version: The new version of the marker row, or None if it is
                unknown; the row is then read before the next commit.
        """
        self._row = self._next_row(sequence)
        self._version = version or ABSENT_VERSION
        self._is_read = version is not None

    def find_version(self, versions: dict[str, int]) -> int | None:
        """
        Return the version of the marker row, if it is in *versions*.
        """
        return versions.get(self._key)

    async def read_outcome(self, sequence: int) -> TransactionOutcome:
        """
        Read whether the commit *sequence* of this epoch was applied.

        The row holds this information until two later owners have each
        replaced it; after that, or if the row is unreadable, the outcome is
        `UNKNOWN`.
        """
        await self._read()
        if self._is_unreadable:
            return TransactionOutcome.UNKNOWN
        searched = (self._epoch, sequence)
        last = (self._row.epoch, self._row.sequence)
        previous = (self._row.previous_epoch, self._row.previous_sequence)
        if searched in {last, previous}:
            return TransactionOutcome.APPLIED
        if previous[0] > self._epoch:
            return TransactionOutcome.UNKNOWN
        return TransactionOutcome.NOT_APPLIED

    async def _read(self) -> None:
        row = await read_with_retries(self._store, self._key, self._backoff)
        self._is_read = True
        self._version = ABSENT_VERSION
        self._row = MarkerRow(epoch=0, sequence=0)
        self._is_unreadable = False
        if row is None:
            return
        self._version = row.version
        try:
            self._row = decode(row, MarkerRow)
        except UnreadableRowError:
            # The next commit replaces the row, so that earlier owners find
            # the outcome of their last commit unknown.
            self._is_unreadable = True
            self._row = MarkerRow(
                epoch=self._epoch,
                sequence=0,
                previous_epoch=self._epoch,
            )

    def _next_row(self, sequence: int) -> MarkerRow:
        row = self._row
        is_first = row.epoch != self._epoch
        return MarkerRow(
            epoch=self._epoch,
            sequence=sequence,
            previous_epoch=row.epoch if is_first else row.previous_epoch,
            previous_sequence=(
                row.sequence if is_first else row.previous_sequence
            ),
        )
