"""
One entry process: all parts wired together, started and stopped.
"""

import asyncio
import random
import ssl

from tornado.httpserver import HTTPServer

from hawthornpier.coordination import (
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
from hawthornpier.daemon import _timings
from hawthornpier.daemon._application import make_application
from hawthornpier.daemon._catalog import TableCatalog
from hawthornpier.daemon._chooser import NearestShardChooser
from hawthornpier.daemon._committer import GroupCommitter
from hawthornpier.daemon._policy import make_policy
from hawthornpier.daemon._ports import Connections
from hawthornpier.daemon._services import Activity, Services
from hawthornpier.daemon._shards import RoutingShardClient, ShardHost
from hawthornpier.daemon._table_sync import TableSync
from hawthornpier.entry import EntryRouter, EntryTiming, JobRouter
from hawthornpier.events import EventRecorder, HybridClock
from hawthornpier.messages import EventKind, Heartbeat
from hawthornpier.metrics import Metrics
from hawthornpier.owner import ShardOwner
from hawthornpier.ports import PeerError
from hawthornpier.settings import Settings
from hawthornpier.table import VersionedTable

# A larger body is refused by the HTTP server before it is read.
MAX_BODY_BYTES = 1_000_000
MAX_HEADER_BYTES = 16_384
# A caller that sends its body slower than this is cut off.
BODY_TIMEOUT_S = 30
IDLE_TIMEOUT_S = 300

# How long the balancer and the peers take to notice that a process leaves.
LEAVE_NOTICE_MS = 1_000
# How long kept connections are served after the last request.  Responses ask
# clients to close, so a connection that is closed here later is idle.
LINGER_MS = 1_000
_POLL_MS = 20


class EntryProcess:
    """
    Serves callers, operators and peers until it is stopped.
    """

    def __init__(self, settings: Settings) -> None:
        self.settings = settings
        self._connections = Connections.of(settings)
        self._clock = self._connections.clock
        process = settings.process
        timing = settings.timing
        self._activity = Activity()
        self._tasks: list[asyncio.Task[None]] = []
        self._rng = random.SystemRandom()
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
        self._metrics = Metrics(
            process.process_id,
            is_scraped=settings.observability.is_metrics_enabled,
            otlp_endpoint=settings.observability.otlp_address,
        )
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
            events=self.recorder,
        )
        self._directory = ProcessDirectory(self._link, self._clock, leases)
        self._wire_table()
        self._wire_shards()
        self._wire_entry()
        self._server = HTTPServer(
            make_application(self.services),
            max_body_size=MAX_BODY_BYTES,
            max_header_size=MAX_HEADER_BYTES,
            body_timeout=BODY_TIMEOUT_S,
            idle_connection_timeout=IDLE_TIMEOUT_S,
            ssl_options=_server_tls(settings),
        )

    async def start(self) -> None:
        """
        Listen, join the others and claim shards.
        """
        process = self.settings.process
        self._server.listen(process.listen_port, process.listen_address)
        self.recorder.record(EventKind.PROCESS_STARTED)
        await self._directory_ready()
        runs = (
            self._lease.run(),
            self._membership.run(),
            self._host_view.run(),
            self._table_sync.run(),
            self._ownership.run(),
        )
        loop = asyncio.get_running_loop()
        self._tasks = [loop.create_task(run) for run in runs]

    async def stop(self) -> None:
        """
        Leave without cutting off a request: announce, hand over, wait, close.
        """
        self._activity.is_leaving = True
        self.recorder.record(EventKind.PROCESS_STOPPING)
        timeout_s = self.settings.timing.drain_timeout_ms / 1000
        try:
            async with asyncio.timeout(timeout_s):
                await self._leave()
        except TimeoutError:
            self.recorder.record(
                EventKind.PROCESS_STOPPING,
                detail='the drain timeout has passed',
            )
        await self._close()

    async def wait_failed(self) -> None:
        """
        Return when one of the permanent tasks has failed.
        """
        done, _ = await asyncio.wait(
            self._tasks,
            return_when=asyncio.FIRST_COMPLETED,
        )
        for task in done:
            task.result()

    async def _leave(self) -> None:
        try:
            await self._lease.announce_leaving()
        except Exception as error:
            # The heartbeats announce it as well.
            self.recorder.record(
                EventKind.STORE_OUT,
                detail=f'leaving was not announced: {error}',
            )
        await self._clock.sleep_ms(LEAVE_NOTICE_MS)
        await self._ownership.hand_over_all()
        await self._lease.release()
        await self._wait_quiet()

    async def _wait_quiet(self) -> None:
        """
        Wait until no request has been open for the linger time.
        """
        quiet_since_ms = self._clock.monotonic_ms()
        while self._clock.monotonic_ms() - quiet_since_ms < LINGER_MS:
            if self._activity.open_count:
                quiet_since_ms = self._clock.monotonic_ms()
            await self._clock.sleep_ms(_POLL_MS)

    async def _close(self) -> None:
        # Before anything is awaited, so that no request slips in between.
        self._server.stop()
        closing = asyncio.ensure_future(self._server.close_all_connections())
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for shard in tuple(self._shard_host.owners()):
            await self._shard_host.on_loss(shard)
        await closing
        self._connections.close()
        self._metrics.shutdown()

    async def _directory_ready(self) -> None:
        """
        Read the host list once, so that a first claim knows its workers.
        """
        await self._host_view.refresh()

    # Wiring.

    def _wire_table(self) -> None:
        timing = self.settings.timing
        self._membership = Membership(
            self._identity,
            self._clock,
            _timings.membership_timings(timing),
            self._directory,
            connect=self._connections.peer,
            describe=self._heartbeat,
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
            events=self.recorder,
        )
        self._catalog = TableCatalog(self._table)
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
        self._shard_host = ShardHost(
            store=self._link,
            clock=self._clock,
            limits=_timings.commit_limits(timing),
            make_owner=self._make_owner,
            has_guards=self.settings.platform.has_worker_guards,
            events=self.recorder,
        )
        self._ownership = ShardOwnership(
            self._shards(),
            self._lease,
            self._directory,
            self._link,
            self._clock,
            _timings.ownership_timings(timing),
            on_gain=self._shard_host.on_gain,
            on_loss=self._shard_host.on_loss,
            on_hand_over=self._shard_host.on_hand_over,
            events=self.recorder,
        )
        self._host_view = HostView(
            self._connections.host_list(),
            self._clock,
            _timings.host_view_timings(timing),
            shard_count=cluster.shards_per_failure_domain,
            on_change=self._shard_host.on_host_change,
            events=self.recorder,
        )
        self._shard_host.bind(self._ownership, self._host_view)

    def _wire_entry(self) -> None:
        process = self.settings.process
        client = RoutingShardClient(
            process_id=process.process_id,
            host=self._shard_host,
            owner_address=self._owner_address,
            connect=self._connections.peer,
        )
        chooser = NearestShardChooser(
            region=process.region,
            failure_domain=process.failure_domain,
            regions={
                domain.name: domain.region
                for domain in self.settings.cluster.failure_domains
            },
            loads=self._membership.loads,
            rng=random.Random(self._rng.getrandbits(64)),
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
            shard_host=self._shard_host,
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
            jobs=JobRouter(client=client, chooser=chooser),
            signing_keys=self._connections.signing_keys,
            is_ready=self._is_ready,
            owner_of=self._owner_name,
            peer_events=self._peer_events,
            activity=self._activity,
        )

    def _make_owner(
        self,
        owned: OwnedShard,
        group_commit: GroupCommit,
    ) -> ShardOwner:
        return ShardOwner(
            shard=owned.shard,
            epoch=owned.epoch,
            policy=make_policy(
                self.settings.policy,
                seed=self._rng.getrandbits(32),
            ),
            committer=GroupCommitter(group_commit, self._clock),
            store=self._link,
            connect=self._connections.worker,
            catalog=self._catalog,
            gate=self._confirmation,
            clock=self._clock,
            timing=_timings.owner_timing(self.settings.timing),
            events=self.recorder,
        )

    # What the parts ask of each other.

    def _shards(self) -> list[str]:
        cluster = self.settings.cluster
        return [
            f'{domain.name}/{number}'
            for domain in cluster.failure_domains
            for number in range(cluster.shards_per_failure_domain)
        ]

    def _heartbeat(self) -> Heartbeat:
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
            is_leaving=self._activity.is_leaving,
            stamp=self._hybrid_clock.tick(),
            loads=self._shard_host.loads(),
        )

    def _on_heartbeat_reply(self, heartbeat: Heartbeat, sent_ms: int) -> None:
        self._hybrid_clock.merge(heartbeat.stamp)
        self._confirmation.note_reply(heartbeat, sent_ms)

    def _on_table_change(self) -> None:
        self._shard_host.refresh_limits()

    def _is_reader(self) -> bool:
        domain = self._identity.failure_domain
        reader = self._membership.reader_of(domain)
        return reader == self._identity.process_id

    def _is_ready(self) -> bool:
        if self._activity.is_leaving:
            return False
        return self._confirmation.may_admit()

    def _owner_address(self, shard: str) -> tuple[str, str] | None:
        owner = self._ownership.owners.get(shard)
        if owner is None or not owner.row.process_id:
            return None
        return owner.row.process_id, owner.row.address

    def _owner_name(self, shard: str) -> str:
        found = self._owner_address(shard)
        return found[0] if found else ''

    async def _peer_events(self) -> list[bytes]:
        fetched = await asyncio.gather(
            *(
                self._connections.peer(peer.address).events()
                for peer in self._membership.live_peers()
            ),
            return_exceptions=True,
        )
        # A peer that does not answer is left out of the time line.
        failures = [
            result for result in fetched if isinstance(result, BaseException)
        ]
        for failure in failures:
            if not isinstance(failure, PeerError):
                raise failure
        return [result for result in fetched if isinstance(result, bytes)]


def _server_tls(settings: Settings) -> ssl.SSLContext | None:
    security = settings.security
    if not security.is_tls_enabled:
        return None
    context = ssl.create_default_context(ssl.Purpose.CLIENT_AUTH)
    context.load_cert_chain(
        security.tls_certificate_file,
        security.tls_private_key_file,
    )
    return context
