"""
The owner's connections to relays.
"""

import asyncio
from collections.abc import Callable, Container, Iterable
from functools import partial
from typing import Protocol

from hawthornpier.events import DecisionLog
from hawthornpier.fleet._errors import error_text
from hawthornpier.fleet._host_size import effective_cores
from hawthornpier.fleet._parts import run_part
from hawthornpier.fleet._ports import (
    FleetWorker,
    WorkerDialer,
    WorkerEntry,
)
from hawthornpier.fleet._relay_assignment import (
    WorkerPlace,
    assign_relays,
    needs_relays,
)
from hawthornpier.fleet._relay_channel import RelayChannel, RelaySocket
from hawthornpier.fleet._relay_delays import RelayDelays
from hawthornpier.fleet._relayed_worker import RelayedWorker
from hawthornpier.fleet._timings import WorkerTimings
from hawthornpier.fleet._writer import ProcessCard
from hawthornpier.ports import Clock, PeerError

_REFRESH_INTERVAL_MS = 500.0
_RECONNECT_MS = 300.0
# Requests to workers wait at most this long for the first connections of a new
# owner; after that, the owner contacts the workers itself.
_FIRST_CONNECTIONS_MS = 800.0
# A worker that the owner did not reach itself has relays for this long.
_UNREACHED_MS = 8_000.0


class RelayConnector(Protocol):
    """
    Opens connections to relays.
    """

    async def __call__(self, address: str) -> RelaySocket:
        """
        Connect to the entry process at an address.

        Raises:
            PeerError: It could not be reached.
        """
        ...


class RelayPool:
    """
    Keeps connections to the relays that the owner's workers need.

    Args:
        connect: Opens a connection to a relay.
        dial: Creates a client that contacts a worker without a relay.
        card: The identity of this process.
        cards: Returns the entry processes.
        timings: Durations and limits of requests to workers.
        clock: The clock of this process.
        log: The log of scheduling decisions.
    """

    def __init__(
        self,
        connect: RelayConnector,
        dial: WorkerDialer,
        *,
        card: ProcessCard,
        cards: Callable[[], Iterable[ProcessCard]],
        timings: WorkerTimings,
        clock: Clock,
        log: DecisionLog,
    ) -> None:
        self.timings = timings
        self._connect = connect
        self._dial = dial
        self._card = card
        self._cards = cards
        self.clock = clock
        self._log = log
        self._assigned: dict[str, tuple[str, ...]] = {}
        self._channels: dict[str, RelayChannel] = {}
        self._keepers: dict[str, asyncio.Task[None]] = {}
        self._tried: set[str] = set()
        # Addresses to which the last attempt to connect has failed.
        self._unreachable: set[str] = set()
        self._delays = RelayDelays(clock)
        # Addresses of relays that are used only where there is no other.
        self._slow: set[str] = set()
        # Until when workers have relays because the owner did not reach them.
        self._unreached_until_ms: dict[str, float] = {}
        self._is_ready = asyncio.Event()

    def dial(self, entry: WorkerEntry) -> FleetWorker:
        """
        Return a client of a worker that uses a relay while there is one.
        """
        return RelayedWorker(entry, self, self._dial)

    def add_unreached(self, worker_id: str) -> None:
        """
        Find relays for a worker that does not reply to the owner itself.

        It may be parted from the owner's host only.
        """
        self._unreached_until_ms[worker_id] = (
            self.clock.monotonic_ms() + _UNREACHED_MS
        )

    async def run(self, places: Callable[[], Iterable[WorkerPlace]]) -> None:
        """
        Keep the connections until cancelled.

        Args:
            places: Returns the workers of the shard.
        """
        try:
            while True:
                self._refresh(tuple(places()))
                await self.clock.sleep_ms(_REFRESH_INTERVAL_MS)
        finally:
            for keeper in self._keepers.values():
                keeper.cancel()

    async def channel(
        self, worker_id: str, avoided: Container[RelayChannel]
    ) -> RelayChannel | None:
        """
        Return the connection to a worker's relay, or None if it has none.

        Args:
            worker_id: The worker.
            avoided: Connections that are not returned.
        """
        if not self._is_ready.is_set():
            try:
                async with asyncio.timeout(_FIRST_CONNECTIONS_MS / 1000):
                    await self._is_ready.wait()
            except TimeoutError:
                self._is_ready.set()
        addresses = self._assigned.get(worker_id, ())
        for address in sorted(addresses, key=self._slow.__contains__):
            channel = self._channels.get(address)
            if channel is None or channel in avoided:
                continue
            if channel.is_open and not channel.is_leaving:
                return channel
        return None

    def _refresh(self, places: tuple[WorkerPlace, ...]) -> None:
        self._find_slow_relays()
        self._assigned = assign_relays(
            self._relayed_places(places),
            self._cards(),
            own_address=self._card.address,
            unusable=self._unreachable | self._slow,
        )
        wanted = {
            address
            for addresses in self._assigned.values()
            for address in addresses
        }
        for address in self._keepers.keys() - wanted:
            channel = self._channels.get(address)
            # Otherwise its last calls are answered first.
            if channel is None or channel.is_idle:
                self._keepers.pop(address).cancel()
        for address in wanted - self._keepers.keys():
            self._keepers[address] = asyncio.ensure_future(
                self._keep_connected(address),
            )
        self._update_readiness()

    def _find_slow_relays(self) -> None:
        slow = self._delays.slow_relays()
        for address in slow.keys() - self._slow:
            self._log.record(
                'relay_slow', address=address, delay_ms=int(slow[address])
            )
        self._slow = set(slow)

    def _relayed_places(
        self, places: tuple[WorkerPlace, ...]
    ) -> tuple[WorkerPlace, ...]:
        now_ms = self.clock.monotonic_ms()
        self._unreached_until_ms = {
            worker_id: until_ms
            for worker_id, until_ms in self._unreached_until_ms.items()
            if now_ms < until_ms
        }
        if needs_relays(len(places), effective_cores(self._card)):
            return places
        return tuple(
            place
            for place in places
            if place.worker_id in self._unreached_until_ms
        )

    async def _keep_connected(self, address: str) -> None:
        while True:
            try:
                await run_part(partial(self._connect_once, address))
            except PeerError as error:
                self._unreachable.add(address)
                self._log.record(
                    'relay_unreachable', address=address, why=str(error)
                )
            except Exception as error:
                # This relay would otherwise not be used any more.
                self._log.record(
                    'relay_failed', address=address, why=error_text(error)
                )
            self._tried.add(address)
            self._update_readiness()
            await self.clock.sleep_ms(_RECONNECT_MS)

    async def _connect_once(self, address: str) -> None:
        await self._use(address, await self._connect(address))

    async def _use(self, address: str, socket: RelaySocket) -> None:
        channel = RelayChannel(
            socket,
            self.clock,
            on_delay=partial(self._delays.record, address),
        )
        self._channels[address] = channel
        self._unreachable.discard(address)
        self._tried.add(address)
        self._update_readiness()
        self._log.record('relay_connected', address=address)
        try:
            why = await channel.run()
        finally:
            self._channels.pop(address, None)
        self._log.record('relay_lost', address=address, why=why)

    def _update_readiness(self) -> None:
        if self._keepers.keys() <= self._tried:
            self._is_ready.set()
