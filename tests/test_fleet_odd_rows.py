"""
Tests of odd rows that other writers leave and of odd replies of workers.
"""

from types import MappingProxyType

import msgspec
from fake_store import virtual_tests
from fleet_world import REGISTRY, World
from registry_rows import encode_entry

from hawthornpier.fleet import WorkerEntry
from hawthornpier.steps import JobPhase, StepPlan

ODD = MappingProxyType(
    {
        'worker_id': 'odd',
        'service': 'desk',
        'failure_domain': 'z',
        'memory_mb': 64_000,
        'accelerator_count': 0,
        'incarnation_ms': 1,
    }
)
DEEP = b'{"unknown":%s1%s}' % (b'[' * 5_000, b']' * 5_000)
ODD_ENTRIES = (
    DEEP,
    b'\xff',
    encode_entry(WorkerEntry(**ODD, processor_millis=10**400, address='o:80')),
    encode_entry(WorkerEntry(**ODD, processor_millis=1, address='o:80000')),
)
SHORT = StepPlan(task_count=16, processor_millis=1_000)


@virtual_tests(World)
class TestRegistry:
    """
    An unreadable entry names no worker; the other entries hold.
    """

    options = {'worker_count': 1}

    async def test_an_unreadable_entry_of_a_known_worker(self, world):
        """
        Guards against a worker that counts as gone although it is registered.
        """
        plan = world.plan(SHORT)
        await world.submit(plan)
        world.silent_workers.update(world.workers.values())
        world.store.remove(REGISTRY, 'w0')
        await world.run_for(1_000)
        world.store.put(REGISTRY, 'w0', DEEP)
        await world.run_for(1_000)
        world.store.discard_changes()
        await world.wait_phase(plan.job_id, JobPhase.COMPLETED)
        await world.run_for(3_000)
        later = world.plan(SHORT)
        await world.any_node().entry.submit(later)
        await world.wait_phase(later.job_id, JobPhase.COMPLETED)
        assert world.has_logged('worker_entry_unreadable')


@virtual_tests(World)
class TestWork:
    """
    Jobs complete although other writers leave odd entries.
    """

    async def test_jobs_complete_beside_odd_entries(self, world):
        """
        Guards against owners that end, one by one, as they read an odd entry.
        """
        for number, content in enumerate(ODD_ENTRIES):
            world.store.put(REGISTRY, f'early{number}', content)
        plan = world.plan(SHORT, work_ms=2_000)
        await world.submit(plan)
        for number, content in enumerate(ODD_ENTRIES):
            world.store.put(REGISTRY, f'late{number}', content)
            world.store.put(REGISTRY, f'w{number}', content)
        await world.run_for(1_000)
        world.kill(world.owner())
        await world.wait_phase(plan.job_id, JobPhase.COMPLETED)
        later = world.plan(SHORT)
        await world.any_node().entry.submit(later)
        await world.wait_phase(later.job_id, JobPhase.COMPLETED)
        assert world.checker.started_count == 2 * SHORT.task_count
        assert not world.has_logged('part_failed')


@virtual_tests(World)
class TestOwnership:
    """
    A shard whose owner row or fence is unreadable gets an owner again.
    """

    async def test_an_unreadable_owner_row(self, world):
        """
        Guards against a shard that no process can claim any more.

        The processes that start later have read no owner row before.
        """
        await world.wait_first_owner()
        for node in tuple(world.nodes.values()):
            world.kill(node)
        world.store.put('owners', 'row', DEEP, part='s0')
        for name in ('n0', 'n1'):
            world.start_node(name)
        plan = world.plan(SHORT)
        await world.submit(plan)
        await world.wait_phase(plan.job_id, JobPhase.COMPLETED)
        assert world.owner().local_shard().epoch == 2

    async def test_an_unreadable_fence(self, world):
        """
        Guards against an owner that can neither write nor give up the shard.
        """
        await world.wait_first_owner()
        world.store.put('fences', 'row', DEEP, part='s0')
        plan = world.plan(SHORT)
        await world.submit(plan)
        await world.wait_phase(plan.job_id, JobPhase.COMPLETED)
        assert not world.has_logged('part_failed')


@virtual_tests(World)
class TestListings:
    """
    A worker lists a wrong number of an ended run once.
    """

    options = {'worker_count': 1}

    async def test_the_ends_after_a_wrong_number_count(self, world):
        """
        Guards against completed tasks that are started again without end.
        """
        worker = world.workers['w0']
        list_runs = worker.listing
        wrong_numbers = [2**40]

        def list_wrongly():
            listing = list_runs()
            if not (listing.ended and wrong_numbers):
                return listing
            row = msgspec.structs.replace(
                listing.ended[-1], number=wrong_numbers.pop()
            )
            ended = (*listing.ended[:-1], row)
            return msgspec.structs.replace(listing, ended=ended)

        worker.listing = list_wrongly
        plan = world.plan(SHORT)
        await world.submit(plan)
        await world.wait_phase(plan.job_id, JobPhase.COMPLETED)
        assert not wrong_numbers
        assert world.checker.started_count == SHORT.task_count
