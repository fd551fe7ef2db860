"""
Tracking of the operator's configuration by an entry process.
"""

import asyncio
import base64
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

# Long-polling timeout of a request for changes.  If the store stops responding,
# the request fails after this time plus the slack that the store client adds.
# A new configuration must be in force within 2.5 s.
_WATCH_WAIT_MS = 1_200
_RETRY_MS = 200
_MAX_PEER_REQUESTS = 2
# Long-polling timeout of a request for a newer configuration to a reader, a
# process that reads the configuration from the store.
_READER_WAIT_MS = 800
# A reader's reply is not accepted as current if the store confirmed the
# reader's version longer ago than this.
_MAX_CONFIRMATION_AGE_MS = 2_200.0
_NEVER_CONFIRMED_MS = 10.0**9

ConfigurationDecoder = Callable[[bytes], Configuration | None]


@dataclass(frozen=True, slots=True, kw_only=True)
class ConfigurationSource:
    """
    The row of the store that contains the operator's configuration.
    """

    table: str
    key: str
    decode: ConfigurationDecoder


class PeerDirectory(Protocol):
    """
    Provides clients of other entry processes.
    """

    def reachable_peers(self) -> list[FleetPeer]:
        """
        Return the other processes; those to try first come first.
        """
        ...

    def configuration_readers(self) -> list[FleetPeer]:
        """
        Return the readers from which this process gets the configuration.

        The list is empty if this process reads it from the store itself.
        """
        ...


class ConfigurationWatch:
    """
    Keeps the newest version of the operator's configuration.

    A few processes, the readers, read the configuration from the store, and
    the others request it from up to two of the readers.  If neither has a
    current version, this process reads it from the store too.  If the store
    fails, it requests the configuration from up to two other processes.  The
    version in force never decreases.
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
        # When the store last confirmed, to this process or to the reader that
        # it follows, that the version in force is current.
        self._confirmed_ms: float | None = None
        self._changed = asyncio.Event()
        self._encoded_content = ''
        self._reader_index = 0

    async def run(self) -> None:
        """
        Track the configuration until cancelled.
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
        Return the configuration once its version exceeds another.

        Args:
            after_version: The version that the requesting process has.
            wait_ms: The longest time to wait for a higher version; after that,
                the reply has no content.
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
            compressed = zlib.compress(self.content, level=1)
            self._encoded_content = base64.b64encode(compressed).decode()
        return self._encoded_content

    async def _follow_readers(self, readers: list[FleetPeer]) -> bool:
        """
        Wait for a newer version at one of the readers.

        Returns:
            Whether a reader replied whose version is current.
        """
        for _ in range(_MAX_PEER_REQUESTS):
            reader = readers[self._reader_index % len(readers)]
            reply = await self._request_from(reader, _READER_WAIT_MS)
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
            # Read the row next time: the feed would return every version that
            # was written in the meantime.
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
        Request a newer version from a peer and apply it.

        Returns:
            The reply, or None if there was none or it was unreadable.
        """
        current_version = self._current_version
        try:
            reply = await peer.configuration(current_version, wait_ms)
            compressed = base64.b64decode(reply.content)
            content = zlib.decompress(compressed) if compressed else b''
        except (PeerError, ValueError, zlib.error) as error:
            self._log.record(
                'peer_configuration_request_failed', why=str(error)
            )
            return None
        if reply.version > current_version and content:
            self._apply(content, peer.card.process_id)
        # A reader whose version cannot be used would reply at once for ever.
        return reply if reply.version <= self._current_version else None

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
