"""
Asks the other processes for claims of the shard while the store is silent.
"""

import asyncio
import enum
from collections.abc import Callable, Sequence

from hawthornpier.fleet._peer_port import FleetPeer
from hawthornpier.fleet._shard import Shard
from hawthornpier.ports import PeerError

# The others are asked once the store has not confirmed the ownership for this
# long, and again at this interval until it does.
_STORE_SILENCE_MS = 1_000.0
_CHECK_INTERVAL_MS = 400.0

Claimants = Callable[[float], Sequence[FleetPeer] | None]


class Claim(enum.Enum):
    """
    What is known about a claim of the shard by another process.
    """

    ABSENT = 'absent'
    MADE = 'made'
    UNKNOWN = 'unknown'


class ClaimCheck:
    """
    Tells the owner of a shard whether it may have been replaced.

    If no other process has claimed the shard, the store is out for all of them,
    and the owner keeps the runs alive through the outage.  If one does not
    respond, it may be beyond a partition and have claimed the shard.

    Args:
        shard: The state of the shard.
        claimants: Returns the processes that may have claimed the shard since
            a moment on the monotonic clock, or None if they are not known.
    """

    def __init__(
        self,
        shard: Shard,
        claimants: Claimants,
    ) -> None:
        self._shard = shard
        self._claimants = claimants
        self._was_unclaimed = True

    async def run(self) -> None:
        """
        Ask the other processes whenever the store is silent, until cancelled.
        """
        shard = self._shard
        while True:
            await shard.clock.sleep_ms(_CHECK_INTERVAL_MS)
            if shard.permits.writes.age_ms >= _STORE_SILENCE_MS:
                await self._ask_all()
            self._log_change()

    async def _ask_all(self) -> None:
        asked_ms = self._shard.now_ms
        claimants = self._claimants(
            asked_ms - self._shard.permits.writes.age_ms
        )
        if claimants is None:
            return
        claims = await asyncio.gather(*map(self._ask, claimants))
        if Claim.MADE in claims:
            self._shard.deposed.set()
        elif Claim.UNKNOWN not in claims:
            self._shard.permits.confirm_unclaimed(asked_ms)

    async def _ask(self, peer: FleetPeer) -> Claim:
        try:
            presence = await peer.watch(0)
        except PeerError:
            return Claim.UNKNOWN
        if presence.epoch > self._shard.epoch:
            return Claim.MADE
        return Claim.ABSENT

    def _log_change(self) -> None:
        is_unclaimed = self._shard.permits.is_unclaimed
        if is_unclaimed == self._was_unclaimed:
            return
        self._was_unclaimed = is_unclaimed
        self._shard.log.record(
            'ownership_confirmed' if is_unclaimed else 'ownership_uncertain',
            shard=self._shard.name,
            epoch=self._shard.epoch,
            store_silent_ms=int(self._shard.permits.writes.age_ms),
        )
