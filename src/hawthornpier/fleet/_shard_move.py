"""
The search for a process on a larger host that takes over a shard.
"""

import asyncio
from typing import Protocol

from hawthornpier.fleet._context import FleetContext
from hawthornpier.fleet._host_size import effective_cores
from hawthornpier.fleet._peer_port import FleetPeer, Presence
from hawthornpier.fleet._peer_table import PeerTable
from hawthornpier.fleet._shard import Shard
from hawthornpier.fleet._succession import (
    OwnerStatus,
    find_successors,
    move_reason,
)
from hawthornpier.fleet._writer import ProcessCard, Release
from hawthornpier.ports import PeerError

_CHECK_INTERVAL_MS = 250.0
# At most this many processes are asked at a time whether they can take over.
_MAX_ASKED = 4
# The shard is not released while the store does not confirm writes.
_MAX_WRITE_AGE_MS = 1_500.0


class MovableOwner(Protocol):
    """
    What a move needs of the owner of a shard.
    """

    @property
    def shard(self) -> Shard:
        """
        Return the shard.
        """
        ...

    @property
    def is_loaded(self) -> bool:
        """
        Return whether the shard has been loaded.
        """
        ...


class ShardMove:
    """
    Finds out whether a shard has to move, and to which process.

    Args:
        owner: The owner of the shard.
        card: The identity of the owner's process.
        peers: The other processes.
        context: The clock and the log of this process.
    """

    def __init__(
        self,
        owner: MovableOwner,
        card: ProcessCard,
        *,
        peers: PeerTable,
        context: FleetContext,
    ) -> None:
        self._owner = owner
        self._card = card
        self._peers = peers
        self._clock = context.clock
        self._log = context.log
        self._loaded_ms: float | None = None

    async def find_release(self) -> Release:
        """
        Wait until the shard has to move and another process can take it over.

        Returns:
            How to release the shard to that process.
        """
        while True:
            await self._clock.sleep_ms(_CHECK_INTERVAL_MS)
            status = self._status()
            if status is None:
                continue
            presence = await self._find_able(status)
            # The owner may have lost the store meanwhile, or is leaving.
            if presence is None or self._status() is None:
                continue
            self._log.record(
                'shard_moves',
                shard=self._owner.shard.name,
                epoch=self._owner.shard.epoch,
                successor=presence.process_id,
                why=move_reason(status),
                cores=effective_cores(self._card),
                workers=status.worker_count,
            )
            return Release(successor_id=presence.process_id)

    def _status(self) -> OwnerStatus | None:
        """
        Return the state of the owner, or None if it may not release the shard.
        """
        owner = self._owner
        now_ms = self._clock.monotonic_ms()
        if not owner.is_loaded or owner.shard.is_draining:
            return None
        if self._loaded_ms is None:
            self._loaded_ms = now_ms
        if owner.shard.permits.writes.age_ms > _MAX_WRITE_AGE_MS:
            return None
        return OwnerStatus(
            card=self._card,
            worker_count=len(owner.shard.workers),
            tenure_ms=now_ms - self._loaded_ms,
            is_overloaded=owner.shard.load.is_overloaded,
        )

    async def _find_able(self, status: OwnerStatus) -> Presence | None:
        """
        Return the reply of a process on a larger host that can take over.

        Returns:
            None if there is none.
        """
        cards = find_successors(status, self._peers.candidates())
        for first in range(0, len(cards), _MAX_ASKED):
            presence = await self._first_able(cards[first : first + _MAX_ASKED])
            if presence is not None:
                return presence
        return None

    async def _first_able(self, cards: list[ProcessCard]) -> Presence | None:
        """
        Return the reply of the process that reaches the store fastest.

        Returns:
            None if none of them can claim the shard now.
        """
        peers = [self._peers.get(card) for card in cards]
        replies = await asyncio.gather(*map(_ask, peers))
        able = [
            presence
            for presence in replies
            if presence and self._can_take_over(presence)
        ]
        return min(able, key=_store_response_ms, default=None)

    def _can_take_over(self, presence: Presence) -> bool:
        is_following = presence.watched_epoch == self._owner.shard.epoch
        return is_following and not presence.has_failed_to_load


async def _ask(peer: FleetPeer) -> Presence | None:
    try:
        return await peer.watch(0)
    except PeerError:
        return None


def _store_response_ms(presence: Presence) -> float:
    return presence.store_response_ms
