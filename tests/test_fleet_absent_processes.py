"""
Tests of the removal of processes that have left for good.
"""

import asyncio

import msgspec
from fake_store import virtual_tests
from fleet_world import World
from virtual_time import VirtualClock

from hawthornpier.events import DecisionLog
from hawthornpier.fleet import ProcessCard
from hawthornpier.fleet._absent_processes import AbsenceCounter, AbsentProcesses
from hawthornpier.fleet._process_directory import (
    PROCESS_TABLE,
    ProcessDirectory,
)
from hawthornpier_standin import fleet as standin

CHECK_COUNT = 20
# After this time, a process that has left is not in the directory any more.
REMOVAL_MS = 700_000


def card(name, process_id=''):
    return ProcessCard(process_id=process_id or name, address=name)


class TestAbsenceCounter:
    """
    A process has left after many checks in a row without a sign of it.
    """

    def test_a_process_that_is_heard_of_again(self):
        """
        Guards against the removal of a process that was only silent.
        """
        counter = AbsenceCounter()
        for _ in range(CHECK_COUNT - 1):
            assert not counter.add_check([card('a')], heard=())
        assert not counter.add_check([card('a')], heard={'a'})
        assert not counter.add_check([card('a')], heard=())

    def test_a_process_that_has_left(self):
        """
        Guards against entries that stay for ever.
        """
        counter = AbsenceCounter()
        cards = [card('a'), card('b')]
        for _ in range(CHECK_COUNT - 1):
            counter.add_check(cards, heard={'b'})
        assert counter.add_check(cards, heard={'b'}) == [card('a')]

    def test_a_restarted_process(self):
        """
        Guards against a new process that inherits the absence of the previous
        one on its host.
        """
        counter = AbsenceCounter()
        for _ in range(CHECK_COUNT):
            counter.add_check([card('a', 'first')], heard=())
        assert not counter.add_check([card('a', 'second')], heard=())


class Contacts:
    """
    Processes that ask the owner for its status, by address.
    """

    def __init__(self):
        self.heard = set()

    def heard_since(self, time_ms):
        return self.heard


class Owner:
    """
    Whether a process owns the shard.
    """

    is_own = True


class Directories:
    """
    Processes *a*, *b* and *c* with one directory each; *a* is the owner.
    """

    def __init__(self):
        self.clock = VirtualClock()
        self.store = standin.StandinRowStore(self.clock)
        self.clients = {}
        self.directories = {}
        self.contacts = Contacts()
        self.ownership = Owner()
        self.tasks = {}
        for name in ('a', 'b', 'c'):
            self.start(name)
        absences = AbsentProcesses(
            self.directories['a'], self.contacts, self.ownership
        )
        self.tasks['absences'] = asyncio.ensure_future(absences.run())

    def start(self, name):
        self.contacts.heard.add(name)
        client = standin.StandinStoreClient(self.store)
        self.clients[name] = client
        self.directories[name] = ProcessDirectory(
            client,
            name=name,
            card=card(name),
            clock=self.clock,
            log=DecisionLog(name, lines_per_s=10**6),
        )
        run = self.directories[name].run()
        self.tasks[name] = asyncio.ensure_future(run)

    def leave(self, name):
        self.tasks[name].cancel()
        self.contacts.heard.discard(name)

    def registered(self):
        return {key for table, _, key in self.store.rows}

    async def run_for(self, duration_ms):
        await self.clock.sleep_ms(duration_ms)

    def finish(self):
        for task in self.tasks.values():
            task.cancel()


@virtual_tests(Directories)
class TestRemoval:
    """
    The owner removes the entries of processes that have left.
    """

    async def test_others_forget_the_process(self, subject):
        """
        Guards against readers, relays and claims that depend on hosts that
        have left.
        """
        subject.leave('c')
        await subject.run_for(REMOVAL_MS)
        assert subject.registered() == {'a', 'b'}
        assert set(subject.directories['b'].cards) == {'a', 'b'}

    async def test_a_process_that_missed_the_removal_forgets_it(self, subject):
        """
        Guards against entries that are kept because the history of the store
        does not reach back to their removal.
        """
        subject.leave('c')
        subject.clients['b'].fault = standin.StoreFault.SILENT
        await subject.run_for(REMOVAL_MS)
        subject.store.discard_changes()
        subject.clients['b'].fault = standin.StoreFault.NONE
        await subject.run_for(10_000)
        assert set(subject.directories['b'].cards) == {'a', 'b'}

    async def test_a_process_out_of_touch_registers_again(self, subject):
        """
        Guards against the removal of a process that runs.
        """
        subject.contacts.heard.discard('c')
        subject.clients['c'].fault = standin.StoreFault.SILENT
        await subject.run_for(REMOVAL_MS)
        assert subject.registered() == {'a', 'b'}
        subject.store.discard_changes()
        subject.clients['c'].fault = standin.StoreFault.NONE
        await subject.run_for(10_000)
        assert subject.registered() == {'a', 'b', 'c'}

    async def test_a_process_that_registers_again_stays(self, subject):
        """
        Guards against a removal that overtakes the entry of a new process on
        the same host, and against repeated writes of an entry.
        """
        await subject.run_for(1_000)
        version = subject.store.version
        subject.contacts.heard.discard('c')
        old_card = subject.directories['c'].cards['c']
        subject.directories['b'].cards['c'] = old_card
        subject.store.put(
            PROCESS_TABLE, 'c', msgspec.json.encode(card('c', 'new'))
        )
        await subject.directories['b'].remove(old_card)
        await subject.run_for(100_000)
        assert subject.registered() == {'a', 'b', 'c'}
        assert subject.store.version == version + 1

    async def test_only_the_owner_removes_entries(self, subject):
        """
        Guards against processes that nobody asks and that therefore take all
        others for absent.
        """
        subject.ownership.is_own = False
        subject.contacts.heard.clear()
        await subject.run_for(REMOVAL_MS)
        assert subject.registered() == {'a', 'b', 'c'}
        subject.ownership.is_own = True
        await subject.run_for(REMOVAL_MS / 2)
        assert subject.registered() == {'a', 'b', 'c'}


@virtual_tests(World)
class TestInstallation:
    """
    Processes that are in touch with the owner stay registered.
    """

    options = {'node_count': 3, 'worker_count': 0}

    async def test_only_the_process_that_left_is_removed(self, world):
        """
        Guards against the removal of processes whose contact the owner does
        not record.
        """
        await world.wait_first_owner()
        owner = world.owner()
        left = next(each for each in world.nodes.values() if each is not owner)
        world.kill(left)
        await world.run_for(REMOVAL_MS)
        registered = {
            key for table, _, key in world.store.rows if table == PROCESS_TABLE
        }
        assert registered == set(world.nodes) - {left.card.address}
