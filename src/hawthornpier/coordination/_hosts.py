"""
The workers of each shard and their states.
"""

import enum
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from types import MappingProxyType

from hawthornpier.coordination._rows import shard_of_rack
from hawthornpier.coordination._timings import HostViewTimings
from hawthornpier.messages import EventKind, HostRecord, HostState
from hawthornpier.ports import Clock, EventSink, HostList, PortError


class WorkerState(enum.StrEnum):
    """
    The state of a worker; only a `LIVE` worker may be sent new work.
    """

    LIVE = 'live'
    UNREACHABLE = 'unreachable'
    LEAVING = 'leaving'
    GONE = 'gone'


@dataclass(frozen=True, slots=True, kw_only=True)
class ShardWorker:
    """
    A worker, the shard it belongs to and its state.
    """

    record: HostRecord
    shard: str
    state: WorkerState


@dataclass(slots=True, kw_only=True)
class _Host:
    """
    The reports about one worker.

    *leaving_ms* is when the worker or the host list last reported that the
    worker is leaving, *gone_since_ms* since when it is missing from the list.
    """

    record: HostRecord
    leaving_ms: int | None = None
    gone_since_ms: int | None = None
    is_unreachable: bool = False

    @property
    def state(self) -> WorkerState:
        """
        Return the state that follows from all reports.
        """
        if self.gone_since_ms is not None:
            return WorkerState.GONE
        if self.leaving_ms is not None:
            return WorkerState.LEAVING
        if self.is_unreachable:
            return WorkerState.UNREACHABLE
        return WorkerState.LIVE


_STATE_EVENTS = MappingProxyType(
    {
        WorkerState.LIVE: EventKind.WORKER_JOINED,
        WorkerState.UNREACHABLE: EventKind.WORKER_LOST,
        WorkerState.LEAVING: EventKind.WORKER_LEAVING,
        WorkerState.GONE: EventKind.WORKER_LOST,
    },
)


class HostView:
    """
    Merge the host list, which lags behind, with reports about workers.

    Workers report that they leave, and shard owners report which workers are
    unreachable.

    Args:
        hosts: The platform's host list.
        clock: The clock of this process.
        timings: How often to read the list, and when a worker that was
            leaving is live again.
        shard_count: How many shards each failure domain has.
        on_change: Awaited with each worker whose record or state changed.
        events: Records changes of state.
    """

    def __init__(
        self,
        hosts: HostList,
        clock: Clock,
        timings: HostViewTimings,
        *,
        shard_count: int,
        on_change: Callable[[ShardWorker], Awaitable[None]],
        events: EventSink | None = None,
    ) -> None:
        self._host_list = hosts
        self._clock = clock
        self._timings = timings
        self._shard_count = shard_count
        self._on_change = on_change
        self._events = events
        self._hosts: dict[str, _Host] = {}
        self._last_reported: dict[str, ShardWorker] = {}

    def workers(self, shard: str) -> tuple[ShardWorker, ...]:
        """
        Return the workers of a shard in any state, ordered by id.
        """
        return tuple(
            worker
            for worker in map(self._worker, self._sorted_hosts())
            if worker.shard == shard
        )

    def live_workers(self, shard: str) -> tuple[ShardWorker, ...]:
        """
        Return the workers of a shard that may be sent new work.
        """
        return tuple(
            worker
            for worker in self.workers(shard)
            if worker.state is WorkerState.LIVE
        )

    def state_of(self, worker_id: str) -> WorkerState:
        """
        Return the state of a worker, which is `GONE` for an unknown one.
        """
        host = self._hosts.get(worker_id)
        return WorkerState.GONE if host is None else host.state

    async def run(self) -> None:
        """
        Read the host list periodically until the task is cancelled.
        """
        while True:
            started_ms = self._clock.monotonic_ms()
            await self.refresh()
            elapsed_ms = self._clock.monotonic_ms() - started_ms
            wait_ms = self._timings.read_interval_ms - elapsed_ms
            await self._clock.sleep_ms(max(1, wait_ms))

    async def refresh(self) -> None:
        """
        Read the host list once; if that fails, keep the last listing.
        """
        try:
            listing = await self._host_list.listing()
        except PortError:
            return
        now_ms = self._clock.monotonic_ms()
        listed = {record.worker_id: record for record in listing.hosts}
        for worker_id, host in self._hosts.items():
            if worker_id not in listed and host.gone_since_ms is None:
                host.gone_since_ms = now_ms
        for record in listed.values():
            self._merge(record, now_ms)
        await self._report_changes()

    async def report_leaving(self, worker_id: str) -> None:
        """
        Record that the worker has announced that it leaves.
        """
        host = self._hosts.get(worker_id)
        if host is not None:
            host.leaving_ms = self._clock.monotonic_ms()
            await self._report_changes()

    async def report_unreachable(self, worker_id: str) -> None:
        """
        Record that the worker does not reply.
        """
        await self._set_unreachable(worker_id, is_unreachable=True)

    async def report_reachable(self, worker_id: str) -> None:
        """
        Record that the worker replies again.
        """
        await self._set_unreachable(worker_id, is_unreachable=False)

    def _merge(self, record: HostRecord, now_ms: int) -> None:
        host = self._hosts.get(record.worker_id)
        if host is None:
            host = _Host(record=record)
            self._hosts[record.worker_id] = host
        host.record = record
        if record.state is HostState.LEAVING:
            host.leaving_ms = now_ms
        elif host.leaving_ms is not None and self._is_live_again(host, now_ms):
            host.leaving_ms = None
        host.gone_since_ms = None

    def _is_live_again(self, host: _Host, now_ms: int) -> bool:
        """
        Return whether a worker that was leaving counts as live again.

        A single listing in which it is live is not enough, since that listing
        may be older than the report that the worker leaves.
        """
        if host.gone_since_ms is not None:
            gone_ms = now_ms - host.gone_since_ms
            if gone_ms >= self._timings.gone_settle_ms:
                return True
        leaving_ms = host.leaving_ms or 0
        return now_ms - leaving_ms >= self._timings.live_settle_ms

    async def _set_unreachable(
        self,
        worker_id: str,
        *,
        is_unreachable: bool,
    ) -> None:
        host = self._hosts.get(worker_id)
        if host is not None:
            host.is_unreachable = is_unreachable
            await self._report_changes()

    async def _report_changes(self) -> None:
        for host in self._sorted_hosts():
            worker = self._worker(host)
            worker_id = host.record.worker_id
            previous = self._last_reported.get(worker_id)
            if worker == previous:
                continue
            self._last_reported[worker_id] = worker
            if previous is None or previous.state is not worker.state:
                self._record(worker)
            await self._on_change(worker)

    def _sorted_hosts(self) -> tuple[_Host, ...]:
        return tuple(host for _, host in sorted(self._hosts.items()))

    def _worker(self, host: _Host) -> ShardWorker:
        record = host.record
        return ShardWorker(
            record=record,
            shard=shard_of_rack(
                record.failure_domain,
                record.rack,
                self._shard_count,
            ),
            state=host.state,
        )

    def _record(self, worker: ShardWorker) -> None:
        if self._events is not None:
            self._events.record(
                _STATE_EVENTS[worker.state],
                shard=worker.shard,
                worker_id=worker.record.worker_id,
                detail=worker.state.value,
            )
