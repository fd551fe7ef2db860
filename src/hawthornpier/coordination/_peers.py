"""
The state of each peer, and the loads of all shards.
"""

from collections.abc import Iterable
from dataclasses import dataclass

from hawthornpier.coordination._directory import ObservedProcess
from hawthornpier.coordination._rows import failure_domain_of
from hawthornpier.messages import Heartbeat, ShardLoad


@dataclass(frozen=True, slots=True, kw_only=True)
class PeerView:
    """
    The current state of one peer, as this process has observed it.
    """

    process_id: str
    incarnation: str
    address: str
    region: str
    failure_domain: str
    is_live: bool
    is_leaving: bool
    is_store_out: bool
    table_version: int


@dataclass(slots=True, kw_only=True)
class PeerState:
    """
    The mutable state of one peer.

    *heard_ms* is when its last heartbeat was received, *watched_since_ms*
    since when this process sends heartbeats to it; both are in active time
    (see `ActiveTime`).
    """

    process_id: str
    incarnation: str
    address: str
    region: str
    failure_domain: str
    heard_ms: int | None = None
    watched_since_ms: int | None = None
    is_suspected: bool = False
    is_leaving: bool = False
    heartbeat: Heartbeat | None = None

    def update(self, heartbeat: Heartbeat, active_ms: int) -> None:
        """
        Apply a heartbeat; *is_leaving* stays set within an incarnation.
        """
        if heartbeat.incarnation != self.incarnation:
            self.is_leaving = False
        self.incarnation = heartbeat.incarnation
        self.address = heartbeat.address
        self.region = heartbeat.region
        self.failure_domain = heartbeat.failure_domain
        self.is_leaving = self.is_leaving or heartbeat.is_leaving
        self.is_suspected = False
        self.heard_ms = active_ms
        self.heartbeat = heartbeat

    def is_outdated(self, heartbeat: Heartbeat) -> bool:
        """
        Return whether a later heartbeat has already been applied.
        """
        if self.heartbeat is None:
            return False
        if heartbeat.incarnation != self.incarnation:
            return False
        return _stamp_order(heartbeat) < _stamp_order(self.heartbeat)

    def is_overdue(self, active_ms: int, limit_ms: int) -> bool:
        """
        Return whether no heartbeat was received for *limit_ms*.

        Only a peer that this process sends heartbeats to can be overdue.
        """
        if self.watched_since_ms is None:
            return False
        since_ms = max(self.watched_since_ms, self.heard_ms or 0)
        return active_ms - since_ms >= limit_ms

    def view(self, is_live: bool) -> PeerView:
        """
        Return an immutable copy of the state.
        """
        last = self.heartbeat
        return PeerView(
            process_id=self.process_id,
            incarnation=self.incarnation,
            address=self.address,
            region=self.region,
            failure_domain=self.failure_domain,
            is_live=is_live,
            is_leaving=self.is_leaving,
            is_store_out=last is not None and last.is_store_out,
            table_version=0 if last is None else last.table_version,
        )


def peer_from_row(observed: ObservedProcess) -> PeerState:
    """
    Return the state of a peer that is known only from its process row.
    """
    return PeerState(
        process_id=observed.process_id,
        incarnation=observed.row.incarnation,
        address=observed.row.address,
        region=observed.row.region,
        failure_domain=observed.row.failure_domain,
        is_leaving=observed.row.is_leaving,
    )


def peer_from_heartbeat(heartbeat: Heartbeat) -> PeerState:
    """
    Return the state of a peer that is known only from its heartbeat.
    """
    return PeerState(
        process_id=heartbeat.process_id,
        incarnation=heartbeat.incarnation,
        address=heartbeat.address,
        region=heartbeat.region,
        failure_domain=heartbeat.failure_domain,
    )


@dataclass(frozen=True, slots=True, kw_only=True)
class _KnownLoad:
    load: ShardLoad
    learned_ms: int
    is_home: bool


class LoadMap:
    """
    The loads of all shards, from heartbeats.

    The load with the newest epoch is kept, and among equal epochs the one
    that was received last.

    Args:
        failure_domain: The failure domain of this process.
        expiry_ms: The active time after which a load is no longer returned.
    """

    def __init__(self, failure_domain: str, expiry_ms: int) -> None:
        self._failure_domain = failure_domain
        self._expiry_ms = expiry_ms
        self._known_loads: dict[str, _KnownLoad] = {}

    def record_loads(
        self,
        loads: Iterable[ShardLoad],
        active_ms: int,
        *,
        is_from_owner: bool,
    ) -> None:
        """
        Record the loads from a heartbeat.

        Args:
            loads: The loads.
            active_ms: The active time at which the heartbeat was received.
            is_from_owner: Whether the sender is a process of the own failure
                domain that relays no loads, so that it owns these shards.
        """
        for load in loads:
            known = self._known_loads.get(load.shard)
            if known is not None and known.load.epoch > load.epoch:
                continue
            domain = failure_domain_of(load.shard)
            self._known_loads[load.shard] = _KnownLoad(
                load=load,
                learned_ms=active_ms,
                is_home=is_from_owner or domain == self._failure_domain,
            )

    def recent_loads(
        self,
        active_ms: int,
        *,
        is_home: bool | None = None,
    ) -> tuple[ShardLoad, ...]:
        """
        Return the loads that have not expired, ordered by shard id.

        Args:
            active_ms: The current active time.
            is_home: Limits the result to shards of the own failure domain or
                owned in it (True), or to all others (False).
        """
        return tuple(
            known.load
            for _, known in sorted(self._known_loads.items())
            if active_ms - known.learned_ms < self._expiry_ms
            and is_home in {None, known.is_home}
        )


def merge_loads(
    own: Iterable[ShardLoad],
    learned: Iterable[ShardLoad],
) -> tuple[ShardLoad, ...]:
    """
    Merge loads by shard; a learned load must have a newer epoch to win.
    """
    merged = {own_load.shard: own_load for own_load in own}
    for load in learned:
        known = merged.get(load.shard)
        if known is None or known.epoch < load.epoch:
            merged[load.shard] = load
    return tuple(merged[shard] for shard in sorted(merged))


def _stamp_order(heartbeat: Heartbeat) -> tuple[int, int]:
    return heartbeat.stamp.wall_ms, heartbeat.stamp.counter
