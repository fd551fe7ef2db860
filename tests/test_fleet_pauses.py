"""
Tests of processes that are suspended between a check and the use of it.
"""

import asyncio
import dataclasses
import random

import msgspec
import pytest
from fleet_suspension import SuspendableWorld
from fleet_world import REGISTRY
from registry_rows import encode_entry
from test_fleet_relays import ENTRY, ORDER, QuietSocket
from virtual_time import JumpingClock, run_virtual

from hawthornpier.fleet import WorkerTimings
from hawthornpier.fleet._relay_channel import RelayChannel
from hawthornpier.fleet._relay_messages import CallBatch
from hawthornpier.steps import JobPhase, StepPlan
from hawthornpier_standin.fleet import WorkerFault

MANY = StepPlan(task_count=24, processor_millis=1_000)
TWO_STEPS = (MANY, StepPlan(task_count=24, processor_millis=1_000, after=(0,)))
# Requests of an owner in the first seconds of the scenario.
REQUEST_COUNT = 200


class _Moments:
    """
    Suspends the first owner as it sends the requests with given numbers.
    """

    def __init__(self, world, numbers, duration_ms):
        self._world = world
        self._numbers = numbers
        self._duration_ms = duration_ms
        self._count = 0
        self._owner = world.owner()
        self._owner.clock.on_request = self._handle_request

    def _handle_request(self, name):
        self._count += 1
        if self._count in self._numbers and not self._owner.is_frozen:
            self._world._spawn(
                self._world.suspend(self._owner, self._duration_ms)
            )


class TestPausedOwner:
    """
    No order is carried out by a permission that has run out in a pause.
    """

    @pytest.mark.parametrize('duration_ms', [1_500, 4_000, 9_000])
    @pytest.mark.parametrize('seed', range(3))
    def test_at_seeded_moments(self, seed, duration_ms):
        """
        Guards against a task that two owners run, or that runs once more.
        """

        async def scenario():
            world = SuspendableWorld(node_count=3, worker_count=4, seed=seed)
            rng = random.Random(seed)
            await world.wait_first_owner()
            numbers = rng.sample(range(1, REQUEST_COUNT), 3)
            _Moments(world, set(numbers), duration_ms)
            plans = [world.plan(*TWO_STEPS, work_ms=900) for _ in range(2)]
            for plan in plans:
                await world.any_node().entry.submit(plan)
            for plan in plans:
                await world.wait_phase(
                    plan.job_id, JobPhase.COMPLETED, limit_ms=60_000
                )
            await world.run_for(3_000)
            world.finish()

        run_virtual(scenario())

    def test_a_worker_that_begins_to_drain_meanwhile(self):
        """
        Guards against queued starts on a worker that drains since the pause.

        Only those that were on their way when the pause began may arrive.
        """

        async def scenario():
            world = SuspendableWorld(worker_count=1)
            await world.wait_first_owner()
            owner = world.owner()
            worker = world.workers['w0']
            worker.fault = WorkerFault.PARTITIONED
            step = StepPlan(task_count=8, processor_millis=1_000)
            await world.any_node().entry.submit(
                world.plan(step, work_ms=60_000)
            )
            await world.run_for(100)
            worker.fault = WorkerFault.NONE
            worker.entry = dataclasses.replace(worker.entry, is_draining=True)
            world.store.put(REGISTRY, 'w0', encode_entry(worker.entry))
            await world.suspend(owner, 2_000)
            await world.run_for(3_000)
            assert world.owner() is owner
            on_their_way = WorkerTimings().max_concurrent_orders
            assert world.checker.started_count <= on_their_way
            world.finish()

        run_virtual(scenario())


class TestPausedBeforeRelay:
    """
    A call is as old as its making, not as its sending to the relay.
    """

    def test_a_call_that_waited_is_outdated(self):
        """
        Guards against a relay that sends orders from before a pause.
        """

        async def scenario():
            clock = JumpingClock()
            socket = QuietSocket()
            channel = RelayChannel(socket, clock)
            tasks = [asyncio.ensure_future(channel.run())]
            call = channel.call(ENTRY, ORDER, 1_000)
            tasks.append(asyncio.ensure_future(call))
            await asyncio.sleep(0)
            await asyncio.sleep(0)
            clock.jump_ms = 4_000
            await asyncio.sleep(0.05)
            batch = msgspec.json.decode(socket.sent[0], type=CallBatch)
            assert clock.monotonic_ms() - batch.sent_ms >= clock.jump_ms
            for task in tasks:
                task.cancel()

        run_virtual(scenario())
