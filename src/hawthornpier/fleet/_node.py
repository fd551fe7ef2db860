"""
One entry process of the fleet scheduler: its parts and their tasks.
"""

import asyncio
import traceback
from dataclasses import dataclass

from hawthornpier.events import DecisionLog
from hawthornpier.fleet._configuration import Configuration
from hawthornpier.fleet._configured import (
    ConfigurationSource,
    ConfigurationWatch,
)
from hawthornpier.fleet._entry import JobEntry
from hawthornpier.fleet._members import ProcessDirectory
from hawthornpier.fleet._owner import FleetContext, ShardOwner
from hawthornpier.fleet._ownership import Ownership
from hawthornpier.fleet._peer_port import (
    ConfigurationReply,
    FleetPeer,
    Handover,
    Peer,
    PeerGoneError,
    Presence,
)
from hawthornpier.fleet._shard import Shard
from hawthornpier.fleet._writer import OwnerRow, ProcessCard
from hawthornpier.ports import Clock, PeerError

# All workers of an installation of today's size belong to one shard.
SHARD_NAME = 's0'
# Processes in each region that read the configuration from the store.  The
# others get it from these, because many copies of a large configuration would
# fill the link between two regions.
_READER_COUNT = 5
# A host with nearly no processors, against the largest, claims this much later.
_SMALL_HOST_DELAY_MS = 1_000.0
_PRESENCE_WAIT_MS = 1_500
_PRESENCE_RETRY_MS = 120
# A release that takes longer is told to the other processes instead.
_RELEASE_TIMEOUT_MS = 800.0


@dataclass(frozen=True, slots=True, kw_only=True)
class HostPlace:
    """
    Where the host of a process stands and what it can carry.
    """

    failure_domain: str
    region: str = ''
    processor_cores: float = 1


class FleetNode:
    """
    Serves callers, follows the owner of the shard and may become it.
    """

    def __init__(
        self,
        context: FleetContext,
        *,
        name: str,
        address: str,
        place: HostPlace,
        configuration: ConfigurationSource,
    ) -> None:
        self.context = context
        self._name = name
        self.card = ProcessCard(
            process_id=f'{name}/{context.rng.getrandbits(32):08x}',
            address=address,
            failure_domain=place.failure_domain,
            region=place.region,
            processor_cores=place.processor_cores,
        )
        self.is_leaving = False
        self._owner: ShardOwner | None = None
        # What the last ownership of this process left, for its successor.
        self._left: Handover | None = None
        self._given_up_epoch = 0
        self._has_given_up = asyncio.Event()
        self._peers: dict[str, FleetPeer] = {}
        self._tasks: list[asyncio.Task[None]] = []
        self._ownership = Ownership(
            context.store,
            SHARD_NAME,
            card=self.card,
            clock=context.clock,
            timings=context.ownership_timings,
            log=context.log,
            rng=context.rng,
            extra_claim_delay_ms=self._extra_claim_delay_ms,
        )
        self._members = ProcessDirectory(
            context.store,
            name=name,
            card=self.card,
            clock=context.clock,
            log=context.log,
        )
        self._configuration = ConfigurationWatch(
            context.store,
            configuration,
            peers=self,
            clock=context.clock,
            log=context.log,
            on_change=self._apply_configuration,
        )
        self.entry = JobEntry(
            context.store,
            self,
            part=SHARD_NAME,
            clock=context.clock,
            log=context.log,
        )

    @property
    def clock(self) -> Clock:
        """
        Return the clock of this process.
        """
        return self.context.clock

    @property
    def log(self) -> DecisionLog:
        """
        Return the log of decisions.
        """
        return self.context.log

    @property
    def configuration(self) -> Configuration | None:
        """
        Return the configuration in force, or None before the first one.
        """
        return self._configuration.current

    @property
    def is_ready(self) -> bool:
        """
        Tell whether callers should be sent here.
        """
        return self.configuration is not None and not self.is_leaving

    def start(self) -> None:
        """
        Start the permanent tasks.
        """
        parts = (
            self._configuration.run(),
            self._members.run(),
            self._own_forever(),
            self._watch_owner(),
        )
        self._tasks = [asyncio.ensure_future(part) for part in parts]

    async def wait_failed(self) -> None:
        """
        Return when one of the permanent tasks has ended, and log why.
        """
        done, _ = await asyncio.wait(
            self._tasks,
            return_when=asyncio.FIRST_COMPLETED,
        )
        for task in done:
            error = None if task.cancelled() else task.exception()
            self.log.record(
                'task_failed',
                why=''.join(traceback.format_exception(error)),
            )

    async def leave(self) -> None:
        """
        Take no new callers, and hand over the shard.
        """
        self.is_leaving = True
        self._ownership.is_candidate = False
        owner = self._owner
        if owner is not None:
            await owner.release(_RELEASE_TIMEOUT_MS)
            self._give_up(owner)

    async def close(self) -> None:
        """
        End the tasks and close the connections.
        """
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for peer in self._peers.values():
            peer.close()

    def local_shard(self) -> Shard | None:
        """
        Return the shard if this process owns and has loaded it.
        """
        owner = self._owner
        if owner is None or not owner.is_loaded or owner.shard.is_draining:
            return None
        return owner.shard

    def owner(self) -> Peer | None:
        """
        Return the owner, if it is another process.
        """
        return self._owner_peer()

    def relays(self) -> list[Peer]:
        """
        Return other processes, first the owner, which writes to the store.
        """
        return list(self.reachable_peers())

    def reachable_peers(self) -> list[FleetPeer]:
        """
        Return other processes, the owner first.
        """
        owner = self._owner_peer()
        others = [
            self._peer(card)
            for card in self._members.cards.values()
            if card.address != self.card.address
        ]
        self.context.rng.shuffle(others)
        if owner is None:
            return others
        return [owner, *(peer for peer in others if peer is not owner)]

    def presence(self) -> Presence:
        """
        Return what this process says of itself.
        """
        configuration = self.configuration
        return Presence(
            process_id=self.card.process_id,
            configuration_version=configuration.version if configuration else 0,
            epoch=self._owner.shard.epoch if self._owner else 0,
            given_up_epoch=self._given_up_epoch,
            is_leaving=self.is_leaving,
        )

    async def wait_presence(self, wait_ms: float) -> Presence:
        """
        Return what this process says of itself once it gives up the shard.

        Args:
            wait_ms: The longest time to wait for that.
        """
        try:
            async with asyncio.timeout(wait_ms / 1000):
                await self._has_given_up.wait()
        except TimeoutError:
            pass
        return self.presence()

    def hand_over(self, epoch: int) -> Handover | None:
        """
        Stop as the owner of an epoch, and return what may run.

        Args:
            epoch: The epoch that another process has replaced.

        Returns:
            None if this process did not own the shard in that epoch.
        """
        owner = self._owner
        if owner is not None and owner.shard.epoch == epoch:
            self._give_up(owner)
            return owner.handover()
        if self._left is not None and self._left.epoch == epoch:
            return self._left
        return None

    async def wait_configuration(
        self,
        after_version: int,
        wait_ms: float,
    ) -> ConfigurationReply:
        """
        Return the operator's row, once its version is above another.
        """
        return await self._configuration.serve(after_version, wait_ms)

    def configuration_sources(self) -> list[FleetPeer]:
        """
        Return the processes that read the configuration for this one.

        There are none if this process is among the readers of its region.
        """
        names = sorted(
            name
            for name, card in self._members.cards.items()
            if card.region == self.card.region
        )
        readers = names[:_READER_COUNT]
        if self._name in readers or self._name not in names:
            return []
        return [self._peer(self._members.cards[name]) for name in readers]

    def _apply_configuration(self, configuration: Configuration) -> None:
        if self._owner is not None:
            self._owner.shard.queues = configuration.queues

    async def _own_forever(self) -> None:
        while True:
            writer = await self._ownership.follow_until_claimed()
            self._has_given_up.clear()
            self._owner = ShardOwner(self.context, writer)
            if self.configuration is not None:
                self._apply_configuration(self.configuration)
            try:
                await self._owner.run()
            finally:
                self._left = self._owner.handover()
                self._owner = None

    def _extra_claim_delay_ms(self) -> float:
        """
        Return how much later than the largest hosts this one claims.
        """
        cores = self.card.processor_cores
        largest = max(
            (card.processor_cores for card in self._members.cards.values()),
            default=cores,
        )
        return _SMALL_HOST_DELAY_MS * max(0, 1 - cores / max(largest, cores))

    def _give_up(self, owner: ShardOwner) -> None:
        # No pass may start anything after the handover is described.
        owner.shard.is_draining = True
        owner.shard.deposed.set()
        self._given_up_epoch = owner.shard.epoch
        self._has_given_up.set()

    async def _watch_owner(self) -> None:
        """
        Keep a request open at the owner, to notice its end at once.
        """
        while True:
            row = self._ownership.owner
            peer = self._owner_peer()
            if row is not None and peer is not None:
                await self._judge_owner(peer, row)
            else:
                await self.clock.sleep_ms(_PRESENCE_RETRY_MS)

    async def _judge_owner(self, peer: FleetPeer, row: OwnerRow) -> None:
        process_id = row.card.process_id
        seen = await self._see(peer, row.epoch)
        if seen == process_id:
            return
        await self.clock.sleep_ms(_PRESENCE_RETRY_MS)
        # A refused connection is tried twice before it counts.
        if seen == '':
            seen = await self._see(peer, row.epoch)
        if seen is not None and seen != process_id:
            self._ownership.report_process_ended(process_id)

    async def _see(self, peer: FleetPeer, epoch: int) -> str | None:
        """
        Return the process at a peer's address that owns the shard.

        The text is empty if there is none, or if it has given up the epoch;
        None means that it is not known.
        """
        try:
            presence = await peer.watch(_PRESENCE_WAIT_MS)
        except PeerGoneError:
            return ''
        except PeerError:
            return None
        if presence.given_up_epoch >= epoch:
            return ''
        return presence.process_id

    def _owner_peer(self) -> FleetPeer | None:
        row = self._ownership.owner
        if row is None or row.is_released:
            return None
        if row.card.address == self.card.address:
            return None
        return self._peer(row.card)

    def _peer(self, card: ProcessCard) -> FleetPeer:
        peer = self._peers.get(card.address)
        if peer is None:
            peer = self.context.dial_peer(card)
            self._peers[card.address] = peer
        return peer
