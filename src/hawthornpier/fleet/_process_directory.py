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
        self._clock = clock
        self._log = log
        self._version: int | None = None

    async def run(self) -> None:
        """
        Register this process, then watch the table until cancelled.
        """
        await self._register()
        while True:
            try:
                page = await self._read_changes()
            except StoreError:
                await self._clock.sleep_ms(_RETRY_MS)
                continue
            self._apply_page(page)

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
                await self._clock.sleep_ms(_RETRY_MS)
                continue
            if outcome.is_applied:
                return

    async def _read_changes(self) -> RowPage:
        if self._version is None:
            return await read_all_rows(self._store, PROCESS_TABLE, '')
        try:
            return await self._store.changes(
                PROCESS_TABLE,
                after_version=self._version,
                wait_ms=_WATCH_WAIT_MS,
            )
        except HistoryGoneError:
            return await read_all_rows(self._store, PROCESS_TABLE, '')

    def _apply_page(self, page: RowPage) -> None:
        self._version = page.version
        self._was_read.set()
        updated: list[str] = []
        for row in page.rows:
            if row.is_deleted:
                self.cards.pop(row.key, None)
                continue
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
