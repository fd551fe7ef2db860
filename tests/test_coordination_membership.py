"""
Tests of heartbeats, peer suspicion and the confirmation of the table.
"""

import asyncio
import contextlib
from dataclasses import asdict, replace

from fake_store import FakeStore, virtual_tests
from test_coordination_faults import Process

from hawthornpier import coordination as co
from hawthornpier import messages as ms
from hawthornpier.ports import PeerUnreachableError, PortError


class Peer(Process):
    """
    A process with a membership and a confirmation of the table.
    """

    def __init__(self, network, process_id):
        super().__init__(network.store, process_id, process_id.split('-')[0])
        self.version = 1
        self.epoch = 1
        self.count = 0
        self.is_leaving = False
        self.confirmation = co.TableConfirmation(
            process_id,
            self.clock,
            co.ConfirmationTimings(),
            known_ids=lambda: self.directory.last_known_ids,
            is_store_out=lambda: self.lease.is_store_out,
        )
        self.members = co.Membership(
            self.identity,
            self.clock,
            network.timings,
            self.directory,
            connect=lambda address: FakePeerPort(network, process_id, address),
            describe=self.describe,
            on_reply=self.confirmation.record_reply,
        )
        self.tasks.append(asyncio.create_task(self.members.run()))
        self.tasks.append(asyncio.create_task(self.read_store()))

    def describe(self):
        self.count += 1
        age_ms = self.confirmation.age_ms
        load = ms.ShardLoad(
            shard=f'{self.identity.failure_domain}/{self.process_id}',
            epoch=self.epoch,
            free_slot_count=self.count,
            slot_count=8,
            queued_request_count=0,
            queued_task_count=0,
        )
        return ms.Heartbeat(
            **asdict(self.identity),
            incarnation=self.lease.incarnation,
            table_version=self.version,
            table_age_ms=-1 if age_ms is None else age_ms,
            is_store_out=self.lease.is_store_out,
            is_leaving=self.is_leaving,
            stamp=ms.ClockStamp(
                wall_ms=self.clock.wall_ms(),
                counter=self.count,
                process_id=self.process_id,
            ),
            loads=(load,),
        )

    async def read_store(self):
        domain = self.identity.failure_domain
        while True:
            sent_ms = self.clock.monotonic_ms()
            with contextlib.suppress(PortError):
                await self.directory.refresh()
                if self.members.reader_of(domain) == self.process_id:
                    self.confirmation.record_head(self.version, sent_ms)
            # Simulates the fetch of table deltas from peers.
            seen = self.members.table_version_seen()
            self.version = max(self.version, seen)
            self.confirmation.record_version(self.version)
            await self.clock.sleep_ms(500)

    def live_ids(self):
        return {view.process_id for view in self.members.live_peers()}


class FakePeerPort:
    """
    The `PeerPort` from one process to another, over a fake network.
    """

    def __init__(self, network, source, target):
        self.network = network
        self.ends = source, target

    async def heartbeat(self, heartbeat):
        self.network.sent.append(self.ends)
        source, target = map(self.network.processes.get, self.ends)
        if len(self.network.partitioned_ids.intersection(self.ends)) == 1:
            raise PeerUnreachableError('no route')
        await target.clock.wait_until_running()
        await asyncio.sleep(0.012)
        reply = target.members.reply_to(heartbeat)
        await source.clock.wait_until_running()
        return reply


class Network:
    """
    All processes and the store, with a network that can be partitioned.

    *partitioned_ids* holds the ids of the processes on one side of the
    partition.
    """

    def __init__(self):
        self.store = FakeStore()
        self.processes = {}
        self.partitioned_ids = set()
        self.sent = []
        self.timings = co.MembershipTimings()

    def finish(self):
        for process in self.processes.values():
            assert not any(task.done() for task in process.tasks)

    def start(self, *names):
        started = {name: Peer(self, name) for name in names}
        self.processes.update(started)
        return list(started.values())

    def admitting_ids(self):
        return {
            name
            for name, process in self.processes.items()
            if process.confirmation.may_admit()
        }


_NAMES = ('ipoh-1', 'ipoh-2', 'ipoh-3')


@virtual_tests(Network)
class TestMembership:
    """
    Processes discover their peers and suspect overdue ones.
    """

    async def test_an_overdue_peer_is_suspected_and_comes_back(self, network):
        """
        A peer without a heartbeat for 2 s is not live until it replies again.
        """
        first = network.start(*_NAMES)[0]
        await asyncio.sleep(3)
        assert first.live_ids() == {'ipoh-2', 'ipoh-3'}
        network.partitioned_ids = {'ipoh-3'}
        await asyncio.sleep(1.4)
        assert first.live_ids() == {'ipoh-2', 'ipoh-3'}
        await asyncio.sleep(1.6)
        assert first.live_ids() == {'ipoh-2'}
        network.partitioned_ids = set()
        await asyncio.sleep(1)
        assert first.live_ids() == {'ipoh-2', 'ipoh-3'}

    async def test_a_pause_of_the_process_suspects_no_peer(self, network):
        """
        A process that was paused does not suspect its peers afterwards.
        """
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

    async def test_a_leaving_peer_gets_no_work(self, network):
        """
        A peer that has announced that it leaves is never sent work again.
        """
        first, _, third = network.start(*_NAMES)
        await asyncio.sleep(3)
        third.is_leaving = True
        await asyncio.sleep(0.6)
        assert first.live_ids() == {'ipoh-2'}
        third.is_leaving = False
        await asyncio.sleep(3)
        assert first.live_ids() == {'ipoh-2'}

    async def test_only_readers_send_heartbeats_between_domains(self, network):
        """
        The number of heartbeats between failure domains does not depend on
        the number of processes in them.
        """
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

    async def test_the_loads_of_all_shards_reach_all_processes(self, network):
        """
        Each process has recent loads of each shard, even after the reader
        of its failure domain has changed.
        """
        names = (*_NAMES, 'melaka-1', 'melaka-2')
        processes = network.start(*names)
        await asyncio.sleep(6)
        for round_number in range(2):
            for process in processes[round_number:]:
                loads = process.members.loads()
                shards = {load.shard for load in loads}
                assert len(shards) == 5
            network.partitioned_ids = {'ipoh-1'}
            await asyncio.sleep(8)
        assert processes[1].members.reader_of('ipoh') == 'ipoh-2'
        assert processes[3].members.reader_of('ipoh') == 'ipoh-2'

    async def test_the_newest_epoch_of_a_load_wins(self, network):
        """
        A load from an owner with an older epoch is ignored.
        """
        first, second = network.start('ipoh-1', 'ipoh-2')
        await asyncio.sleep(2)
        second.epoch = 5
        first.members.observe(second.describe())
        second.epoch = 4
        first.members.observe(second.describe())
        assert first.members.loads()[1].epoch == 5

    async def test_a_late_heartbeat_is_ignored(self, network):
        """
        A heartbeat that is older than the last one does not make a suspected
        peer live again.
        """
        first, second = network.start('ipoh-1', 'ipoh-2')
        late = second.describe()
        await asyncio.sleep(3)
        network.partitioned_ids = {'ipoh-2'}
        await asyncio.sleep(4)
        first.members.observe(late)
        assert first.live_ids() == set()


@virtual_tests(Network)
class TestTableConfirmation:
    """
    No process admits work under a table that may be outdated.
    """

    async def test_a_partitioned_process_stops_to_admit(self, network):
        """
        A process that reaches neither the store nor peers stops admission
        after 4 s.
        """
        network.start(*_NAMES)
        await asyncio.sleep(4)
        assert network.admitting_ids() == set(_NAMES)
        network.partitioned_ids = {'ipoh-3'}
        network.processes['ipoh-3'].port.is_partitioned = True
        await asyncio.sleep(4.6)
        assert network.admitting_ids() == {'ipoh-1', 'ipoh-2'}
        editors = [
            process.confirmation.may_accept_edits()
            for process in network.processes.values()
        ]
        assert editors == [True, True, False]

    async def test_a_shared_outage_does_not_stop_admission(self, network):
        """
        While the store is out for all processes there are no new edits, so
        admission continues.
        """
        first = network.start(*_NAMES)[0]
        await asyncio.sleep(4)
        network.store.is_out = True
        await asyncio.sleep(30)
        assert network.admitting_ids() == set(_NAMES)
        assert not first.confirmation.may_accept_edits()

    async def test_majorities_of_several_domains(self, network):
        """
        With a full mesh of heartbeats, each process detects a shared outage.
        """
        network.timings = co.MembershipTimings(is_full_mesh=True)
        names = {'ipoh-1', 'ipoh-2', 'melaka-1', 'melaka-2', 'melaka-3'}
        first = network.start(*sorted(names))[0]
        await asyncio.sleep(6)
        assert first.confirmation.may_accept_edits()
        network.store.is_out = True
        await asyncio.sleep(10)
        assert network.admitting_ids() == names

    async def test_a_minority_stops_even_if_the_store_is_out(self, network):
        """
        A process without replies from a majority stops admission, since it
        cannot know whether the others reach the store.
        """
        network.start(*_NAMES)
        await asyncio.sleep(4)
        network.store.is_out = True
        network.partitioned_ids = {'ipoh-3'}
        await asyncio.sleep(10)
        assert network.admitting_ids() == {'ipoh-1', 'ipoh-2'}

    async def test_lost_processes_still_count(self, network):
        """
        A minority that reaches the store accepts no edit, even after the
        leases of the other processes have expired.
        """
        processes = network.start(*_NAMES)
        await asyncio.sleep(4)
        network.partitioned_ids = {'ipoh-3'}
        for process in processes[:2]:
            process.port.is_partitioned = True
        await asyncio.sleep(20)
        assert network.admitting_ids() == {'ipoh-1', 'ipoh-2', 'ipoh-3'}
        assert not processes[2].confirmation.may_accept_edits()

    async def test_edits_need_a_majority_with_the_store(self, network):
        """
        An edit is attempted only while a majority could read it from the
        store.
        """
        first, second, third = network.start(*_NAMES)
        await asyncio.sleep(4)
        second.port.is_partitioned = True
        third.port.is_partitioned = True
        await asyncio.sleep(4)
        assert not first.confirmation.may_accept_edits()
        second.port.is_partitioned = False
        await asyncio.sleep(4)
        assert first.confirmation.may_accept_edits()

    async def test_a_newer_version_of_a_peer_stops_admission(self, network):
        """
        In a shared outage, a process with an older table than a peer admits
        no work.
        """
        first, second, _ = network.start(*_NAMES)
        await asyncio.sleep(4)
        network.store.is_out = True
        await asyncio.sleep(10)
        second.tasks[2].cancel()
        first.version = 2
        assert not first.confirmation.is_known_to_majority(2)
        first.confirmation.record_version(2)
        await asyncio.sleep(0.6)
        assert 'ipoh-2' not in network.admitting_ids()
        second.tasks.pop()

    async def test_a_delayed_reply_is_as_old_as_its_heartbeat(self, network):
        """
        A reply to a heartbeat sent 4 s ago does not confirm the table, nor
        does a reply from an unconfirmed peer or with a version that this
        process has not applied.
        """
        first, second = network.start('ipoh-1', 'ipoh-2')
        first.tasks.pop().cancel()
        network.partitioned_ids = {'ipoh-1'}
        first.confirmation.record_version(1)
        reply = replace(second.describe(), table_age_ms=500)
        await asyncio.sleep(4)
        confirmation = first.confirmation
        confirmation.record_reply(reply, 0)
        assert not confirmation.is_confirmed
        confirmation.record_reply(replace(reply, table_age_ms=-1), 4_000)
        confirmation.record_reply(replace(reply, table_version=9), 4_000)
        assert not confirmation.is_confirmed
        confirmation.record_reply(reply, 4_000)
        assert confirmation.is_confirmed
