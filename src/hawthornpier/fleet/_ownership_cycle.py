"""
The shard owners that one process runs, one after another.
"""

import asyncio
import functools
from collections.abc import Callable

from hawthornpier.fleet._configuration import Configuration
from hawthornpier.fleet._context import FleetContext
from hawthornpier.fleet._owner import ShardOwner
from hawthornpier.fleet._ownership import Ownership
from hawthornpier.fleet._parts import keep_running, raise_if_cancelled
from hawthornpier.fleet._peer_port import Handover
from hawthornpier.fleet._peer_table import PeerTable
from hawthornpier.fleet._relay_pool import RelayPool
from hawthornpier.fleet._shard import Shard
from hawthornpier.fleet._shard_move import ShardMove
from hawthornpier.fleet._writer import ProcessCard, Release

# If the store does not complete the release of the shard in this time, the
# other processes learn of it from the presence reply of this process instead.
_RELEASE_TIMEOUT_MS = 800.0


class OwnershipCycle:
    """
    Claims the shard, owns it until it is lost or given up, and claims it again.

    Args:
        context: The dependencies of a shard owner.
        ownership: Watches the owner row and claims the shard.
        peers: The other processes.
        card: The identity of this process.
        new_relays: Creates the connections to relays of one owner; returns None
            if it contacts all workers directly.
    """

    def __init__(
        self,
        context: FleetContext,
        ownership: Ownership,
        *,
        peers: PeerTable,
        card: ProcessCard,
        new_relays: Callable[[], RelayPool | None],
    ) -> None:
        self.owner: ShardOwner | None = None
        # The last epoch in which this process was the owner and gave it up.
        self.given_up_epoch = 0
        self.given_up = asyncio.Event()
        self._context = context
        self._ownership = ownership
        self._peers = peers
        self._card = card
        self._new_relays = new_relays
        self._configuration: Configuration | None = None
        # The handover of the last epoch in which this process was the owner, in
        # case the next owner requests it late.
        self._last_handover: Handover | None = None

    @property
    def epoch(self) -> int:
        """
        Return the epoch of the current owner, or 0 if there is none here.
        """
        return 0 if self.owner is None else self.owner.shard.epoch

    @property
    def local_shard(self) -> Shard | None:
        """
        Return the shard if this process owns it and has loaded it.

        Returns:
            None also while this process is releasing the shard.
        """
        owner = self.owner
        if owner is None or not owner.is_loaded or owner.shard.is_draining:
            return None
        return owner.shard

    async def run(self) -> None:
        """
        Claim and own the shard, again and again, until cancelled.
        """
        while True:
            writer = await self._ownership.follow_until_claimed()
            self.given_up.clear()
            self.owner = ShardOwner(
                self._context,
                writer,
                self._new_relays(),
                claimants=functools.partial(
                    self._peers.claimants,
                    self._context.clock.monotonic_ms(),
                ),
            )
            self._configure(self.owner)
            move = asyncio.ensure_future(self._move_if_due(self.owner))
            try:
                await self.owner.run()
            finally:
                move.cancel()
                self._ownership.turn.record_load(is_loaded=self.owner.is_loaded)
                self._last_handover = self.owner.handover()
                self.owner = None
            raise_if_cancelled()

    async def release(self, release: Release) -> None:
        """
        Release the shard if this process owns it.

        Args:
            release: How to release it.
        """
        owner = self.owner
        if owner is not None:
            try:
                await owner.release(release, timeout_ms=_RELEASE_TIMEOUT_MS)
            finally:
                self._give_up(owner)

    def hand_over(self, epoch: int) -> Handover | None:
        """
        Give up the shard and return the state for the next owner.

        Args:
            epoch: The epoch of this process's ownership, which a later epoch
                of another process supersedes.

        Returns:
            The state, or None if this process was not the owner in that epoch.
        """
        owner = self.owner
        if owner is not None and owner.shard.epoch == epoch:
            self._give_up(owner)
            return owner.handover()
        last = self._last_handover
        return last if last is not None and last.epoch == epoch else None

    def apply_configuration(self, configuration: Configuration) -> None:
        """
        Apply the operator's configuration to this owner and the next ones.
        """
        self._configuration = configuration
        if self.owner is not None:
            self._configure(self.owner)

    def _configure(self, owner: ShardOwner) -> None:
        configuration = self._configuration
        if configuration is not None:
            shard = owner.shard
            shard.queues = configuration.queues
            shard.permits.unguarded_services = configuration.unguarded_services

    async def _move_if_due(self, owner: ShardOwner) -> None:
        """
        Release the shard to a larger host once there is one.
        """
        move = ShardMove(
            owner, self._card, peers=self._peers, context=self._context
        )
        release = await keep_running(
            move.find_release, clock=self._context.clock, log=self._context.log
        )
        await self.release(release)

    def _give_up(self, owner: ShardOwner) -> None:
        # Scheduling passes must not start any task after the handover state has
        # been collected, because the next owner would not know of it.
        owner.shard.is_draining = True
        owner.shard.deposed.set()
        self.given_up_epoch = owner.shard.epoch
        self.given_up.set()
