"""
Detection of the end of the process that owns the shard.
"""

from collections.abc import Callable

from hawthornpier.fleet._ownership import Ownership
from hawthornpier.fleet._peer_port import FleetPeer, PeerGoneError
from hawthornpier.fleet._writer import OwnerRow
from hawthornpier.ports import Clock, PeerError

_PRESENCE_WAIT_MS = 1_500
_PRESENCE_RETRY_MS = 120


class OwnerMonitor:
    """
    Keeps a request open at the owner, which breaks as soon as it ends.

    Args:
        ownership: Names the owner, and is told of its end.
        owner_peer: Returns a client of the owner, or None if it is this process
            or unknown.
        address: The address of this process.
        clock: The clock of this process.
    """

    def __init__(
        self,
        ownership: Ownership,
        owner_peer: Callable[[], FleetPeer | None],
        *,
        address: str,
        clock: Clock,
    ) -> None:
        self._ownership = ownership
        self._owner_peer = owner_peer
        self._address = address
        self._clock = clock

    async def run(self) -> None:
        """
        Monitor the owner until cancelled.
        """
        while True:
            row = self._ownership.owner
            peer = self._owner_peer()
            asked_ms = self._clock.monotonic_ms()
            if row is not None and peer is not None:
                await self._check_owner(peer, row)
            # A process that gave up an earlier epoch replies at once until it
            # knows that its claim has succeeded.
            if self._clock.monotonic_ms() - asked_ms < _PRESENCE_RETRY_MS:
                await self._clock.sleep_ms(_PRESENCE_RETRY_MS)

    async def _check_owner(self, peer: FleetPeer, row: OwnerRow) -> None:
        process_id = row.card.process_id
        owner_id = await self._get_owner_id(peer, row.epoch)
        if owner_id == process_id:
            return
        await self._clock.sleep_ms(_PRESENCE_RETRY_MS)
        # Retry once after a refused connection or a reply that the owner has
        # given up the shard.
        if owner_id == '':
            owner_id = await self._get_owner_id(peer, row.epoch)
        if owner_id is not None and owner_id != process_id:
            self._ownership.report_owner_ended(row)

    async def _get_owner_id(self, peer: FleetPeer, epoch: int) -> str | None:
        """
        Return the id of the process that now runs at the owner's address.

        Returns:
            An empty string if no process listens there or the process has given
            up the shard, or None if the request failed in another way.
        """
        try:
            presence = await peer.watch(
                _PRESENCE_WAIT_MS, observer=self._address
            )
        except PeerGoneError:
            return ''
        except PeerError:
            return None
        if presence.given_up_epoch >= epoch:
            return ''
        return presence.process_id
