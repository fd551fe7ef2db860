"""
Soak tests of workers that restart under their id while starts are delayed.

The environment variables ``SOAK_SEED`` and ``SOAK_COUNT`` set the first seed
and the number of seeds.
"""

import asyncio
import dataclasses
import random
from types import SimpleNamespace

import pytest
from fake_store import virtual_tests
from fleet_world import World
from test_fleet_ends import add_worker, shard_with
from test_fleet_faults import FIRST_SEED, SEED_COUNT
from virtual_time import run_virtual

from hawthornpier.fleet import Verdict, WorkerTimings
from hawthornpier.fleet._fencing import TOKENS_PER_EPOCH, FencingTokens
from hawthornpier.fleet._incarnations import Incarnations
from hawthornpier.steps import StepPlan
from hawthornpier_standin.fleet import WorkerFault

LASTING = StepPlan(task_count=6, processor_millis=1_000, is_lasting=True)
LATE_MAX_MS = 7_000
FAULTY_MS = 25_000
# Within this time after the last fault, each task runs.
SETTLE_MS = 12_000


async def restart_before_late_starts(world, worker, *, delay_ms):
    """
    Delay starts on a worker by *delay_ms*, and restart it before they arrive.

    They are given up before the restart.
    """
    worker.fault = WorkerFault.START_LATE
    worker.late_delay_ms = delay_ms
    await world.any_node().entry.submit(world.plan(LASTING))
    await world.run_for(1_000)
    worker.fault = WorkerFault.NONE
    await world.run_for(1_500)
    worker.crash()
    worker.restart()


@virtual_tests(World)
class TestLateStarts:
    """
    A start for an incarnation that has ended starts no second run.
    """

    options = {'worker_count': 2}

    async def test_a_start_after_the_restart(self, world):
        """
        Guards against two runs of a task that was given up on a worker.
        """
        await self._check(world, 5_000)

    async def test_a_start_long_after_the_restart(self, world):
        """
        Guards against two runs once the next incarnation is in use.
        """
        await self._check(world, LATE_MAX_MS)

    async def _check(self, world, delay_ms):
        await world.wait_first_owner()
        worker = world.workers['w0']
        await restart_before_late_starts(world, worker, delay_ms=delay_ms)
        await world.run_for(LATE_MAX_MS)
        assert len(world.checker.running) == LASTING.task_count
        assert not world.has_logged('shard_lost')


class FencingPort:
    """
    A connection on which a worker rejects each token.
    """

    def __init__(self, before_reply):
        self._before_reply = before_reply

    async def renew(self, renewal):
        self._before_reply()
        return Verdict.FENCED

    def close(self):
        """
        Do nothing, as there are no connections.
        """


class TestTokens:
    """
    Each incarnation has a higher token, below those of the next epoch.
    """

    @pytest.mark.parametrize('is_outdated', [False, True])
    async def test_an_outdated_token_of_its_own(self, is_outdated):
        """
        Guards against an owner that deposes itself by a higher token.
        """
        shard = shard_with(epoch=1)
        worker = add_worker(shard)
        port = FencingPort(lambda: is_outdated and shard.tokens.assign(worker))
        context = SimpleNamespace(
            worker_timings=WorkerTimings(), log=shard.log, clock=shard.clock
        )
        async with asyncio.TaskGroup() as group:
            incarnations = Incarnations(
                shard, context, lambda entry: port, group
            )
            entry = dataclasses.replace(worker.entry, incarnation_ms=2)
            incarnations.suggest(worker, entry, is_registered=True)
            await asyncio.sleep(0.05)
            incarnations.remove(worker.worker_id)
        assert shard.deposed.is_set() is not is_outdated

    def test_many_incarnations(self):
        """
        Guards against workers that reject the next owner of a shard.
        """
        tokens = FencingTokens(1)
        worker = SimpleNamespace(token_number=0)
        before = tokens.token(worker)
        tokens.assign(worker)
        assert (
            before
            < tokens.token(worker)
            < FencingTokens(2).token(SimpleNamespace(token_number=0))
        )
        tokens._incarnation_count = 2 * TOKENS_PER_EPOCH
        tokens.assign(worker)
        assert tokens.token(worker) < 2 * TOKENS_PER_EPOCH


class _RestartSoak:
    """
    Restarts workers under their ids while starts reach them late.
    """

    def __init__(self, seed):
        self.rng = random.Random(seed)
        self.world = World(node_count=2, worker_count=4, seed=seed)
        self.actions = (self._delay_starts, self._restart, self._lose_replies)

    async def run(self):
        world = self.world
        await world.wait_first_owner()
        for _ in range(3):
            await world.any_node().entry.submit(world.plan(LASTING))
        faults = []
        end_ms = world.clock.monotonic_ms() + FAULTY_MS
        while world.clock.monotonic_ms() < end_ms:
            action = self.rng.choice(self.actions)
            worker = self.rng.choice(list(world.workers.values()))
            faults.append(asyncio.ensure_future(action(worker)))
            await world.run_for(self.rng.randint(50, 1_500))
        await asyncio.gather(*faults)
        world.recover_workers()
        await world.run_for(SETTLE_MS)
        assert len(world.checker.running) == 3 * LASTING.task_count
        world.finish()

    async def _delay_starts(self, worker):
        worker.late_delay_ms = self.rng.randint(500, LATE_MAX_MS)
        worker.fault = WorkerFault.START_LATE
        await self.world.run_for(self.rng.randint(300, 3_000))
        worker.fault = WorkerFault.NONE

    async def _lose_replies(self, worker):
        worker.fault = WorkerFault.LOSE_REPLIES
        await self.world.run_for(self.rng.randint(50, 1_500))
        worker.fault = WorkerFault.NONE

    async def _restart(self, worker):
        if worker.is_up:
            worker.crash()
            await self.world.run_for(self.rng.choice((0, 50, 500, 3_000)))
            worker.restart()


class TestRestartsTogether:
    """
    No long-running task runs twice or stays without a run.
    """

    @pytest.mark.parametrize('seed', range(FIRST_SEED, FIRST_SEED + SEED_COUNT))
    def test_seed(self, seed):
        """
        Guards against failures that only a combination of restarts causes.
        """
        run_virtual(_soak(seed))


async def _soak(seed):
    # The world starts tasks when it is created, which needs a running loop.
    await _RestartSoak(seed).run()
