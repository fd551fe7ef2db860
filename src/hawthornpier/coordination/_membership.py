"""
Heartbeats between processes, and the suspicion of peers.
"""

import asyncio
from collections.abc import Callable
from dataclasses import replace

from hawthornpier.coordination._directory import ProcessDirectory
from hawthornpier.coordination._peers import (
    LoadMap,
    PeerState,
    PeerView,
    merge_loads,
    peer_from_heartbeat,
    peer_from_row,
)
from hawthornpier.coordination._rows import ProcessIdentity
from hawthornpier.coordination._timings import MembershipTimings
from hawthornpier.messages import (
    EventKind,
    Heartbeat,
    HeartbeatReply,
    ShardLoad,
)
from hawthornpier.ports import ActiveTime, Clock, EventSink, PeerError, PeerPort


class Membership:
    """
    Exchange heartbeats with peers, with one task for each peer.

    Within a failure domain all processes exchange heartbeats with each other.
    Between domains only their readers do, and each relays the loads of its
    domain (see `reader_of`).  With `MembershipTimings.is_full_mesh`, all
    processes of all domains exchange heartbeats.

    Args:
        identity: The id, address and location of this process.
        clock: The clock of this process.
        timings: The intervals of heartbeats and the time to suspicion.
        directory: The process rows, in which peers are discovered.
        connect: Returns the port to the process at an address.
        describe: Returns a heartbeat of this process with the loads of the
            shards that it owns.
        on_reply: Called with each reply and the monotonic time, by the clock
            of this process, before the heartbeat was sent.
        events: Records peers that join or are suspected.
    """

    def __init__(
        self,
        identity: ProcessIdentity,
        clock: Clock,
        timings: MembershipTimings,
        directory: ProcessDirectory,
        *,
        connect: Callable[[str], PeerPort],
        describe: Callable[[], Heartbeat],
        on_reply: Callable[[Heartbeat, int], None] | None = None,
        events: EventSink | None = None,
    ) -> None:
        self._identity = identity
        self._clock = clock
        self._timings = timings
        self._directory = directory
        self._connect = connect
        self._describe = describe
        self._on_reply = on_reply
        self._events = events
        self._active_clock = ActiveTime(clock, timings.tick_ms * 2)
        self._peers: dict[str, PeerState] = {}
        self._tasks: dict[str, asyncio.Task[None]] = {}
        self._loads = LoadMap(identity.failure_domain, timings.load_expiry_ms)
        self._table_version_seen = 0

    def peers(self) -> tuple[PeerView, ...]:
        """
        Return all known peers, ordered by id.
        """
        return tuple(
            peer.view(self._is_live(peer))
            for _, peer in sorted(self._peers.items())
        )

    def live_peers(self) -> tuple[PeerView, ...]:
        """
        Return the peers that may be sent work: the live ones not leaving.
        """
        return tuple(
            view
            for view in self.peers()
            if view.is_live and not view.is_leaving
        )

    def reader_of(self, failure_domain: str) -> str:
        """
        Return the id of the reader of a failure domain, or ''.

        This is the process with the lowest id among those of the domain that
        are live and not leaving.
        """
        ids = [
            view.process_id
            for view in self.live_peers()
            if view.failure_domain == failure_domain
        ]
        if failure_domain == self._identity.failure_domain:
            ids.append(self._identity.process_id)
        return min(ids, default='')

    def loads(self) -> tuple[ShardLoad, ...]:
        """
        Return the loads of all known shards, ordered by shard id.
        """
        learned = self._loads.recent_loads(self._active_clock.read_ms())
        return merge_loads(self._describe().loads, learned)

    def table_version_seen(self) -> int:
        """
        Return the highest table version in any received heartbeat.
        """
        return self._table_version_seen

    def observe(self, heartbeat: Heartbeat) -> None:
        """
        Update the state of a peer from its heartbeat.

        A heartbeat that is older than one already received is ignored.
        """
        if heartbeat.process_id == self._identity.process_id:
            return
        peer = self._peers.get(heartbeat.process_id)
        if peer is None:
            peer = peer_from_heartbeat(heartbeat)
            self._peers[heartbeat.process_id] = peer
        if peer.is_outdated(heartbeat):
            return
        if peer.heard_ms is None or peer.is_suspected:
            _record(self._events, EventKind.PEER_JOINED, peer)
        active_ms = self._active_clock.read_ms()
        peer.update(heartbeat, active_ms)
        self._table_version_seen = max(
            self._table_version_seen,
            heartbeat.table_version,
        )
        domain = self._identity.failure_domain
        is_relayed = self.reader_of(domain) == peer.process_id
        self._loads.record_loads(
            heartbeat.loads,
            active_ms,
            is_from_owner=peer.failure_domain == domain and not is_relayed,
        )

    def reply_to(self, heartbeat: Heartbeat) -> HeartbeatReply:
        """
        Update the state of a peer and reply with a heartbeat to it.
        """
        self.observe(heartbeat)
        return HeartbeatReply(
            heartbeat=self._build_heartbeat(heartbeat.failure_domain),
        )

    async def run(self) -> None:
        """
        Exchange heartbeats until the task is cancelled.
        """
        try:
            async with asyncio.TaskGroup() as group:
                while True:
                    self._update_peers()
                    self._update_tasks(group)
                    await self._clock.sleep_ms(self._timings.tick_ms)
        finally:
            # The tasks have ended; the next run starts them again.
            for process_id in tuple(self._tasks):
                self._stop_heartbeats(process_id)

    def _update_peers(self) -> None:
        """
        Discover peers in the process rows, and suspect overdue peers.

        A suspected peer without a process row is removed.
        """
        processes = self._directory.processes
        for process_id in processes.keys() - {self._identity.process_id}:
            observed = processes[process_id]
            peer = self._peers.setdefault(process_id, peer_from_row(observed))
            if peer.incarnation == observed.row.incarnation:
                peer.is_leaving = peer.is_leaving or observed.row.is_leaving
        for known in tuple(self._peers.values()):
            self._suspect_if_overdue(known)
            if known.is_suspected and known.process_id not in processes:
                self._stop_heartbeats(known.process_id)
                self._peers.pop(known.process_id)

    def _suspect_if_overdue(self, peer: PeerState) -> None:
        limit_ms = self._timings.suspect_after_ms
        if peer.is_suspected:
            return
        if peer.is_overdue(self._active_clock.read_ms(), limit_ms):
            peer.is_suspected = True
            _record(self._events, EventKind.PEER_SUSPECTED, peer)

    def _update_tasks(self, group: asyncio.TaskGroup) -> None:
        """
        Run one heartbeat task for each peer that gets heartbeats.
        """
        for ended_id, task in tuple(self._tasks.items()):
            # A library may have cancelled a call of the task.
            if task.done():
                self._stop_heartbeats(ended_id)
        targets = {
            peer.process_id: peer
            for peer in self._peers.values()
            if self._is_heartbeat_target(peer)
        }
        for old_id in self._tasks.keys() - targets.keys():
            self._stop_heartbeats(old_id)
        for new_id in sorted(targets.keys() - self._tasks.keys()):
            peer = targets[new_id]
            peer.watched_since_ms = self._active_clock.read_ms()
            self._tasks[new_id] = group.create_task(self._send_heartbeats(peer))

    def _stop_heartbeats(self, process_id: str) -> None:
        task = self._tasks.pop(process_id, None)
        if task is not None:
            task.cancel()
            self._peers[process_id].watched_since_ms = None

    def _is_heartbeat_target(self, peer: PeerState) -> bool:
        """
        Return whether this process sends heartbeats to the peer.

        Without a full mesh, only the reader of a failure domain sends
        heartbeats to other domains.  They go to the reader there and to all
        processes with lower ids, so that the return of a suspected one is
        detected.
        """
        domain = self._identity.failure_domain
        if self._timings.is_full_mesh or peer.failure_domain == domain:
            return True
        if self.reader_of(domain) != self._identity.process_id:
            return False
        reader = self.reader_of(peer.failure_domain)
        return not reader or peer.process_id <= reader

    async def _send_heartbeats(self, peer: PeerState) -> None:
        interval_ms = self._timings.heartbeat_interval_ms
        if peer.failure_domain != self._identity.failure_domain:
            interval_ms = self._timings.far_interval_ms
        address = peer.address
        port = self._connect(address)
        while True:
            started_ms = self._clock.monotonic_ms()
            if peer.address != address:
                address = peer.address
                port = self._connect(address)
            await self._exchange_heartbeat(port, peer.failure_domain)
            elapsed_ms = self._clock.monotonic_ms() - started_ms
            await self._clock.sleep_ms(max(1, interval_ms - elapsed_ms))

    async def _exchange_heartbeat(
        self, port: PeerPort, failure_domain: str
    ) -> None:
        sent_ms = self._clock.monotonic_ms()
        heartbeat = self._build_heartbeat(failure_domain)
        timeout_ms = self._timings.heartbeat_timeout_ms
        try:
            async with asyncio.timeout(timeout_ms / 1000):
                reply = await port.heartbeat(heartbeat)
        except (PeerError, TimeoutError):
            return
        self.observe(reply.heartbeat)
        if self._on_reply is not None:
            self._on_reply(reply.heartbeat, sent_ms)

    def _build_heartbeat(self, failure_domain: str) -> Heartbeat:
        """
        Return a heartbeat to a process of *failure_domain*.

        A reader adds the loads of other domains for its own domain, and the
        loads of its own domain for others.
        """
        own = self._describe()
        domain = self._identity.failure_domain
        if self.reader_of(domain) != self._identity.process_id:
            return own
        learned = self._loads.recent_loads(
            self._active_clock.read_ms(),
            is_home=failure_domain != domain,
        )
        return replace(own, loads=merge_loads(own.loads, learned))

    def _is_live(self, peer: PeerState) -> bool:
        """
        Return whether the peer counts as live.

        A suspected peer is not live.  A peer that this process sends
        heartbeats to is live unless it is overdue.  Any other peer is live if
        its lease is, or if a heartbeat from it was received recently.
        """
        if peer.is_suspected:
            return False
        active_ms = self._active_clock.read_ms()
        if peer.watched_since_ms is not None:
            return not peer.is_overdue(
                active_ms,
                self._timings.suspect_after_ms,
            )
        if self._directory.is_live(peer.process_id):
            return True
        if peer.heard_ms is None:
            return False
        return active_ms - peer.heard_ms < self._timings.suspect_after_ms


def _record(
    events: EventSink | None,
    kind: EventKind,
    peer: PeerState,
) -> None:
    if events is not None:
        events.record(kind, detail=peer.process_id)
