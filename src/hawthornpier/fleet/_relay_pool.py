"""
The owner's connections to relays, and the clients of workers behind them.
"""

import asyncio
from collections.abc import Callable, Iterable
from functools import partial
from typing import Protocol

from hawthornpier.events import DecisionLog
from hawthornpier.fleet._errors import error_text
from hawthornpier.fleet._parts import run_part
from hawthornpier.fleet._ports import (
    FleetWorker,
    OrderReply,
    Renewal,
    StartOrder,
    Verdict,
    WorkerDialer,
    WorkerEntry,
    WorkerListing,
)
from hawthornpier.fleet._relay_assignment import (
    WorkerPlace,
    assign_relays,
    needs_relays,
)
from hawthornpier.fleet._relay_channel import RelayChannel, RelaySocket
from hawthornpier.fleet._relay_messages import Request, SpeedOrder, StopOrder
from hawthornpier.fleet._timings import WorkerTimings
from hawthornpier.fleet._writer import ProcessCard
from hawthornpier.ports import Clock, PeerError, WorkerReplyLostError

_REFRESH_INTERVAL_MS = 500.0
_RECONNECT_MS = 300.0
# Requests to workers wait at most this long for the first connections of a new
# owner; after that, the owner contacts the workers itself.
_FIRST_CONNECTIONS_MS = 800.0
# The relay detects a lost reply first; this is added to its time limit.
_RELAY_SLACK_MS = 200.0


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
        self._clock = clock
        self._log = log
        self._assigned: dict[str, tuple[str, ...]] = {}
        self._channels: dict[str, RelayChannel] = {}
        self._keepers: dict[str, asyncio.Task[None]] = {}
        self._tried: set[str] = set()
        self._is_ready = asyncio.Event()

    def dial(self, entry: WorkerEntry) -> FleetWorker:
        """
        Return a client of a worker that uses a relay while there is one.
        """
        return RelayedWorker(entry, self, self._dial)

    async def run(self, places: Callable[[], Iterable[WorkerPlace]]) -> None:
        """
        Keep the connections until cancelled.

        Args:
            places: Returns the workers of the shard.
        """
        try:
            while True:
                self._refresh(tuple(places()))
                await self._clock.sleep_ms(_REFRESH_INTERVAL_MS)
        finally:
            for keeper in self._keepers.values():
                keeper.cancel()

    async def channel(self, worker_id: str) -> RelayChannel | None:
        """
        Return the connection to a worker's relay, or None if it has none.
        """
        if not self._is_ready.is_set():
            try:
                async with asyncio.timeout(_FIRST_CONNECTIONS_MS / 1000):
                    await self._is_ready.wait()
            except TimeoutError:
                self._is_ready.set()
        for address in self._assigned.get(worker_id, ()):
            channel = self._channels.get(address)
            if channel and channel.is_open and not channel.is_leaving:
                return channel
        return None

    def _refresh(self, places: tuple[WorkerPlace, ...]) -> None:
        self._assigned = {}
        if needs_relays(len(places), self._card.processor_cores):
            self._assigned = assign_relays(
                places,
                self._cards(),
                own_address=self._card.address,
            )
        wanted = {
            address
            for addresses in self._assigned.values()
            for address in addresses
        }
        for address in self._keepers.keys() - wanted:
            self._keepers.pop(address).cancel()
        for address in wanted - self._keepers.keys():
            self._keepers[address] = asyncio.ensure_future(
                self._keep_connected(address),
            )
        self._update_readiness()

    async def _keep_connected(self, address: str) -> None:
        while True:
            try:
                await run_part(partial(self._connect_once, address))
            except PeerError as error:
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
            await self._clock.sleep_ms(_RECONNECT_MS)

    async def _connect_once(self, address: str) -> None:
        await self._use(address, await self._connect(address))

    async def _use(self, address: str, socket: RelaySocket) -> None:
        channel = RelayChannel(socket, self._clock)
        self._channels[address] = channel
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


class RelayedWorker:
    """
    A client of one incarnation of a worker; implements `FleetWorker`.

    Each request goes through the worker's relay, or straight to the worker
    while no relay is connected.

    Args:
        entry: The worker according to the registry.
        pool: The connections to relays.
        dial: Creates a client that contacts the worker without a relay.
    """

    def __init__(
        self,
        entry: WorkerEntry,
        pool: RelayPool,
        dial: WorkerDialer,
    ) -> None:
        self._entry = entry
        self._pool = pool
        self._dial = dial
        self._channel: RelayChannel | None = None
        self._direct: FleetWorker | None = None

    async def renew(self, renewal: Renewal) -> WorkerListing | Verdict:
        """
        Renew the lease.

        Returns:
            The running and ended runs, or why the renewal was rejected.
        """
        channel = await self._current_channel()
        if channel is None:
            return await self._direct_client().renew(renewal)
        reply = await channel.call(
            self._entry,
            renewal,
            renewal.wait_ms
            + self._pool.timings.renewal_slack_ms
            + _RELAY_SLACK_MS,
        )
        return reply.verdict if isinstance(reply, OrderReply) else reply

    async def start(self, order: StartOrder) -> OrderReply:
        """
        Start a run; repeating the same order has no further effect.
        """
        channel = await self._current_channel()
        if channel is None:
            return await self._direct_client().start(order)
        return await self._send_order(channel, order)

    async def stop(
        self, task_key: str, attempt: int, fencing_token: int
    ) -> OrderReply:
        """
        Stop a run, and prevent this and lower attempts from starting.
        """
        channel = await self._current_channel()
        if channel is None:
            direct = self._direct_client()
            return await direct.stop(task_key, attempt, fencing_token)
        return await self._send_order(
            channel,
            StopOrder(
                task_key=task_key,
                attempt=attempt,
                fencing_token=fencing_token,
            ),
        )

    async def pace(
        self,
        task_key: str,
        attempt: int,
        percent: int,
        fencing_token: int,
    ) -> OrderReply:
        """
        Throttle a run to a percentage of its full speed.
        """
        channel = await self._current_channel()
        if channel is None:
            direct = self._direct_client()
            return await direct.pace(task_key, attempt, percent, fencing_token)
        return await self._send_order(
            channel,
            SpeedOrder(
                task_key=task_key,
                attempt=attempt,
                percent=percent,
                fencing_token=fencing_token,
            ),
        )

    def close(self) -> None:
        """
        Close the connections, also those of the relay.
        """
        self._leave_channel()
        if self._direct is not None:
            self._direct.close()

    async def _send_order(
        self, channel: RelayChannel, order: Request
    ) -> OrderReply:
        reply = await channel.call(
            self._entry,
            order,
            self._pool.timings.order_timeout_ms + _RELAY_SLACK_MS,
        )
        if not isinstance(reply, OrderReply):
            raise WorkerReplyLostError('the relay sent another kind of reply')
        return reply

    async def _current_channel(self) -> RelayChannel | None:
        channel = await self._pool.channel(self._entry.worker_id)
        if channel is not self._channel:
            self._leave_channel()
            self._channel = channel
        return channel

    def _leave_channel(self) -> None:
        if self._channel is not None and self._channel.is_open:
            self._channel.end_contact(self._entry)
        self._channel = None

    def _direct_client(self) -> FleetWorker:
        if self._direct is None:
            self._direct = self._dial(self._entry)
        return self._direct
