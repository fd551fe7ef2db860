"""
An entry process without its HTTP server.
"""

import asyncio
import contextlib
import random
from functools import partial

from hawthornpier.coordination import (
    CoordinationError,
    GroupCommit,
    HostView,
    Membership,
    OwnedShard,
    ProcessDirectory,
    ProcessIdentity,
    ProcessLease,
    ShardOwnership,
    StoreLink,
    TableConfirmation,
)
from hawthornpier.daemon import _parts, _timings
from hawthornpier.daemon._catalog import TableCatalog
from hawthornpier.daemon._chooser import LoadChooser
from hawthornpier.daemon._committer import GroupCommitter
from hawthornpier.daemon._gate import LeaseGate
from hawthornpier.daemon._ports import Connections
from hawthornpier.daemon._routing import make_router
from hawthornpier.daemon._services import Activity, Services
from hawthornpier.daemon._shards import LocalShards, RoutingShardClient
from hawthornpier.daemon._table_sync import TableSync
from hawthornpier.entry import EntryRouter, EntryTiming, JobRouter
from hawthornpier.events import EventRecorder, HybridClock
from hawthornpier.messages import EventKind, Heartbeat
from hawthornpier.metrics import Metrics
from hawthornpier.owner import AdmissionGate, ShardOwner
from hawthornpier.policy import Scheduler
from hawthornpier.ports import PeerError, StoreError
from hawthornpier.settings import Settings
from hawthornpier.table import VersionedTable

# How long a leaving process keeps its shards, so that the load balancer and the
# peers can detect that it is leaving.
LEAVE_NOTICE_MS = 1_000


class Node:
    """
    Creates the components of an entry process and runs their tasks.

    All access to the outside goes through ports, so that tests can replace it.

    Args:
        settings: The settings of the process.
        connections: The ports to the platform, the workers and the peers.
        metrics: The metrics of the process.
        rng: The random source for ids, jitter and choices; the default is that
            of the operating system.
    """

    def __init__(
        self,
        settings: Settings,
        connections: Connections,
        metrics: Metrics,
        *,
        rng: random.Random | None = None,
    ) -> None:
        self.settings = settings
        self._connections = connections
        self._clock = connections.clock
        process = settings.process
        timing = settings.timing
        self.activity = Activity()
        self._rng = rng or random.SystemRandom()
        self._identity = ProcessIdentity(
            process_id=process.process_id,
            address=process.advertised_address,
            region=process.region,
            failure_domain=process.failure_domain,
        )
        self._hybrid_clock = HybridClock(process.process_id, self._clock)
        self.recorder = EventRecorder(
            self._hybrid_clock,
            max_event_count=settings.observability.event_ring_count,
        )
        self._parts = _parts.Parts(self._clock, self.recorder)
        self._metrics = metrics
        leases = _timings.lease_timings(timing)
        self._link = StoreLink(
            self._connections.store(),
            self._clock,
            leases,
            events=self.recorder,
        )
        self._lease = ProcessLease(
            self._identity,
            self._link,
            self._clock,
            leases,
            rng=self._rng,
            events=self.recorder,
        )
        self._directory = ProcessDirectory(self._link, self._clock, leases)
        self._wire_table()
        self._wire_shards()
        self._wire_entry()

    async def start(self) -> None:
        """
        Start the long-running parts, which join the cluster and claim shards.
        """
        self.recorder.record(EventKind.PROCESS_STARTED)
        # The first claim needs the list of workers.
        await self._host_view.refresh()
        self._parts.start(
            self._lease.run,
            self._membership.run,
            self._host_view.run,
            self._table_sync.run,
            self._ownership.run,
        )

    async def leave(self) -> None:
        """
        Announce the stop, hand over all shards and release the lease.
        """
        self.activity.is_leaving = True
        self.recorder.record(EventKind.PROCESS_STOPPING)
        with contextlib.suppress(CoordinationError, StoreError):
            # The announcement may fail, since heartbeats carry it as well.
            await self._lease.announce_leaving()
        await self._clock.sleep_ms(LEAVE_NOTICE_MS)
        await self._ownership.hand_over_all()
        await self._lease.release()

    async def close(self) -> None:
        """
        Stop all tasks and owners without a handover.

        The next owners recover the state of the shards from the store.
        """
        await self._parts.cancel()
        for shard in tuple(self._local_shards.owners()):
            await self._local_shards.on_loss(shard)

    # Creation of the components.

    def _wire_table(self) -> None:
        timing = self.settings.timing
        self._membership = Membership(
            self._identity,
            self._clock,
            _timings.membership_timings(timing),
            self._directory,
            connect=self._connections.peer,
            describe=self._make_heartbeat,
            on_reply=self._on_heartbeat_reply,
            events=self.recorder,
        )
        self._confirmation = TableConfirmation(
            self._identity.process_id,
            self._clock,
            _timings.confirmation_timings(timing),
            known_ids=lambda: self._directory.last_known_ids,
            is_store_out=lambda: self._link.is_out,
            events=self.recorder,
        )
        self._table = VersionedTable(
            store=self._link,
            clock=self._clock,
            founders={
                operator.member: operator.key_hash
                for operator in self.settings.security.bootstrap_operators
            },
            has_majority=self._confirmation.may_accept_edits,
            new_edit_id=self._new_token,
            events=self.recorder,
        )
        self._catalog = TableCatalog(self._table, self._shards())
        self._table_sync = TableSync(
            table=self._table,
            confirmation=self._confirmation,
            clock=self._clock,
            read_interval_ms=timing.table_read_interval_ms,
            confirm_ms=timing.table_confirm_ms,
            is_reader=self._is_reader,
            newest_version=self._membership.table_version_seen,
            on_change=self._on_table_change,
        )

    def _wire_shards(self) -> None:
        timing = self.settings.timing
        cluster = self.settings.cluster
        self._local_shards = LocalShards(
            store=self._link,
            clock=self._clock,
            limits=_timings.commit_limits(timing),
            make_owner=self._make_owner,
            has_guards=self.settings.platform.has_worker_guards,
            rng=self._rng,
            events=self.recorder,
        )
        self._ownership = ShardOwnership(
            self._shards(),
            self._lease,
            self._directory,
            self._link,
            self._clock,
            _timings.ownership_timings(timing),
            on_gain=self._local_shards.on_gain,
            on_loss=self._local_shards.on_loss,
            on_hand_over=self._local_shards.on_hand_over,
            rng=self._rng,
            events=self.recorder,
        )
        self._host_view = HostView(
            self._connections.host_list(),
            self._clock,
            _timings.host_view_timings(timing),
            shard_count=cluster.shards_per_failure_domain,
            on_change=self._local_shards.on_host_change,
            events=self.recorder,
        )
        self._local_shards.bind(self._ownership, self._host_view)

    def _wire_entry(self) -> None:
        process = self.settings.process
        client = RoutingShardClient(
            process_id=process.process_id,
            local_shards=self._local_shards,
            owner_address=self._owner_address,
            connect=self._connections.peer,
        )
        chooser = LoadChooser(
            router=make_router(
                self.settings,
                seed=self._rng.getrandbits(32),
            ),
            loads=self._membership.loads,
            clock=self._clock,
        )
        entry_timing = EntryTiming(
            default_deadline_ms=self.settings.timing.default_deadline_ms,
        )
        self.services = Services(
            process_id=process.process_id,
            clock=self._clock,
            store=self._link,
            hybrid_clock=self._hybrid_clock,
            recorder=self.recorder,
            metrics=self._metrics,
            table=self._table,
            table_sync=self._table_sync,
            catalog=self._catalog,
            confirmation=self._confirmation,
            membership=self._membership,
            local_shards=self._local_shards,
            shard_client=client,
            entry=EntryRouter(
                shards=self._shards(),
                client=client,
                chooser=chooser,
                catalog=self._catalog,
                gate=self._confirmation,
                clock=self._clock,
                timing=entry_timing,
                events=self.recorder,
            ),
            entry_timing=entry_timing,
            jobs=JobRouter(
                client=client,
                chooser=chooser,
                shards=self._shards(),
                usable_shards=self._catalog.usable_shards,
                new_token=self._new_token,
            ),
            signing_keys=self._connections.signing_keys,
            is_ready=self._is_ready,
            owner_of=self._owner_process_id,
            peer_events=self._peer_events,
            activity=self.activity,
        )

    def _make_owner(
        self,
        owned: OwnedShard,
        group_commit: GroupCommit,
    ) -> ShardOwner:
        return ShardOwner(
            shard=owned.shard,
            epoch=owned.epoch,
            policy=Scheduler(
                settings=self.settings.policy,
                seed=self._rng.getrandbits(32),
            ),
            committer=GroupCommitter(group_commit, self._clock),
            store=self._link,
            connect=self._connections.worker,
            catalog=self._catalog,
            gate=self._make_owner_gate(owned.shard),
            clock=self._clock,
            timing=_timings.owner_timing(self.settings.timing),
            events=self.recorder,
        )

    def _new_token(self) -> str:
        return f'{self._rng.getrandbits(64):016x}'

    def _make_owner_gate(self, shard: str) -> AdmissionGate:
        if self.settings.platform.has_worker_guards:
            return self._confirmation
        return LeaseGate(
            self._confirmation,
            partial(self._ownership.holds, shard),
        )

    # Callbacks between the components.

    def _shards(self) -> list[str]:
        cluster = self.settings.cluster
        return [
            f'{domain.name}/{number}'
            for domain in cluster.failure_domains
            for number in range(cluster.shards_per_failure_domain)
        ]

    def _make_heartbeat(self) -> Heartbeat:
        age_ms = self._confirmation.age_ms
        return Heartbeat(
            process_id=self._identity.process_id,
            incarnation=self._lease.incarnation,
            address=self._identity.address,
            region=self._identity.region,
            failure_domain=self._identity.failure_domain,
            table_version=self._table.version,
            table_age_ms=-1 if age_ms is None else age_ms,
            is_store_out=self._link.is_out,
            is_leaving=self.activity.is_leaving,
            stamp=self._hybrid_clock.tick(),
            loads=self._local_shards.loads(),
        )

    def _on_heartbeat_reply(self, heartbeat: Heartbeat, sent_ms: int) -> None:
        self._hybrid_clock.merge(heartbeat.stamp)
        self._confirmation.record_reply(heartbeat, sent_ms)

    def _on_table_change(self) -> None:
        self._local_shards.refresh_limits()

    def _is_reader(self) -> bool:
        domain = self._identity.failure_domain
        reader = self._membership.reader_of(domain)
        return reader == self._identity.process_id

    def _is_ready(self) -> bool:
        if self.activity.is_leaving:
            return False
        return self._confirmation.may_admit()

    def _owner_address(self, shard: str) -> tuple[str, str] | None:
        owner = self._ownership.owners.get(shard)
        if owner is None or not owner.row.process_id:
            return None
        return owner.row.process_id, owner.row.address

    def _owner_process_id(self, shard: str) -> str:
        owner = self._owner_address(shard)
        return owner[0] if owner else ''

    async def _peer_events(self) -> list[bytes]:
        results = await asyncio.gather(
            *(
                self._connections.peer(peer.address).events()
                for peer in self._membership.live_peers()
            ),
            return_exceptions=True,
        )
        # The timeline omits the events of peers that did not reply.
        failures = [
            result for result in results if isinstance(result, BaseException)
        ]
        for failure in failures:
            if not isinstance(failure, PeerError):
                raise failure
        return [result for result in results if isinstance(result, bytes)]
