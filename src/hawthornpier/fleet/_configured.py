"""
Keeps the operator's configuration in force in this process.
"""

import asyncio
import base64
import binascii
import zlib
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from hawthornpier.events import DecisionLog
from hawthornpier.fleet._configuration import Configuration
from hawthornpier.fleet._errors import HistoryGoneError
from hawthornpier.fleet._peer_port import ConfigurationReply, FleetPeer
from hawthornpier.fleet._ports import RecordStore, RowPage
from hawthornpier.ports import Clock, PeerError, StoreError

# A feed that went silent is noticed after this time and the slack of the store
# client; the configuration has to be in force within 2.5 s.
_WATCH_WAIT_MS = 1_200
_RETRY_MS = 200
_MAX_PEER_REQUESTS = 2
# A request for a change waits this long at a reader.
_READER_WAIT_MS = 800
# A reader that has not heard the store for longer is not followed.
_MAX_CONFIRMATION_AGE_MS = 2_200.0
_NEVER_CONFIRMED_MS = 10.0**9

ConfigurationDecoder = Callable[[bytes], Configuration | None]


@dataclass(frozen=True, slots=True, kw_only=True)
class ConfigurationSource:
    """
    Where the operator's configuration lies in the store.
    """

    table: str
    key: str
    decode: ConfigurationDecoder


class PeerDirectory(Protocol):
    """
    Where other processes are found.
    """

    def reachable_peers(self) -> list[FleetPeer]:
        """
        Return other processes, the most useful ones first.
        """
        ...

    def configuration_readers(self) -> list[FleetPeer]:
        """
        Return the processes that read the configuration for this one.
        """
        ...


class ConfigurationWatch:
    """
    Reads each version from the store or, if it is away, from peers.

    The version in force never goes back.
    """

    def __init__(
        self,
        store: RecordStore,
        source: ConfigurationSource,
        *,
        peers: PeerDirectory,
        clock: Clock,
        log: DecisionLog,
        on_change: Callable[[Configuration], None],
    ) -> None:
        self.current: Configuration | None = None
        self.content = b''
        self._store = store
        self._source = source
        self._peers = peers
        self._clock = clock
        self._log = log
        self._on_change = on_change
        self._version: int | None = None
        # When the store last confirmed the version in force.
        self._confirmed_ms: float | None = None
        self._changed = asyncio.Event()
        self._encoded_content = ''
        self._reader_index = 0

    async def run(self) -> None:
        """
        Follow the row for good.
        """
        while True:
            readers = self._peers.configuration_readers()
            if not readers or not await self._follow_readers(readers):
                await self._follow_store()

    async def serve(
        self,
        after_version: int,
        wait_ms: float,
    ) -> ConfigurationReply:
        """
        Return the row in force, once its version is above another.

        Args:
            after_version: The version that the asking process has.
            wait_ms: The longest time to wait for a higher one.
        """
        if self._current_version <= after_version and wait_ms > 0:
            changed = self._changed
            try:
                async with asyncio.timeout(wait_ms / 1000):
                    await changed.wait()
            except TimeoutError:
                pass
        is_newer = self._current_version > after_version
        return ConfigurationReply(
            version=self._current_version,
            content=self._encode_content() if is_newer else '',
            age_ms=self._age_ms(),
        )

    @property
    def _current_version(self) -> int:
        return self.current.version if self.current else 0

    def _age_ms(self) -> float:
        if self._confirmed_ms is None:
            return _NEVER_CONFIRMED_MS
        return self._clock.monotonic_ms() - self._confirmed_ms

    def _encode_content(self) -> str:
        if not self._encoded_content:
            packed = zlib.compress(self.content, level=1)
            self._encoded_content = base64.b64encode(packed).decode()
        return self._encoded_content

    async def _follow_readers(self, readers: list[FleetPeer]) -> bool:
        """
        Wait for a change at one of the readers; tell whether it is current.
        """
        for _ in range(_MAX_PEER_REQUESTS):
            source = readers[self._reader_index % len(readers)]
            reply = await self._request_from(source, _READER_WAIT_MS)
            if reply is not None and reply.age_ms < _MAX_CONFIRMATION_AGE_MS:
                confirmed_ms = self._clock.monotonic_ms() - reply.age_ms
                self._confirmed_ms = confirmed_ms
                return True
            self._reader_index += 1
        return False

    async def _follow_store(self) -> None:
        try:
            page = await self._read_changes()
        except StoreError:
            # A feed would bring every version since then.
            self._version = None
            await asyncio.gather(
                self._request_from_peers(),
                self._clock.sleep_ms(_RETRY_MS),
            )
            return
        self._version = page.version
        self._confirmed_ms = self._clock.monotonic_ms()
        for row in page.rows:
            if row.key == self._source.key and not row.is_deleted:
                self._apply(row.content, 'store')

    async def _read_changes(self) -> RowPage:
        if self._version is None:
            return await self._read_row()
        try:
            return await self._store.changes(
                self._source.table,
                after_version=self._version,
                wait_ms=_WATCH_WAIT_MS,
            )
        except HistoryGoneError:
            return await self._read_row()

    async def _read_row(self) -> RowPage:
        return await self._store.read(
            self._source.table,
            '',
            first_key=self._source.key,
            end_key=f'{self._source.key}\0',
        )

    async def _request_from_peers(self) -> None:
        for peer in self._peers.reachable_peers()[:_MAX_PEER_REQUESTS]:
            await self._request_from(peer, 0)

    async def _request_from(
        self,
        peer: FleetPeer,
        wait_ms: int,
    ) -> ConfigurationReply | None:
        """
        Take in what a peer has; None if it does not answer.
        """
        current_version = self._current_version
        try:
            reply = await peer.configuration(current_version, wait_ms)
            packed = base64.b64decode(reply.content)
            content = zlib.decompress(packed) if packed else b''
        except (PeerError, binascii.Error, zlib.error) as error:
            self._log.record('peer_silent', why=str(error))
            return None
        if reply.version > current_version and content:
            self._apply(content, peer.card.process_id)
        return reply

    def _apply(self, content: bytes, origin: str) -> None:
        configuration = self._source.decode(content)
        if configuration is None:
            self._log.record('configuration_unreadable', origin=origin)
            return
        if self.current and configuration.version <= self.current.version:
            return
        self.current = configuration
        self.content = content
        self._encoded_content = ''
        self._changed.set()
        self._changed = asyncio.Event()
        self._log.record(
            'configuration_in_force',
            version=configuration.version,
            queues=len(configuration.routes),
            origin=origin,
        )
        self._on_change(configuration)
