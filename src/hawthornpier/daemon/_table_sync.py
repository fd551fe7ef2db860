"""
Synchronization of a process's copy of the table with the store.
"""

import asyncio
from collections.abc import Callable, Sequence

from hawthornpier.coordination import TableConfirmation
from hawthornpier.ports import Clock
from hawthornpier.table import (
    Delta,
    Edit,
    TableUnavailableError,
    VersionedTable,
)

_POLL_INTERVAL_MS = 100
# A process whose last confirmation is older than this fraction of *confirm_ms*
# reads the head itself, before it has to stop admitting work.
_STALE_FRACTION = 0.5


class TableSync:
    """
    Keeps the table of a process up to date and confirmed.

    One process of each failure domain, the reader, regularly reads the table's
    head row from the store.  The others learn of new versions from heartbeats.

    Args:
        table: The table of this process.
        confirmation: Decides whether the table is recent enough.
        clock: The clock of this process.
        read_interval_ms: How often the reader reads the head.
        confirm_ms: The age of a confirmation up to which it is valid.
        is_reader: Returns whether this process is the reader of its failure
            domain.
        newest_version: Returns the highest version in the heartbeats received.
        on_change: Called after the version has changed.
    """

    def __init__(
        self,
        *,
        table: VersionedTable,
        confirmation: TableConfirmation,
        clock: Clock,
        read_interval_ms: int,
        confirm_ms: int,
        is_reader: Callable[[], bool],
        newest_version: Callable[[], int],
        on_change: Callable[[], None],
    ) -> None:
        self._table = table
        self._confirmation = confirmation
        self._clock = clock
        self._read_interval_ms = read_interval_ms
        self._confirm_ms = confirm_ms
        self._is_reader = is_reader
        self._newest_version = newest_version
        self._on_change = on_change
        self._last_read_ms: int | None = None
        self._known_version = 0

    async def run(self) -> None:
        """
        Refresh the table whenever it is due, until the task is cancelled.
        """
        while True:
            if self._is_read_due():
                await self.refresh()
            await self._clock.sleep_ms(_POLL_INTERVAL_MS)

    async def refresh(self) -> None:
        """
        Read the table's head and the edits after the version held here.
        """
        sent_ms = self._clock.monotonic_ms()
        self._last_read_ms = sent_ms
        try:
            version = await self._table.refresh()
        except TableUnavailableError:
            return
        self._confirmation.record_head(version, sent_ms)
        self._record_version()

    async def edit(
        self,
        edits: Sequence[Edit],
        *,
        member: str,
        base_version: int,
    ) -> Delta:
        """
        Edit the table and wait until a majority of the processes has the edit.

        The wait ends at the latest after *confirm_ms*.

        Raises:
            TableError: The edit was not accepted, or its outcome is unknown.
        """
        delta = await self._table.edit(
            edits,
            member=member,
            base_version=base_version,
        )
        await self._wait_for_majority(delta)
        return delta

    async def approve(
        self,
        subject: str,
        *,
        member: str,
        base_version: int,
    ) -> Delta:
        """
        Record an approval and wait until a majority of the processes has it.

        The wait ends at the latest after *confirm_ms*.

        Raises:
            TableError: The approval was not accepted, or its outcome is
                unknown.
        """
        delta = await self._table.approve(
            subject,
            member=member,
            base_version=base_version,
        )
        await self._wait_for_majority(delta)
        return delta

    async def _wait_for_majority(self, delta: Delta) -> None:
        """
        Wait until a majority has the version, but at most *confirm_ms*.

        After that time a process without the version is no longer confirmed
        and admits no work.
        """
        self._record_version()
        try:
            async with asyncio.timeout(self._confirm_ms / 1000):
                while not self._confirmation.is_known_to_majority(
                    delta.version,
                ):
                    await self._clock.sleep_ms(_POLL_INTERVAL_MS / 4)
        except TimeoutError:
            return

    def _is_read_due(self) -> bool:
        if self._newest_version() > self._table.version:
            return True
        if self._last_read_ms is None:
            return True
        elapsed_ms = self._clock.monotonic_ms() - self._last_read_ms
        if elapsed_ms < self._read_interval_ms:
            return False
        age_ms = self._confirmation.age_ms
        is_stale = age_ms is None or age_ms > self._confirm_ms * _STALE_FRACTION
        return is_stale or self._is_reader()

    def _record_version(self) -> None:
        version = self._table.version
        self._confirmation.record_version(version)
        if version != self._known_version:
            self._known_version = version
            self._on_change()
