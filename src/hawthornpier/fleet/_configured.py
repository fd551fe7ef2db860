"""
Keeps the operator's configuration in force in this process.
"""

import asyncio
import base64
import binascii
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from hawthornpier.events import DecisionLog
from hawthornpier.fleet._configuration import Configuration
from hawthornpier.fleet._errors import HistoryGoneError
from hawthornpier.fleet._peer_port import FleetPeer
from hawthornpier.fleet._ports import RecordStore, RowPage
from hawthornpier.ports import Clock, PeerError, StoreError

# A feed that went silent is noticed after this time and the slack of the store
# client; the configuration has to be in force within 2.5 s.
_WATCH_WAIT_MS = 1_200
_RETRY_MS = 200
_PEER_COUNT = 2

ConfigurationDecoder = Callable[[bytes], Configuration | None]


@dataclass(frozen=True, slots=True, kw_only=True)
class ConfigurationSource:
    """
    Where the operator's configuration lies in the store.
    """

    table: str
    key: str
    decode: ConfigurationDecoder


class PeerSource(Protocol):
    """
    Where other processes are found.
    """

    def reachable_peers(self) -> list[FleetPeer]:
        """
        Return other processes, the most useful ones first.
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
        peers: PeerSource,
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

    async def run(self) -> None:
        """
        Follow the row for good.
        """
        while True:
            try:
                page = await self._look()
            except StoreError:
                await asyncio.gather(
                    self._ask_peers(),
                    self._clock.sleep_ms(_RETRY_MS),
                )
                continue
            self._version = page.version
            for row in page.rows:
                if row.key == self._source.key and not row.is_deleted:
                    self._take(row.content, 'store')

    async def _look(self) -> RowPage:
        if self._version is None:
            return await self._read()
        try:
            return await self._store.changes(
                self._source.table,
                after_version=self._version,
                wait_ms=_WATCH_WAIT_MS,
            )
        except HistoryGoneError:
            return await self._read()

    async def _read(self) -> RowPage:
        return await self._store.read(
            self._source.table,
            '',
            first_key=self._source.key,
            end_key=f'{self._source.key}\0',
        )

    async def _ask_peers(self) -> None:
        known = self.current.version if self.current else 0
        for peer in self._peers.reachable_peers()[:_PEER_COUNT]:
            try:
                reply = await peer.configuration()
                content = base64.b64decode(reply.content)
            except (PeerError, binascii.Error) as error:
                self._log.record('peer_silent', why=str(error))
                continue
            if reply.version > known:
                self._take(content, peer.card.process_id)

    def _take(self, content: bytes, origin: str) -> None:
        configuration = self._source.decode(content)
        if configuration is None:
            self._log.record('configuration_unreadable', origin=origin)
            return
        if self.current and configuration.version <= self.current.version:
            return
        self.current = configuration
        self.content = content
        self._log.record(
            'configuration_in_force',
            version=configuration.version,
            queues=len(configuration.routes),
            origin=origin,
        )
        self._on_change(configuration)
