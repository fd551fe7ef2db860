"""
Tests of whole entry processes under faults, on virtual time.

The checkers of the guarantees (G1 to G9) examine only the recorded history.
"""

import asyncio
import os
import random
from dataclasses import replace

import pytest
from node_world import IDEMPOTENT, MEMBER, ORDER, World, batch_row
from virtual_time import run_virtual

from hawthornpier.messages import JobSpec, Resources
from hawthornpier_standin.history import RecordKind, Report
from hawthornpier_standin.platform import StoreFaults
from hawthornpier_standin.workers import MemoryWorker, WorkerFaults


def _job_spec(*, is_idempotent: bool = True) -> JobSpec:
    return JobSpec(
        member=MEMBER,
        workload='carving-plan',
        task_count=12,
        demand=Resources(
            processor_millis=4_000,
            memory_bytes=1_000_000_000,
            slot_count=1,
        ),
        declared_work_ms=4_000,
        is_idempotent=is_idempotent,
    )


async def _send_load(world: World, duration_ms: int) -> None:
    """
    Send idempotent requests, orders and repeats of orders for *duration_ms*.
    """
    count = 0
    end_ms = world.clock.monotonic_ms() + duration_ms
    while world.clock.monotonic_ms() < end_ms:
        count += 1
        running = world.running()
        if running:
            entry = world.rng.choice(running)
            world.call(entry, IDEMPOTENT)
            # Up to three consecutive orders share a key, and each goes to a
            # random process.
            key = f'key-{count - count % 3}'
            world.call(entry, ORDER, key=key, deadline_ms=4_000)
        world.record_versions()
        await world.clock.sleep_ms(200)


def _answered_count(world: World) -> int:
    return sum(
        record.kind is RecordKind.REQUEST_ANSWERED for record in world.history
    )


def _violations(report: Report) -> list[str]:
    return list(map(str, report.violations))


class TestWithoutFaults:
    """
    All processes, workers and callers, without any fault.
    """

    def test_everything_is_answered(self) -> None:
        """
        All requests and orders are answered, and no guarantee is violated.

        Guards against faults in forwarding, placement or repeats of an order
        that appear even if nothing fails.
        """

        async def scenario() -> tuple[World, Report]:
            world = World(seed=1)
            await world.start()
            assert await world.submit(_job_spec(), world.running()[0])
            await _send_load(world, 5_000)
            return world, await world.finish()

        world, report = run_virtual(scenario())
        assert not _violations(report)
        invoked = sum(
            record.kind is RecordKind.REQUEST_INVOKED
            for record in world.history
        )
        assert _answered_count(world) == invoked


async def _kill_and_restart(world: World) -> None:
    process = world.rng.choice(list(world.processes.values()))
    await process.kill()
    await world.clock.sleep_ms(world.rng.uniform(500, 9_000))
    await process.start()


async def _pause_past_lease(world: World) -> None:
    process = world.rng.choice(list(world.processes.values()))
    process.clock.pause()
    await world.clock.sleep_ms(world.rng.uniform(1_000, 9_000))
    process.clock.resume()


async def _rolling_restart(world: World) -> None:
    for process in world.processes.values():
        if not process.is_running:
            # Another fault is stopping or starting this process.
            continue
        await process.stop()
        await process.start()
        await world.clock.sleep_ms(2_000)


async def _store_outage(world: World) -> None:
    world.store.apply_faults(StoreFaults(is_out=True))
    await world.clock.sleep_ms(world.rng.uniform(1_000, 12_000))
    world.store.apply_faults(StoreFaults())


async def _slow_store(world: World) -> None:
    world.store.apply_faults(
        StoreFaults(added_delay_ms=400, lost_answer_count=20),
    )
    await world.clock.sleep_ms(6_000)
    world.store.apply_faults(StoreFaults())


async def _partition_region(world: World) -> None:
    """
    Partition the region borneo from semenanjung, where the store is.
    """
    remote = [name for name in world.processes if name.startswith('kuching')]
    local = [name for name in world.processes if name not in remote]
    local_workers = [name for name in world.workers if 'kuching' not in name]
    blocked_pairs = {
        frozenset((name, other))
        for name in remote
        for other in ('store', *local, *local_workers)
    }
    world.network.blocked_pairs |= blocked_pairs
    await world.clock.sleep_ms(world.rng.uniform(3_000, 12_000))
    world.network.blocked_pairs -= blocked_pairs


async def _lossy_network(world: World) -> None:
    world.network.loss_percent = 8
    world.network.duplicate_percent = 8
    world.network.delay_ms = 15
    await world.clock.sleep_ms(6_000)
    world.network.loss_percent = 0
    world.network.duplicate_percent = 0
    world.network.delay_ms = 1


def _choose_redundant_worker(world: World) -> MemoryWorker | None:
    """
    Choose a worker whose failure domain has another usable one, or None.

    If a shard lost its last worker, its tasks would wait forever.
    """
    usable = [
        worker
        for worker in world.workers.values()
        if not (worker.faults.is_dead or worker.faults.is_leaving)
    ]
    domains = [worker.worker_id.partition('-')[0] for worker in usable]
    redundant = [
        worker
        for worker, domain in zip(usable, domains, strict=True)
        if domains.count(domain) > 1
    ]
    return world.rng.choice(redundant) if redundant else None


async def _worker_dies(world: World) -> None:
    worker = _choose_redundant_worker(world)
    if worker is not None:
        worker.apply_faults(WorkerFaults(is_dead=True))
        world.store.hosts.remove(worker.worker_id)


async def _worker_withholds_replies(world: World) -> None:
    worker = world.rng.choice(list(world.workers.values()))
    if worker.faults.is_dead:
        return
    worker.apply_faults(replace(worker.faults, is_silent=True))
    await world.clock.sleep_ms(world.rng.uniform(500, 8_000))
    worker.apply_faults(replace(worker.faults, is_silent=False))


async def _worker_paused(world: World) -> None:
    worker = world.rng.choice(list(world.workers.values()))
    if worker.faults.is_dead:
        return
    worker.apply_faults(replace(worker.faults, is_paused=True))
    await world.clock.sleep_ms(world.rng.uniform(500, 25_000))
    worker.apply_faults(replace(worker.faults, is_paused=False))


async def _worker_leaves(world: World) -> None:
    worker = _choose_redundant_worker(world)
    if worker is not None:
        worker.apply_faults(replace(worker.faults, is_leaving=True))


async def _concurrent_edits(world: World) -> None:
    for number in range(4):
        running = world.running()
        versions = [
            each.node.services.table.version for each in running if each.node
        ]
        await asyncio.gather(
            *(
                world.edit(
                    [batch_row(weight=1 + number + index / 10)],
                    base_version=max(versions, default=0),
                    process=process,
                )
                for index, process in enumerate(running)
            ),
        )
        await world.clock.sleep_ms(1_000)


# `make soak` sets these variables to run seeds other than the default ones.
_FIRST_SEED = int(os.environ.get('SOAK_SEED', '0'))
_SEED_COUNT = int(os.environ.get('SOAK_COUNT', '6'))
SEEDS = range(_FIRST_SEED, _FIRST_SEED + _SEED_COUNT)

FAULTS = (
    _kill_and_restart,
    _pause_past_lease,
    _rolling_restart,
    _store_outage,
    _slow_store,
    _partition_region,
    _lossy_network,
    _worker_dies,
    _worker_withholds_replies,
    _worker_paused,
    _worker_leaves,
    _concurrent_edits,
)


async def _run_faults(seed: int, numbers: tuple[int, ...]) -> Report:
    """
    Inject the faults with these indexes in `FAULTS`, under load.

    They start at intervals of 0.5 s to 4 s, so that most of them overlap.
    """
    world = World(seed=seed, processes_per_domain=2)
    await world.start()
    for process, is_idempotent in zip(
        world.running(),
        (True, False, True),
        strict=False,
    ):
        await world.submit(_job_spec(is_idempotent=is_idempotent), process)
    load_task = world.spawn(_send_load(world, 24_000))
    fault_tasks = []
    for number in numbers:
        fault_tasks.append(world.spawn(FAULTS[number](world)))
        await world.clock.sleep_ms(world.rng.uniform(500, 4_000))
    await asyncio.gather(load_task, *fault_tasks)
    return await world.finish()


class TestOneFault:
    """
    One fault of each kind, under load.
    """

    @pytest.mark.parametrize('number', range(len(FAULTS)))
    def test_guarantees_hold(self, number: int) -> None:
        """
        G1 to G9: one fault violates no guarantee.

        Guards against errors in the recovery from a single fault: a crash, a
        pause longer than a lease, a restart, a store outage, a partition,
        lost or duplicated messages, a failing worker, concurrent edits.
        """
        report = run_virtual(_run_faults(number, (number,)))
        assert not _violations(report), FAULTS[number].__name__


class TestFaultsTogether:
    """
    Five random faults that overlap; a kind may occur more than once.
    """

    @pytest.mark.parametrize('seed', SEEDS)
    def test_guarantees_hold(self, seed: int) -> None:
        """
        G1 to G9: overlapping faults violate no guarantee.

        Guards against errors that occur only if a fault hits a process while
        it recovers from another one.
        """
        fault_rng = random.Random(seed)
        numbers = tuple(fault_rng.randrange(len(FAULTS)) for _ in range(5))
        report = run_virtual(_run_faults(seed, numbers))
        names = [FAULTS[number].__name__ for number in numbers]
        assert not _violations(report), names


class TestPlantedFaults:
    """
    Runs in which the processes have a deliberate defect.
    """

    @pytest.mark.parametrize(
        ('has_guards', 'expects_guards', 'expects_double_run'),
        [(True, True, False), (False, False, False), (False, True, True)],
    )
    def test_deposed_owner_that_keeps_admitting(
        self,
        *,
        has_guards: bool,
        expects_guards: bool,
        expects_double_run: bool,
    ) -> None:
        """
        G2: a deposed owner that keeps admitting work causes no double run.

        A partition separates the processes in kuching from the store and from
        all other processes, so that another process takes over their shard.
        The deposed owner ignores that its table is no longer confirmed and
        keeps starting tasks. The workers' guards reject its lower epoch; if
        the settings say that there are no guards, it stops when its lease
        expires. If the settings claim guards that the workers lack, its
        successor runs the same tasks, and the checkers must report this.
        """

        async def scenario() -> Report:
            world = World(
                seed=3,
                processes_per_domain=2,
                has_guards=has_guards,
                expects_guards=expects_guards,
                ignores_confirmation=True,
            )
            await world.start()
            job = replace(_job_spec(), task_count=150)
            await world.submit(job, world.running()[0])
            await world.clock.sleep_ms(500)
            remote = [name for name in world.processes if 'kuching' in name]
            world.network.blocked_pairs |= {
                frozenset((name, 'store')) for name in remote
            } | {
                frozenset((name, other))
                for name in remote
                for other in world.processes
                if other not in remote
            }
            await world.clock.sleep_ms(20_000)
            world.network.blocked_pairs.clear()
            return await world.finish()

        found_violations = _violations(run_virtual(scenario()))
        found = any('single placement' in each for each in found_violations)
        assert found is expects_double_run
