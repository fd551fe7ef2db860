"""
An entry process of the fleet scheduler, and its background tasks.
"""

import asyncio
import functools

from hawthornpier.events import DecisionLog
from hawthornpier.fleet._absent_processes import AbsentProcesses
from hawthornpier.fleet._configuration import Configuration
from hawthornpier.fleet._configuration_watch import (
    ConfigurationSource,
    ConfigurationWatch,
)
from hawthornpier.fleet._context import FleetContext, HostInfo
from hawthornpier.fleet._entry import JobEntry
from hawthornpier.fleet._errors import error_text
from hawthornpier.fleet._owner import ShardOwner
from hawthornpier.fleet._owner_monitor import OwnerMonitor
from hawthornpier.fleet._ownership import Ownership
from hawthornpier.fleet._parts import Part, run_part
from hawthornpier.fleet._peer_port import (
    ConfigurationReply,
    FleetPeer,
    Handover,
    Peer,
    Presence,
)
from hawthornpier.fleet._peer_table import PeerTable
from hawthornpier.fleet._process_directory import ProcessDirectory
from hawthornpier.fleet._relay_pool import RelayPool
from hawthornpier.fleet._relay_session import RelaySession, SendBatch
from hawthornpier.fleet._shard import Shard
from hawthornpier.fleet._writer import ProcessCard
from hawthornpier.ports import Clock

# One shard contains all workers of an installation of the current size.
SHARD_NAME = 's0'
# After an unexpected error, a part of the process is run again after this time.
_PART_RESTART_MS = 300.0
# If the store does not complete the release of the shard in this time, the
# other processes learn of it from the presence reply of this process instead.
_RELEASE_TIMEOUT_MS = 800.0


class FleetNode:
    """
    Serves callers, monitors the owner of the shard and may become the owner.

    Args:
        context: The dependencies of a shard owner, which this process shares.
        name: The name of the host.
        address: Where other entry processes reach this one.
        host_info: The location and the size of the host.
        configuration: The row with the operator's configuration.
    """

    def __init__(
        self,
        context: FleetContext,
        *,
        name: str,
        address: str,
        host_info: HostInfo,
        configuration: ConfigurationSource,
    ) -> None:
        self.context = context
        self._name = name
        self.card = ProcessCard(
            process_id=f'{name}/{context.rng.getrandbits(32):08x}',
            address=address,
            failure_domain=host_info.failure_domain,
            region=host_info.region,
            processor_cores=host_info.processor_cores,
            link_mbps=host_info.link_mbps,
        )
        self.is_leaving = False
        self._owner: ShardOwner | None = None
        # The handover of the last epoch in which this process was the owner, in
        # case the next owner requests it late.
        self._last_handover: Handover | None = None
        self._given_up_epoch = 0
        self._ownership_given_up = asyncio.Event()
        self._tasks: list[asyncio.Task[None]] = []
        self._process_directory = ProcessDirectory(
            context.store,
            name=name,
            card=self.card,
            clock=context.clock,
            log=context.log,
        )
        self._ownership = Ownership(
            context.store,
            SHARD_NAME,
            card=self.card,
            clock=context.clock,
            timings=context.ownership_timings,
            log=context.log,
            rng=context.rng,
            directory=self._process_directory,
        )
        self._peer_table = PeerTable(
            address,
            cards=self._process_directory.cards,
            dial=context.dial_peer,
            clock=context.clock,
        )
        self._owner_monitor = OwnerMonitor(
            self._ownership,
            self.owner,
            address=address,
            clock=context.clock,
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
            shard_name=SHARD_NAME,
            row_bytes=context.bounds.row_content_bytes,
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
        Return the log of scheduling decisions.
        """
        return self.context.log

    @property
    def configuration(self) -> Configuration | None:
        """
        Return the configuration in force, or None if none was received yet.
        """
        return self._configuration.current

    @property
    def is_ready(self) -> bool:
        """
        Return whether the platform should send new connections here.
        """
        return self.configuration is not None and not self.is_leaving

    def start(self) -> None:
        """
        Start the background tasks.
        """
        parts = (
            self._configuration.run,
            self._process_directory.run,
            self._run_ownership,
            self._owner_monitor.run,
            AbsentProcesses(
                self._process_directory, self._peer_table, self._ownership
            ).run,
        )
        self._tasks = [
            asyncio.ensure_future(self._keep(part)) for part in parts
        ]

    async def wait_failed(self) -> None:
        """
        Wait until a background task ends, and log the reason.

        These tasks run until they are cancelled, so that an end is a failure.
        """
        done, _ = await asyncio.wait(
            self._tasks,
            return_when=asyncio.FIRST_COMPLETED,
        )
        for task in done:
            error = None if task.cancelled() else task.exception()
            why = '' if error is None else error_text(error)
            self.log.record('task_failed', why=why)

    async def _keep(self, part: Part) -> None:
        """
        Run a part of this process, and again after an unexpected error.

        An error in one part, for instance from an unreadable row, would
        otherwise end the process, and then its successors one by one.
        """
        while True:
            try:
                await run_part(part)
            except Exception as error:
                self.log.record('part_failed', why=error_text(error))
            await self.clock.sleep_ms(_PART_RESTART_MS)

    async def leave(self) -> None:
        """
        Become unready and release the shard if this process owns it.
        """
        self.is_leaving = True
        self._ownership.is_candidate = False
        owner = self._owner
        if owner is not None:
            await owner.release(_RELEASE_TIMEOUT_MS)
            self._give_up_ownership(owner)

    async def close(self) -> None:
        """
        Cancel the background tasks and close the connections.
        """
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        self._peer_table.close()

    def local_shard(self) -> Shard | None:
        """
        Return the shard if this process has loaded it and is not releasing it.
        """
        owner = self._owner
        if owner is None or not owner.is_loaded or owner.shard.is_draining:
            return None
        return owner.shard

    def owner(self) -> FleetPeer | None:
        """
        Return a client of the owner, or None if it is this process or unknown.
        """
        row = self._ownership.owner
        if row is None or row.is_released:
            return None
        if row.card.address == self.card.address:
            return None
        return self._peer_table.get(row.card)

    def relays(self) -> list[Peer]:
        """
        Return the processes to which writes can be relayed, the owner first.

        The owner writes to the store continually, so it probably reaches it.
        """
        return list(self.reachable_peers())

    def reachable_peers(self) -> list[FleetPeer]:
        """
        Return the known other processes in random order, but the owner first.
        """
        owner = self.owner()
        others = self._peer_table.others()
        self.context.rng.shuffle(others)
        if owner is None:
            return others
        return [owner, *(peer for peer in others if peer is not owner)]

    def presence(self) -> Presence:
        """
        Return the status of this process for its peers.
        """
        configuration = self.configuration
        return Presence(
            process_id=self.card.process_id,
            configuration_version=configuration.version if configuration else 0,
            epoch=self._owner.shard.epoch if self._owner else 0,
            given_up_epoch=self._given_up_epoch,
            is_leaving=self.is_leaving,
        )

    async def wait_presence(
        self,
        wait_ms: float,
        observer: str = '',
    ) -> Presence:
        """
        Return the status of this process once it gives up the shard.

        Args:
            wait_ms: The longest time to wait for that; then the status is
                returned anyway.
            observer: The address of the process that monitors this one.
        """
        if observer:
            self._peer_table.record_contact(observer)
        try:
            async with asyncio.timeout(wait_ms / 1000):
                await self._ownership_given_up.wait()
        except TimeoutError:
            pass
        return self.presence()

    def hand_over(self, epoch: int) -> Handover | None:
        """
        Give up the shard and return the state for the next owner.

        Args:
            epoch: The epoch of this process's ownership, which a later epoch
                of another process supersedes.

        Returns:
            The state, or None if this process was not the owner in that epoch.
        """
        owner = self._owner
        if owner is not None and owner.shard.epoch == epoch:
            self._give_up_ownership(owner)
            return owner.handover()
        last = self._last_handover
        return last if last is not None and last.epoch == epoch else None

    async def wait_configuration(
        self,
        after_version: int,
        wait_ms: float,
    ) -> ConfigurationReply:
        """
        Return the operator's configuration once its version exceeds another.

        Args:
            after_version: The version that the requesting process has.
            wait_ms: The longest time to wait for a higher version.
        """
        return await self._configuration.serve(after_version, wait_ms)

    def configuration_readers(self, silent: set[str]) -> list[FleetPeer]:
        """
        Return the readers from which this process gets the configuration.
        """
        return self._peer_table.readers(self._name, silent)

    def _apply_configuration(self, configuration: Configuration) -> None:
        if self._owner is not None:
            shard = self._owner.shard
            shard.queues = configuration.queues
            shard.permits.unguarded_services = configuration.unguarded_services

    async def _run_ownership(self) -> None:
        while True:
            writer = await self._ownership.follow_until_claimed()
            self._ownership_given_up.clear()
            self._owner = ShardOwner(
                self.context,
                writer,
                self._relay_pool(),
                claimants=functools.partial(
                    self._peer_table.claimants,
                    self.clock.monotonic_ms(),
                ),
            )
            if self.configuration is not None:
                self._apply_configuration(self.configuration)
            try:
                await self._owner.run()
            finally:
                self._last_handover = self._owner.handover()
                self._owner = None

    def open_relay(self, send: SendBatch) -> RelaySession:
        """
        Begin to relay the requests of an owner to workers.

        Args:
            send: Sends an encoded batch to the owner.
        """
        return RelaySession(
            self.context.dial,
            send,
            clock=self.clock,
            log=self.log,
            is_leaving=lambda: self.is_leaving,
        )

    def _relay_pool(self) -> RelayPool | None:
        if self.context.connect_relay is None:
            return None
        return RelayPool(
            self.context.connect_relay,
            self.context.dial,
            card=self.card,
            cards=self._process_directory.cards.values,
            timings=self.context.worker_timings,
            clock=self.clock,
            log=self.log,
        )

    def _give_up_ownership(self, owner: ShardOwner) -> None:
        # Scheduling passes must not start any task after the handover state has
        # been collected, because the next owner would not know of it.
        owner.shard.is_draining = True
        owner.shard.deposed.set()
        self._given_up_epoch = owner.shard.epoch
        self._ownership_given_up.set()
