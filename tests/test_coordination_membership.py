"""
Tests of heartbeats, of suspicion and of the confirmation of the table.
"""

import asyncio
import random
from collections.abc import Awaitable, Callable

import pytest
from fake_store import FakeStore, FakeStorePort, PausableClock
from virtual_time import run_virtual

from hawthornpier.coordination import (
    ConfirmationTimings,
    LeaseTimings,
    Membership,
    MembershipTimings,
    ProcessDirectory,
    ProcessIdentity,
    ProcessLease,
    StoreLink,
    TableConfirmation,
)
from hawthornpier.messages import (
    ClockStamp,
    Heartbeat,
    HeartbeatReply,
    ShardLoad,
)
from hawthornpier.ports import PeerUnreachableError


class Process:
    """
    One process with a lease, peers and a confirmation of the table.
    """

    def __init__(
        self,
        network: 'Network',
        process_id: str,
        timings: MembershipTimings,
    ) -> None:
        domain = process_id.split('-')[0]
        self.identity = ProcessIdentity(
            process_id=process_id,
            address=process_id,
            region='semenanjung',
            failure_domain=domain,
        )
        self.network = network
        self.clock = PausableClock()
        self.version = 1
        self.epoch = 1
        self.count = 0
        self.is_leaving = False
        self.port = FakeStorePort(
            network.store,
            self.clock,
            random.Random(process_id),
        )
        link = StoreLink(self.port, self.clock, LeaseTimings())
        self.lease = ProcessLease(
            self.identity,
            link,
            self.clock,
            LeaseTimings(),
            rng=random.Random(process_id),
        )
        self.directory = ProcessDirectory(link, self.clock, LeaseTimings())
        self.confirmation = TableConfirmation(
            process_id,
            self.clock,
            ConfirmationTimings(),
            known_ids=lambda: self.directory.last_known_ids,
            is_store_out=lambda: self.lease.store_is_out,
        )
        self.members = Membership(
            self.identity,
            self.clock,
            timings,
            self.directory,
            connect=lambda address: Wire(network, process_id, address),
            describe=self.describe,
            on_reply=self.confirmation.note_reply,
        )
        self.tasks = [
            asyncio.create_task(task())
            for task in (self.lease.run, self.members.run, self.read_store)
        ]

    def describe(self) -> Heartbeat:
        """
        Return the own heartbeat, with the load of one shard.
        """
        self.count += 1
        age_ms = self.confirmation.age_ms
        load = ShardLoad(
            shard=f'{self.identity.failure_domain}/{self.identity.process_id}',
            epoch=self.epoch,
            free_slot_count=self.count,
            slot_count=8,
            queued_request_count=0,
            queued_task_count=0,
        )
        return Heartbeat(
            process_id=self.identity.process_id,
            incarnation=self.lease.incarnation,
            address=self.identity.address,
            region=self.identity.region,
            failure_domain=self.identity.failure_domain,
            table_version=self.version,
            table_age_ms=-1 if age_ms is None else age_ms,
            is_store_out=self.lease.store_is_out,
            is_leaving=self.is_leaving,
            stamp=ClockStamp(
                wall_ms=self.clock.wall_ms(),
                counter=self.count,
                process_id=self.identity.process_id,
            ),
            loads=(load,),
        )

    async def read_store(self) -> None:
        """
        Read the process rows, and as the reader the head of the table.
        """
        while True:
            sent_ms = self.clock.monotonic_ms()
            try:
                await self.directory.refresh()
            except Exception:
                self.network.failure_count += 1
            else:
                domain = self.identity.failure_domain
                if self.members.reader_of(domain) == self.identity.process_id:
                    self.version = self.network.version
                    self.confirmation.note_head(self.version, sent_ms)
            # Stands for the deltas that peers fetch from each other.
            seen = self.members.table_version_seen()
            self.version = max(self.version, seen)
            self.confirmation.note_version(self.version)
            await self.clock.sleep_ms(500)

    def live_ids(self) -> set[str]:
        """
        Return the ids of the peers that may be sent work.
        """
        return {view.process_id for view in self.members.live_peers()}


class Wire:
    """
    The `PeerPort` from one process to another.
    """

    def __init__(self, network: 'Network', source: str, target: str) -> None:
        self.network = network
        self.source = source
        self.target = target

    async def heartbeat(self, heartbeat: Heartbeat) -> HeartbeatReply:
        """
        Deliver the heartbeat unless the two are in different partitions.
        """
        network = self.network
        network.sent.append((self.source, self.target))
        if network.side(self.source) != network.side(self.target):
            raise PeerUnreachableError('no route')
        target = network.processes[self.target]
        await target.clock.until_running()
        await asyncio.sleep(0.012)
        reply = target.members.answer(heartbeat)
        await network.processes[self.source].clock.until_running()
        return reply


class Network:
    """
    All processes, the store, and the partition between them.
    """

    def __init__(self) -> None:
        self.store = FakeStore()
        self.version = 1
        self.processes: dict[str, Process] = {}
        self.cut_off: set[str] = set()
        self.sent: list[tuple[str, str]] = []
        self.failure_count = 0

    def side(self, process_id: str) -> bool:
        """
        Return the side of the partition that a process is on.
        """
        return process_id in self.cut_off

    def start(self, *process_ids: str, **timings: object) -> list[Process]:
        """
        Start processes, whose ids begin with their failure domain.
        """
        started = [
            Process(self, process_id, MembershipTimings(**timings))
            for process_id in process_ids
        ]
        self.processes.update(
            (process.identity.process_id, process) for process in started
        )
        return started

    def admitting(self) -> set[str]:
        """
        Return the processes that may admit work.
        """
        return {
            process_id
            for process_id, process in self.processes.items()
            if process.confirmation.may_admit()
        }


def run_network(scenario: Callable[[Network], Awaitable[None]]) -> None:
    """
    Run the scenario in a new network.
    """

    async def run() -> None:
        network = Network()
        await scenario(network)
        for process in network.processes.values():
            for task in process.tasks:
                assert not task.done()

    run_virtual(run())


_NAMES = ('ipoh-1', 'ipoh-2', 'ipoh-3')


class TestMembership:
    """
    Processes find each other and notice who is gone.
    """

    def test_a_silent_peer_is_suspected_and_comes_back(self) -> None:
        """
        Work is not forwarded to a peer that has not been heard for 2 s.
        """

        async def scenario(network: Network) -> None:
            first = network.start(*_NAMES)[0]
            await asyncio.sleep(3)
            assert first.live_ids() == {'ipoh-2', 'ipoh-3'}
            network.cut_off = {'ipoh-3'}
            await asyncio.sleep(1.4)
            assert first.live_ids() == {'ipoh-2', 'ipoh-3'}
            await asyncio.sleep(1.6)
            assert first.live_ids() == {'ipoh-2'}
            network.cut_off = set()
            await asyncio.sleep(1)
            assert first.live_ids() == {'ipoh-2', 'ipoh-3'}

        run_network(scenario)

    def test_an_own_pause_suspects_nobody(self) -> None:
        """
        A process that was paused does not blame its peers for it.
        """

        async def scenario(network: Network) -> None:
            first = network.start(*_NAMES)[0]
            await asyncio.sleep(3)
            first.clock.pause()
            await asyncio.sleep(10)
            first.clock.resume()
            for _ in range(300):
                await asyncio.sleep(0.01)
                suspected = [
                    peer.process_id
                    for peer in first.members.peers()
                    if not peer.is_live
                ]
                assert not suspected

        run_network(scenario)

    def test_a_leaving_peer_gets_no_work(self) -> None:
        """
        A peer that announced that it leaves stays out of routing.
        """

        async def scenario(network: Network) -> None:
            first, _, third = network.start(*_NAMES)
            await asyncio.sleep(3)
            third.is_leaving = True
            await asyncio.sleep(0.6)
            assert first.live_ids() == {'ipoh-2'}
            third.is_leaving = False
            await asyncio.sleep(3)
            assert first.live_ids() == {'ipoh-2'}

        run_network(scenario)

    def test_only_readers_talk_between_domains(self) -> None:
        """
        Heartbeats between domains do not grow with the processes in them.
        """

        async def scenario(network: Network) -> None:
            network.start(*_NAMES, 'melaka-1', 'melaka-2', 'melaka-3')
            await asyncio.sleep(5)
            network.sent.clear()
            await asyncio.sleep(10)
            far = {
                (source, target)
                for source, target in network.sent
                if source[:4] != target[:4]
            }
            assert far == {('ipoh-1', 'melaka-1'), ('melaka-1', 'ipoh-1')}

        run_network(scenario)

    def test_the_loads_of_all_shards_reach_all_processes(self) -> None:
        """
        Each process knows recent loads of each shard, also after the reader
        of its domain has changed.
        """

        async def scenario(network: Network) -> None:
            names = (*_NAMES, 'melaka-1', 'melaka-2')
            processes = network.start(*names)
            await asyncio.sleep(6)
            for round_number in range(2):
                for process in processes[round_number:]:
                    loads = process.members.loads()
                    shards = {load.shard for load in loads}
                    assert len(shards) == 5
                network.cut_off = {'ipoh-1'}
                await asyncio.sleep(8)
            assert processes[1].members.reader_of('ipoh') == 'ipoh-2'
            assert processes[3].members.reader_of('ipoh') == 'ipoh-2'

        run_network(scenario)

    def test_the_newest_epoch_of_a_load_wins(self) -> None:
        """
        The load that a deposed owner reports is ignored.
        """

        async def scenario(network: Network) -> None:
            first, second = network.start('ipoh-1', 'ipoh-2')
            await asyncio.sleep(2)
            second.epoch = 5
            first.members.observe(second.describe())
            second.epoch = 4
            first.members.observe(second.describe())
            assert first.members.loads()[1].epoch == 5

        run_network(scenario)

    def test_a_late_heartbeat_is_ignored(self) -> None:
        """
        A heartbeat that was overtaken does not make a peer live again.
        """

        async def scenario(network: Network) -> None:
            first, second = network.start('ipoh-1', 'ipoh-2')
            late = second.describe()
            await asyncio.sleep(3)
            network.cut_off = {'ipoh-2'}
            await asyncio.sleep(4)
            first.members.observe(late)
            assert first.live_ids() == set()

        run_network(scenario)


class TestTableConfirmation:
    """
    No process admits work under a table that may be out of date.
    """

    def test_a_partitioned_process_stops_to_admit(self) -> None:
        """
        Without the store and without peers, admission ends after 4 s.
        """

        async def scenario(network: Network) -> None:
            network.start(*_NAMES)
            await asyncio.sleep(4)
            assert network.admitting() == set(_NAMES)
            network.cut_off = {'ipoh-3'}
            network.processes['ipoh-3'].port.is_cut_off = True
            await asyncio.sleep(4.6)
            assert network.admitting() == {'ipoh-1', 'ipoh-2'}
            editors = [
                process.confirmation.may_accept_edits()
                for process in network.processes.values()
            ]
            assert editors == [True, True, False]

        run_network(scenario)

    def test_an_outage_that_all_share_does_not_stop_admission(self) -> None:
        """
        If the store is out for everyone, no edit can be missed.
        """

        async def scenario(network: Network) -> None:
            first = network.start(*_NAMES)[0]
            await asyncio.sleep(4)
            network.store.is_out = True
            await asyncio.sleep(30)
            assert network.admitting() == set(_NAMES)
            assert not first.confirmation.may_accept_edits()

        run_network(scenario)

    def test_a_minority_stops_even_if_the_store_is_out(self) -> None:
        """
        Processes that hear only a minority cannot tell an outage for all.
        """

        async def scenario(network: Network) -> None:
            network.start(*_NAMES)
            await asyncio.sleep(4)
            network.store.is_out = True
            network.cut_off = {'ipoh-3'}
            await asyncio.sleep(10)
            assert network.admitting() == {'ipoh-1', 'ipoh-2'}

        run_network(scenario)

    def test_lost_processes_still_count(self) -> None:
        """
        The side with the store accepts no edit while it is a minority, even
        after the leases of the other side have expired.
        """

        async def scenario(network: Network) -> None:
            processes = network.start(*_NAMES)
            await asyncio.sleep(4)
            network.cut_off = {'ipoh-3'}
            for process in processes[:2]:
                process.port.is_cut_off = True
            await asyncio.sleep(20)
            assert network.admitting() == {'ipoh-1', 'ipoh-2', 'ipoh-3'}
            assert not processes[2].confirmation.may_accept_edits()

        run_network(scenario)

    def test_a_newer_version_of_a_peer_stops_admission(self) -> None:
        """
        In a shared outage, a process with an older table admits nothing.
        """

        async def scenario(network: Network) -> None:
            first, second, _ = network.start(*_NAMES)
            await asyncio.sleep(4)
            network.store.is_out = True
            await asyncio.sleep(10)
            second.tasks[2].cancel()
            first.version = 2
            assert not first.confirmation.is_known_to_majority(2)
            first.confirmation.note_version(2)
            await asyncio.sleep(0.6)
            assert 'ipoh-2' not in network.admitting()
            second.tasks.pop()

        run_network(scenario)

    @pytest.mark.parametrize(('age_ms', 'expected'), [(500, True), (-1, False)])
    def test_a_delayed_reply_is_as_old_as_its_question(
        self,
        age_ms: int,
        expected: bool,
    ) -> None:
        """
        A reply that was under way for 4 s confirms nothing, nor does one of
        a process without confirmation or about a version not yet applied.
        """

        async def scenario(network: Network) -> None:
            first, second = network.start('ipoh-1', 'ipoh-2')
            heartbeat = second.describe()
            confirmation = TableConfirmation(
                'ipoh-1',
                first.clock,
                ConfirmationTimings(),
                known_ids=frozenset,
                is_store_out=bool,
            )
            reply = Heartbeat(
                **{
                    name: getattr(heartbeat, name)
                    for name in heartbeat.__slots__
                    if name != 'table_age_ms'
                },
                table_age_ms=age_ms,
            )
            await asyncio.sleep(4)
            confirmation.note_reply(reply, 0)
            confirmation.note_version(1)
            assert not confirmation.is_confirmed
            confirmation.note_reply(reply, 4_000)
            assert confirmation.is_confirmed is expected

        run_network(scenario)
