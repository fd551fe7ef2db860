"""
The owner's connections to relays, and the clients of workers behind them.
"""

import asyncio
import collections
from collections.abc import Callable, Container, Iterable
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
from hawthornpier.ports import (
    Clock,
    PeerError,
    WorkerError,
    WorkerReplyLostError,
)

_REFRESH_INTERVAL_MS = 500.0
_RECONNECT_MS = 300.0
# Requests to workers wait at most this long for the first connections of a new
# owner; after that, the owner contacts the workers itself.
_FIRST_CONNECTIONS_MS = 800.0
# The relay detects a lost reply first; this is added to its time limit.
_RELAY_SLACK_MS = 200.0
# After as many calls in a row without a reply, a worker is reached another way
# for this long: the relay may be parted from it.
_MAX_FAILURE_COUNT = 2
_AVOIDANCE_MS = 3_000.0


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
        for address in self._assigned.get(worker_id, ()):
            channel = self._channels.get(address)
            if channel is None or channel in avoided:
                continue
            if channel.is_open and not channel.is_leaving:
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
            channel = self._channels.get(address)
            # Otherwise its last calls are answered first.
            if channel is None or channel.is_idle:
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
            await self.clock.sleep_ms(_RECONNECT_MS)

    async def _connect_once(self, address: str) -> None:
        await self._use(address, await self._connect(address))

    async def _use(self, address: str, socket: RelaySocket) -> None:
        channel = RelayChannel(socket, self.clock)
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
    while no relay is connected or none of them seems to reach it.

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
        # By connection: its calls in a row without a reply.
        self._failure_counts: collections.Counter[RelayChannel] = (
            collections.Counter()
        )
        # Until when connections are not used, by the monotonic clock.
        self._avoided_until_ms: dict[RelayChannel, float] = {}

    async def renew(self, renewal: Renewal) -> WorkerListing | Verdict:
        """
        Renew the lease.

        Returns:
            The running and ended runs, or why the renewal was rejected.
        """
        channel = await self._current_channel()
        if channel is None:
            return await self._direct_client().renew(renewal)
        reply = await self._call(
            channel,
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

    async def stop(self, task_key: str, attempt: int, epoch: int) -> OrderReply:
        """
        Stop a run, and prevent this and lower attempts from starting.
        """
        channel = await self._current_channel()
        if channel is None:
            return await self._direct_client().stop(task_key, attempt, epoch)
        return await self._send_order(
            channel,
            StopOrder(task_key=task_key, attempt=attempt, epoch=epoch),
        )

    async def pace(
        self,
        task_key: str,
        attempt: int,
        percent: int,
        epoch: int,
    ) -> OrderReply:
        """
        Throttle a run to a percentage of its full speed.
        """
        channel = await self._current_channel()
        if channel is None:
            direct = self._direct_client()
            return await direct.pace(task_key, attempt, percent, epoch)
        return await self._send_order(
            channel,
            SpeedOrder(
                task_key=task_key,
                attempt=attempt,
                percent=percent,
                epoch=epoch,
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
        reply = await self._call(
            channel,
            order,
            self._pool.timings.order_timeout_ms + _RELAY_SLACK_MS,
        )
        if not isinstance(reply, OrderReply):
            raise WorkerReplyLostError('the relay sent another kind of reply')
        return reply

    async def _call(
        self, channel: RelayChannel, request: Request, timeout_ms: float
    ) -> WorkerListing | OrderReply:
        try:
            reply = await channel.call(self._entry, request, timeout_ms)
        except WorkerError:
            self._record_failure(channel)
            raise
        self._failure_counts.pop(channel, None)
        return reply

    def _record_failure(self, channel: RelayChannel) -> None:
        self._failure_counts[channel] += 1
        if self._failure_counts[channel] >= _MAX_FAILURE_COUNT:
            self._failure_counts.pop(channel)
            self._avoided_until_ms[channel] = (
                self._pool.clock.monotonic_ms() + _AVOIDANCE_MS
            )

    async def _current_channel(self) -> RelayChannel | None:
        now_ms = self._pool.clock.monotonic_ms()
        self._avoided_until_ms = {
            channel: until_ms
            for channel, until_ms in self._avoided_until_ms.items()
            if now_ms < until_ms
        }
        channel = await self._pool.channel(
            self._entry.worker_id, self._avoided_until_ms
        )
        if channel is not self._channel:
            self._leave_channel()
            self._failure_counts.clear()
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
