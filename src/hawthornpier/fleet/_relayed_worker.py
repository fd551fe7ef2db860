"""
The client of a worker that is reached through relays or directly.
"""

import collections
from collections.abc import Awaitable, Container
from typing import Protocol, TypeVar

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
from hawthornpier.fleet._relay_channel import RelayChannel
from hawthornpier.fleet._relay_messages import Request, SpeedOrder, StopOrder
from hawthornpier.fleet._timings import WorkerTimings
from hawthornpier.ports import Clock, WorkerError, WorkerReplyLostError

# The relay detects a lost reply first; this is added to its time limit.
_RELAY_SLACK_MS = 200.0
# After as many calls in a row without a reply, a worker is reached another way
# for this long: the relay may be parted from it.
_MAX_FAILURE_COUNT = 2
_AVOIDANCE_MS = 3_000.0

_Reply = TypeVar('_Reply')


class Relays(Protocol):
    """
    The connections to relays, which all workers share.
    """

    clock: Clock
    timings: WorkerTimings

    async def channel(
        self, worker_id: str, avoided: Container[RelayChannel]
    ) -> RelayChannel | None:
        """
        Return the connection to a worker's relay, or None if it has none.
        """
        ...

    def add_unreached(self, worker_id: str) -> None:
        """
        Find relays for a worker that does not reply to the owner itself.
        """
        ...


class RelayedWorker:
    """
    A client of one incarnation of a worker; implements `FleetWorker`.

    Each request goes through the worker's relay, or straight to the worker
    while no relay is connected or none of them seems to reach it.  A worker
    that does not reply to the owner itself is given relays.

    Args:
        entry: The worker according to the registry.
        pool: The connections to relays.
        dial: Creates a client that contacts the worker without a relay.
    """

    def __init__(
        self,
        entry: WorkerEntry,
        pool: Relays,
        dial: WorkerDialer,
    ) -> None:
        self._entry = entry
        self._pool = pool
        self._dial = dial
        self._channel: RelayChannel | None = None
        self._direct: FleetWorker | None = None
        # By connection, or None for that without a relay: its calls in a row
        # without a reply.
        self._failure_counts: collections.Counter[RelayChannel | None] = (
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
            direct = self._direct_client()
            return await self._watch(None, direct.renew(renewal))
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
            return await self._watch(None, self._direct_client().start(order))
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
            return await self._watch(
                None, direct.stop(task_key, attempt, fencing_token)
            )
        return await self._send_order(
            channel,
            StopOrder(
                task_key=task_key, attempt=attempt, fencing_token=fencing_token
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
            return await self._watch(
                None, direct.pace(task_key, attempt, percent, fencing_token)
            )
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
        return await self._watch(
            channel, channel.call(self._entry, request, timeout_ms)
        )

    async def _watch(
        self, channel: RelayChannel | None, reply: Awaitable[_Reply]
    ) -> _Reply:
        """
        Await a reply, and count the calls in a row that got none.
        """
        try:
            result = await reply
        except WorkerError:
            self._record_failure(channel)
            raise
        self._failure_counts.pop(channel, None)
        return result

    def _record_failure(self, channel: RelayChannel | None) -> None:
        self._failure_counts[channel] += 1
        if self._failure_counts[channel] < _MAX_FAILURE_COUNT:
            return
        self._failure_counts.pop(channel)
        if channel is None:
            self._pool.add_unreached(self._entry.worker_id)
        else:
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
