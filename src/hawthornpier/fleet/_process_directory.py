"""
The directory of an installation's entry processes, kept in the store.
"""

import asyncio

import msgspec

from hawthornpier.decoding import DecodingError, decode_json
from hawthornpier.events import DecisionLog
from hawthornpier.fleet._errors import HistoryGoneError
from hawthornpier.fleet._ports import RecordStore, RowPage, RowTransaction
from hawthornpier.fleet._row_pages import read_all_rows
from hawthornpier.fleet._writer import ProcessCard
from hawthornpier.ports import Clock, StoreError

PROCESS_TABLE = 'members'
_WATCH_WAIT_MS = 4_000
_RETRY_MS = 300
# A log line names at most this many of the hosts whose entries have changed.
_LOGGED_HOST_COUNT = 5


class ProcessDirectory:
    """
    Registers this process and watches the entries of the others.

    Args:
        store: The platform's store.
        name: The host's name, which is the key of the entry.  A restarted
            process overwrites the entry of the previous one.
        card: The identity of this process.
        clock: The clock of this process.
        log: The log of scheduling decisions.
    """

    def __init__(
        self,
        store: RecordStore,
        *,
        name: str,
        card: ProcessCard,
        clock: Clock,
        log: DecisionLog,
    ) -> None:
        # The registered processes, by host name.
        self.cards: dict[str, ProcessCard] = {}
        self._was_read = asyncio.Event()
        self._store = store
        self._name = name
        self._card = card
        self.clock = clock
        self._log = log
        self._version: int | None = None
        self._is_registered = False
        # The versions of the entries, by host name.
        self._entry_versions: dict[str, int] = {}

    async def run(self) -> None:
        """
        Register this process, then watch the table until cancelled.

        If its entry is removed, because the others believe that it has left,
        it is registered again.
        """
        while True:
            if not self._is_registered:
                await self._register()
                self._is_registered = True
            try:
                page = await self._read_changes()
            except StoreError:
                await self.clock.sleep_ms(_RETRY_MS)
                continue
            self._apply_page(page)
            self._is_registered = self._name in self.cards

    def others(self) -> list[ProcessCard]:
        """
        Return the other registered processes.
        """
        return [card for name, card in self.cards.items() if name != self._name]

    async def remove(self, card: ProcessCard) -> None:
        """
        Remove the entry of a process, unless it has changed.

        Raises:
            StoreError: The entry may not have been removed.
        """
        names = [name for name, each in self.cards.items() if each == card]
        for name in names:
            key = (PROCESS_TABLE, name)
            await self._store.transact(
                RowTransaction(
                    part='',
                    expected={key: self._entry_versions[name]},
                    writes={},
                    removals=(key,),
                ),
            )
            self._log.record('absent_process_removed', host=name)

    async def wait_read(self, timeout_ms: float) -> None:
        """
        Wait until the entries of the others have been read, or some time.

        Args:
            timeout_ms: The longest time to wait.
        """
        try:
            async with asyncio.timeout(timeout_ms / 1000):
                await self._was_read.wait()
        except TimeoutError:
            self._log.record('process_directory_unread')

    async def _register(self) -> None:
        key = (PROCESS_TABLE, self._name)
        while True:
            try:
                page = await self._store.read(
                    PROCESS_TABLE,
                    '',
                    first_key=self._name,
                    end_key=f'{self._name}\0',
                )
                versions = {row.key: row.version for row in page.rows}
                outcome = await self._store.transact(
                    RowTransaction(
                        part='',
                        expected={key: versions.get(self._name, 0)},
                        writes={key: msgspec.json.encode(self._card)},
                    ),
                )
            except StoreError:
                await self.clock.sleep_ms(_RETRY_MS)
                continue
            if outcome.is_applied:
                return

    async def _read_changes(self) -> RowPage:
        if self._version is None:
            return await self._read_all()
        try:
            return await self._store.changes(
                PROCESS_TABLE,
                after_version=self._version,
                wait_ms=_WATCH_WAIT_MS,
            )
        except HistoryGoneError:
            return await self._read_all()

    async def _read_all(self) -> RowPage:
        page = await read_all_rows(self._store, PROCESS_TABLE, '')
        # Entries may have been removed since the last read.
        for name in self.cards.keys() - {row.key for row in page.rows}:
            self._forget(name)
        return page

    def _forget(self, name: str) -> None:
        self.cards.pop(name, None)
        self._entry_versions.pop(name, None)

    def _apply_page(self, page: RowPage) -> None:
        self._version = page.version
        self._was_read.set()
        updated: list[str] = []
        for row in page.rows:
            if row.is_deleted:
                self._forget(row.key)
                continue
            self._entry_versions[row.key] = row.version
            try:
                card = decode_json(row.content, ProcessCard)
            except DecodingError as error:
                self._log.record(
                    'process_row_unreadable',
                    key=row.key,
                    why=str(error),
                )
                continue
            if self.cards.get(row.key) != card:
                self.cards[row.key] = card
                updated.append(row.key)
        if updated:
            # One line for all of them: with a line each, the processes
            # together would log the square of their number.
            self._log.record(
                'entry_processes_updated',
                count=len(updated),
                known=len(self.cards),
                hosts=updated[:_LOGGED_HOST_COUNT],
            )
