"""
Tests of the relays between the owner of a shard and its workers.
"""

import asyncio

import msgspec
import pytest
from fake_store import virtual_tests
from fleet_world import REGISTRY, World
from hypothesis import given
from hypothesis import strategies as st
from virtual_time import JumpingClock, VirtualClock, run_virtual

from hawthornpier.decoding import DecodingError
from hawthornpier.events import DecisionLog
from hawthornpier.fleet import (
    OrderReply,
    ProcessCard,
    StartOrder,
    Verdict,
    WorkerEntry,
    WorkerTimings,
)
from hawthornpier.fleet._relay_assignment import (
    WorkerPlace,
    assign_relays,
    needs_relays,
)
from hawthornpier.fleet._relay_channel import RelayChannel
from hawthornpier.fleet._relay_messages import (
    Answer,
    AnswerBatch,
    Call,
    CallBatch,
    Contact,
)
from hawthornpier.fleet._relay_session import RelaySession
from hawthornpier.fleet._relayed_worker import RelayedWorker
from hawthornpier.fleet._transit import TransitMeter
from hawthornpier.ports import (
    WorkerError,
    WorkerReplyLostError,
    WorkerUnreachableError,
)
from hawthornpier.steps import JobPhase, StepPlan

# So small that the owner of a few workers needs relays.
SMALL_CORES = 0.02
ENTRY = WorkerEntry(
    worker_id='w0',
    service='desk',
    address='w0',
    failure_domain='z',
    processor_millis=8_000,
    memory_mb=64_000,
    accelerator_count=0,
    incarnation_ms=1,
)
ORDER = StartOrder(
    task_key='a.0.0.0',
    attempt=1,
    payload='',
    fencing_token=1,
    deadline_clock_ms=5_000,
)


def cards(count, domain='z', cores=1.0, link_mbps=1_000):
    return [
        ProcessCard(
            process_id=f'{domain}{number}',
            address=f'{domain}{number}',
            failure_domain=domain,
            processor_cores=cores,
            link_mbps=link_mbps,
        )
        for number in range(count)
    ]


def places(count, domain='z'):
    return [
        WorkerPlace(worker_id=f'{domain}-w{number}', failure_domain=domain)
        for number in range(count)
    ]


class RecordingWorker:
    """
    A worker client that accepts every start and records it.
    """

    def __init__(self):
        self.started = []
        self.is_closed = False
        # Raised instead of a reply.
        self.error = None

    async def start(self, order):
        self.started.append(order.task_key)
        if self.error is not None:
            raise self.error
        return OrderReply(verdict=Verdict.ACCEPTED, clock_ms=7)

    def close(self):
        self.is_closed = True


class Session:
    """
    A relay session with one worker, and what it sends to the owner.
    """

    def __init__(self, clock=None):
        self.worker = RecordingWorker()
        self.sent = []
        self.session = RelaySession(
            lambda entry: self.worker,
            self.sent.append,
            clock=clock or VirtualClock(),
            log=DecisionLog('relay', lines_per_s=10**6),
            is_leaving=self.is_leaving,
        )

    def is_leaving(self):
        return False

    def deliver(self, sent_ms, number=1):
        batch = CallBatch(
            sent_ms=sent_ms,
            calls=(Call(number=number, contact=5, request=ORDER),),
            contacts=(
                Contact(
                    number=5,
                    worker_id='w0',
                    service='desk',
                    address='w0',
                    incarnation_ms=1,
                ),
            ),
        )
        self.session.receive(msgspec.json.encode(batch))

    def answers(self):
        batches = [
            msgspec.json.decode(each, type=AnswerBatch) for each in self.sent
        ]
        return [answer for batch in batches for answer in batch.answers]

    def finish(self):
        self.session.close()


class QuietSocket:
    """
    A connection on which nothing arrives unless the test adds it.
    """

    def __init__(self):
        self.sent = []
        self.inbox = asyncio.Queue()

    def send(self, content):
        self.sent.append(content)

    async def receive(self):
        return await self.inbox.get()

    def close(self):
        """
        Do nothing, as there is no connection.
        """


class TestAssignment:
    """
    Which relays serve a worker.
    """

    def test_a_small_installation_needs_none(self):
        """
        Guards against relays that only add a hop and a point of failure.
        """
        assert not needs_relays(24, 0.43)
        assert needs_relays(270, 2.15)

    def test_workers_are_served_from_their_failure_domain(self):
        """
        Guards against requests that cross the link between two regions twice.
        """
        assigned = assign_relays(
            [*places(30, 'a'), *places(30, 'b')],
            [*cards(9, 'a'), *cards(9, 'b')],
            own_address='a0',
        )
        assert all(
            address[0] == worker_id[0]
            for worker_id, addresses in assigned.items()
            for address in addresses
        )

    def test_a_domain_without_processes_is_served_by_others(self):
        """
        Guards against workers without a relay.
        """
        assigned = assign_relays(
            places(20, 'c'), cards(5, 'a'), own_address='a0'
        )
        assert all(assigned.values())

    def test_the_owner_is_no_relay(self):
        """
        Guards against load that stays on the owner.
        """
        assigned = assign_relays(places(40), cards(6), own_address='z3')
        assert all('z3' not in relays for relays in assigned.values())

    def test_a_slow_link_serves_fewer_workers(self):
        """
        Guards against orders and listings that wait for the link of a relay.
        """
        slow = [
            msgspec.structs.replace(card, failure_domain='z')
            for card in cards(4, 'z-slow', cores=4, link_mbps=10)
        ]
        assigned = assign_relays(
            places(60), [*slow, *cards(4)], own_address='x'
        )
        first = [relays[0] for relays in assigned.values()]
        served = [each for each in first if each.startswith('z-slow')]
        assert len(served) < len(first) / 5

    def test_unreachable_relays_are_replaced(self):
        """
        Guards against an owner that contacts the workers itself because all
        their relays are dark, although other processes could relay.
        """
        before = assign_relays(places(30), cards(12), own_address='x')
        dark = set(before['z-w0'])
        after = assign_relays(
            places(30), cards(12), own_address='x', unusable=dark
        )
        assert all(
            len(set(relays) - dark) == len(dark) for relays in after.values()
        )
        assert dark <= set(after['z-w0'])

    def test_the_end_of_a_process_moves_only_its_workers(self):
        """
        Guards against all connections moving when one process ends.
        """
        before = assign_relays(places(60), cards(8), own_address='x')
        ended = before['z-w0'][0]
        rest = [card for card in cards(8) if card.address != ended]
        after = assign_relays(places(60), rest, own_address='x')
        moved = [
            worker_id
            for worker_id, relays in before.items()
            if relays[0] != ended and relays[0] != after[worker_id][0]
        ]
        # The process that replaces the ended one gets its share of workers.
        assert len(moved) < 60 / 3


@virtual_tests(Session)
class TestRelaySession:
    """
    A relay carries out the calls of an owner that still counts on them.
    """

    async def test_a_call_is_answered(self, subject):
        """
        Guards against replies that do not reach the owner.
        """
        subject.deliver(sent_ms=0)
        await asyncio.sleep(0.1)
        reply = OrderReply(verdict=Verdict.ACCEPTED, clock_ms=7)
        assert [answer.result for answer in subject.answers()] == [reply]

    async def test_the_end_of_a_connection_is_passed_on(self, subject):
        """
        Guards against crashes behind a relay that count as silence.
        """
        subject.worker.error = WorkerReplyLostError(
            'the worker closed the connection', has_disconnected=True
        )
        subject.deliver(sent_ms=0)
        await asyncio.sleep(0.1)
        failures = [answer.result for answer in subject.answers()]
        assert [each.has_disconnected for each in failures] == [True]

    async def test_delayed_calls_are_not_sent(self, subject):
        """
        Guards against a paused relay that acts on outdated orders.

        The second batch was sent two seconds before the relay reads it.
        """
        subject.deliver(sent_ms=0)
        await asyncio.sleep(4)
        subject.deliver(sent_ms=2_000, number=2)
        await asyncio.sleep(0.1)
        late = [each for each in subject.answers() if each.number == 2]
        assert [answer.result.is_sent for answer in late] == [False]
        assert len(subject.worker.started) == 1

    async def test_an_idle_relay_shows_that_it_is_alive(self, subject):
        """
        Guards against an owner that gives up a relay without calls.
        """
        await asyncio.sleep(1)
        assert len(subject.sent) >= 5


class TestUnreadableBatches:
    """
    A malformed batch is rejected as such, and not with another error.
    """

    @given(content=st.binary(max_size=80))
    def test_any_content(self, content):
        """
        Guards against one malformed message that ends a process.
        """

        async def scenario():
            subject = Session()
            try:
                subject.session.receive(content)
            except DecodingError:
                pass
            finally:
                subject.finish()

        run_virtual(scenario())


class TestRelayChannel:
    """
    The owner's end of a connection detects a relay that does not respond.
    """

    def test_a_silent_relay_is_given_up(self):
        """
        Guards against leases that lapse behind a frozen relay.
        """

        async def scenario():
            channel = RelayChannel(QuietSocket(), VirtualClock())
            end = asyncio.ensure_future(channel.run())
            call = asyncio.ensure_future(channel.call(ENTRY, ORDER, 5_000))
            await asyncio.sleep(1.0)
            # Long before the call's own time limit.
            assert end.done()
            with pytest.raises(WorkerReplyLostError):
                await call
            assert 'not respond' in await end

        run_virtual(scenario())

    def test_a_relay_that_answers_no_call_is_given_up(self):
        """
        Guards against workers that stay out of reach behind such a relay.
        """

        async def scenario():
            socket = QuietSocket()
            channel = RelayChannel(socket, VirtualClock())
            end = asyncio.ensure_future(channel.run())
            call = asyncio.ensure_future(channel.call(ENTRY, ORDER, 700))
            for _ in range(10):
                socket.inbox.put_nowait(msgspec.json.encode(AnswerBatch()))
                await asyncio.sleep(0.15)
            with pytest.raises(WorkerReplyLostError):
                await call
            assert end.done()

        run_virtual(scenario())

    def test_a_relay_that_answers_other_calls_is_kept(self):
        """
        Guards against one late answer that ends the calls to many workers.
        """

        async def scenario():
            socket = QuietSocket()
            channel = RelayChannel(socket, VirtualClock())
            end = asyncio.ensure_future(channel.run())
            call = asyncio.ensure_future(channel.call(ENTRY, ORDER, 700))
            reply = OrderReply(verdict=Verdict.ACCEPTED, clock_ms=7)
            batch = AnswerBatch(answers=(Answer(number=99, result=reply),))
            for _ in range(10):
                socket.inbox.put_nowait(msgspec.json.encode(batch))
                await asyncio.sleep(0.15)
            with pytest.raises(WorkerReplyLostError):
                await call
            assert not end.done()
            end.cancel()

        run_virtual(scenario())

    def test_calls_on_an_ended_connection_are_not_sent(self):
        """
        Guards against a task that waits because its start counts as sent.
        """

        async def scenario():
            socket = QuietSocket()
            channel = RelayChannel(socket, VirtualClock())
            socket.inbox.put_nowait(None)
            await channel.run()
            with pytest.raises(WorkerUnreachableError):
                await channel.call(ENTRY, ORDER, 5_000)

        run_virtual(scenario())

    def test_own_pause_is_not_held_against_the_relay(self):
        """
        Guards against an owner that was paused and then gives up its relays.

        The clock jumps by ten seconds, as after a pause of the process.
        """

        async def scenario():
            clock = JumpingClock()
            channel = RelayChannel(QuietSocket(), clock)
            end = asyncio.ensure_future(channel.run())
            call = asyncio.ensure_future(channel.call(ENTRY, ORDER, 2_000))
            await asyncio.sleep(0.2)
            clock.jump_ms = 10_000
            await asyncio.sleep(0.2)
            assert not end.done()
            assert not call.done()
            end.cancel()
            await asyncio.gather(end, call, return_exceptions=True)

        run_virtual(scenario())


class EndingRelays:
    """
    Connections of which each ends during its first call.
    """

    clock = VirtualClock()
    timings = WorkerTimings()

    async def channel(self, _worker_id, _avoided):
        channel = RelayChannel(QuietSocket(), self.clock)
        end = asyncio.ensure_future(channel.run())
        asyncio.get_running_loop().call_soon(end.cancel)
        return channel


class TestRelayedWorker:
    """
    A worker's relay is chosen by the last calls.
    """

    def test_connections_that_have_ended_are_forgotten(self):
        """
        Guards against memory that grows with each connection that ends.
        """

        async def scenario():
            worker = RelayedWorker(ENTRY, EndingRelays(), dial=None)
            for _ in range(5):
                with pytest.raises(WorkerError):
                    await worker.start(ORDER)
            assert len(worker._failure_counts) == 1

        run_virtual(scenario())


class TestTransit:
    """
    The delay of messages between processes with different clocks.
    """

    def test_delay_beyond_the_shortest(self):
        """
        Guards against clocks of different origin counted as a delay.
        """
        meter = TransitMeter()
        assert meter.delay_ms(100, 90_000) == 0
        assert meter.delay_ms(200, 90_900) == 800
        assert meter.delay_ms(300, 90_190) == 0

    def test_clocks_of_different_rates(self):
        """
        Guards against a relay that rejects every call after some hours.
        """
        meter = TransitMeter()
        delays_ms = [
            meter.delay_ms(sent_ms, sent_ms * 1.0005)
            for sent_ms in range(0, 4 * 3_600_000, 1_000)
        ]
        assert max(delays_ms) < 1
        assert meter.delay_ms(4 * 3_600_000, 4 * 3_600_000 * 1.0005 + 600) > 500


@virtual_tests(World)
class TestRelayFaults:
    """
    Tasks keep running while relays end, freeze or are partitioned.
    """

    options = {'cores': SMALL_CORES, 'node_count': 4, 'worker_count': 6}

    async def test_jobs_run_through_relays(self, world):
        """
        Guards against an owner that contacts all workers itself.
        """
        await self._begin(world)
        plan = world.plan(StepPlan(task_count=12, processor_millis=1_000))
        await world.any_node().entry.submit(plan)
        await world.wait_phase(plan.job_id, JobPhase.COMPLETED)
        assert world.has_logged('relay_connected')
        assert world.checker.started_count == 12

    async def test_the_end_of_relays_loses_no_run(self, world):
        """
        Guards against runs that are started again because a relay ended.
        """
        plan = await self._begin_long_job(world)
        for relay in self._relays(world)[:2]:
            world.kill(relay)
        await world.wait_phase(plan.job_id, JobPhase.COMPLETED)
        assert world.checker.started_count == 12

    async def test_frozen_relays_lose_no_run(self, world):
        """
        Guards against running work that is given up because a relay is slow.
        """
        plan = await self._begin_long_job(world)
        for relay in self._relays(world):
            relay.is_frozen = True
        # Longer than the lease of a worker.
        await world.run_for(7_000)
        for relay in self._relays(world):
            relay.is_frozen = False
        await world.wait_phase(plan.job_id, JobPhase.COMPLETED)
        assert world.checker.started_count == 12

    async def test_a_relay_that_hears_nothing_loses_no_run(self, world):
        """
        Guards against leases that lapse behind a relay that seems alive.
        """
        plan = await self._begin_long_job(world)
        relay = self._relays(world)[0]
        relay.is_deaf = True
        await world.run_for(7_000)
        relay.is_deaf = False
        await world.wait_phase(plan.job_id, JobPhase.COMPLETED)
        assert world.checker.started_count == 12

    async def test_a_relay_that_reaches_no_worker_loses_no_run(self, world):
        """
        Guards against leases that lapse although another path is open.
        """
        plan = await self._begin_long_job(world)
        relay = self._relays(world)[0]
        relay.reaches_workers = False
        await world.run_for(7_000)
        relay.reaches_workers = True
        await world.wait_phase(plan.job_id, JobPhase.COMPLETED)
        assert world.checker.started_count == 12

    async def test_starts_through_a_frozen_relay_run_once(self, world):
        """
        Guards against a task that runs twice: elsewhere and by a late start.
        """
        await self._begin(world)
        relays = self._relays(world)
        relays[0].is_frozen = True
        plan = world.plan(StepPlan(task_count=12, processor_millis=1_000))
        await world.owner().entry.submit(plan)
        await world.run_for(3_000)
        relays[0].is_frozen = False
        await world.wait_phase(plan.job_id, JobPhase.COMPLETED)

    async def test_dark_relays_are_replaced(self, world):
        """
        Guards against an owner without relays after all of them were lost.
        """
        for number in range(6):
            world.start_node(f'further{number}', cores=SMALL_CORES)
        plan = await self._begin_long_job(world)
        connected = self._connected(world)
        for address in connected:
            world.kill(world.nodes[address])
        await world.run_for(3_000)
        assert self._connected(world) - connected
        await world.wait_phase(plan.job_id, JobPhase.COMPLETED)
        assert world.checker.started_count == 12

    async def test_a_change_of_the_owner_loses_no_run(self, world):
        """
        Guards against runs of the previous owner that are started again.
        """
        plan = await self._begin_long_job(world)
        world.kill(world.owner())
        await world.wait_phase(plan.job_id, JobPhase.COMPLETED)
        assert world.checker.started_count == 12

    async def _begin(self, world):
        await world.run_for(3_000)
        assert world.owner() is not None

    async def _begin_long_job(self, world):
        await self._begin(world)
        plan = world.plan(
            StepPlan(task_count=12, processor_millis=1_000),
            work_ms=8_000,
        )
        await world.any_node().entry.submit(plan)
        await world.run_for(600)
        assert len(world.checker.running) == 12
        return plan

    def _connected(self, world):
        return {
            fields['address']
            for _, kind, fields in world.log_lines
            if kind == 'relay_connected'
        }

    def _relays(self, world):
        owner = world.owner()
        return [each for each in world.nodes.values() if each is not owner]


@virtual_tests(World)
class TestUnneededRelays:
    """
    The owner uses relays only while it has many workers.
    """

    options = {'cores': SMALL_CORES, 'worker_count': 3}

    async def test_their_last_calls_are_answered(self, world):
        """
        Guards against workers that seem unresponsive when one of them leaves.
        """
        await world.run_for(5_000)
        leaving = world.workers['w0']
        leaving.crash()
        world.store.remove(REGISTRY, 'w0')
        await world.wait_until(lambda: world.has_logged('worker_gone'))
        await world.run_for(3_000)
        lost = {
            fields['worker']
            for _, kind, fields in world.log_lines
            if kind == 'worker_lost'
        }
        assert lost == {'w0'}


@virtual_tests(World)
class TestUnreachedWorkers:
    """
    Workers that the owner does not reach itself are reached through relays.
    """

    options = {'worker_count': 3}

    async def test_their_runs_go_on(self, world):
        """
        Guards against a lease that lapses although another path is open.
        """
        await world.run_for(5_000)
        plan = world.plan(
            StepPlan(task_count=3, processor_millis=8_000), work_ms=12_000
        )
        await world.any_node().entry.submit(plan)
        await world.run_for(600)
        world.owner().reaches_workers = False
        await world.run_for(9_000)
        world.owner().reaches_workers = True
        await world.wait_phase(plan.job_id, JobPhase.COMPLETED)
        assert world.checker.started_count == 3
