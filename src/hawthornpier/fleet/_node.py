"""
An entry process of the fleet scheduler, and its background tasks.
"""

import asyncio

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
from hawthornpier.fleet._owner_monitor import OwnerMonitor
from hawthornpier.fleet._ownership import Ownership
from hawthornpier.fleet._ownership_cycle import OwnershipCycle
from hawthornpier.fleet._parts import keep_running
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
from hawthornpier.fleet._writer import ProcessCard, Release
from hawthornpier.ports import Clock

# One shard contains all workers of an installation of the current size.
SHARD_NAME = 's0'


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
        self.cycle = OwnershipCycle(
            context,
            self._ownership,
            peers=self._peer_table,
            card=self.card,
            new_relays=self._relay_pool,
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
            on_change=self.cycle.apply_configuration,
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
            self.cycle.run,
            self._owner_monitor.run,
            AbsentProcesses(
                self._process_directory, self._peer_table, self._ownership
            ).run,
        )
        # An error in one part, for instance from an unreadable row, would
        # otherwise end the process, and then its successors one by one.
        self._tasks = [
            asyncio.ensure_future(
                keep_running(part, clock=self.clock, log=self.log)
            )
            for part in parts
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

    async def leave(self) -> None:
        """
        Become unready and release the shard if this process owns it.
        """
        self.is_leaving = True
        self._ownership.is_candidate = False
        await self.cycle.release(Release())

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
        return self.cycle.local_shard

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
            epoch=self.cycle.epoch,
            given_up_epoch=self.cycle.given_up_epoch,
            is_leaving=self.is_leaving,
            watched_epoch=self._ownership.watched_epoch,
            store_response_ms=self._ownership.turn.store_response_ms,
            has_failed_to_load=self._ownership.turn.has_failed_to_load,
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
                await self.cycle.given_up.wait()
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
        return self.cycle.hand_over(epoch)

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

    def configuration_readers(self) -> list[FleetPeer]:
        """
        Return the readers from which this process gets the configuration.
        """
        return self._peer_table.readers(self._name, self.card.region)

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
