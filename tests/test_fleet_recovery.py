"""
Tests of the fleet scheduler over changes of the owner and store faults.
"""

import pytest
from fake_store import virtual_tests
from fleet_world import World

from hawthornpier import fleet
from hawthornpier.steps import JobPhase, StepPlan
from hawthornpier_standin.fleet import StoreFault, WorkerFault

LONG = StepPlan(task_count=6, processor_millis=1_000)


async def started_world(world):
    await world.run_for(1_500)
    assert world.owner() is not None


@virtual_tests(World)
class TestJobs:
    """
    Accepted jobs are carried out and shown.
    """

    async def test_steps_run_in_order_and_the_job_completes(self, world):
        """
        Guards against a step that starts before the one that it follows.
        """
        await started_world(world)
        first = StepPlan(task_count=3, processor_millis=1_000)
        second = StepPlan(task_count=2, processor_millis=1_000, after=(0,))
        plan = world.plan(first, second)
        await world.any_node().entry.submit(plan)
        await world.run_for(100)
        assert all('.0.0.' in task for task, _ in world.checker.running)
        await world.wait_phase(plan.job_id, JobPhase.COMPLETED)
        assert len(world.checker.done) == 5

    async def test_a_repeated_submission_stays_one_job(self, world):
        """
        Guards against a job that runs twice because its answer was lost.
        """
        await started_world(world)
        plan = world.plan()
        for node in world.nodes.values():
            await node.entry.submit(plan)
        await world.wait_phase(plan.job_id, JobPhase.COMPLETED)
        await world.any_node().entry.submit(plan)
        await world.run_for(1_000)
        assert world.checker.started_count == 4

    async def test_a_cancelled_job_stops_everywhere(self, world):
        """
        Guards against runs that go on after a cancellation was answered.
        """
        await started_world(world)
        plan = world.plan(work_ms=60_000)
        await world.any_node().entry.submit(plan)
        await world.run_for(500)
        assert len(world.checker.running) == 4
        await world.any_node().entry.cancel(plan.job_id)
        await world.run_for(1_000)
        assert not world.checker.running
        await world.wait_phase(plan.job_id, JobPhase.CANCELLED)

    async def test_an_unknown_job_cannot_be_cancelled(self, world):
        """
        Guards against a cancellation of nothing that is answered as done.
        """
        await started_world(world)
        with pytest.raises(fleet.UnknownJobError):
            await world.any_node().entry.cancel('f' * 16)

    async def test_a_hopeless_job_fails_after_its_attempts(self, world):
        """
        Guards against endless attempts of tasks that always fail.
        """
        await started_world(world)
        for worker in world.workers.values():
            worker.fault = WorkerFault.FAIL_ALL
        plan = world.plan(StepPlan(task_count=1, processor_millis=1_000))
        await world.any_node().entry.submit(plan)
        await world.wait_phase(plan.job_id, JobPhase.FAILED, limit_ms=60_000)
        assert world.checker.started_count == 3

    async def test_pending_counts_jobs_without_a_start(self, world):
        """
        Guards against a queue that looks empty while jobs wait for room.
        """
        await started_world(world)
        wide = StepPlan(task_count=1, processor_millis=9_000)
        for _ in range(3):
            await world.any_node().entry.submit(world.plan(wide))
        await world.run_for(500)
        for node in world.nodes.values():
            assert await node.entry.pending('orders') == 3


@virtual_tests(World)
class TestOwnerChange:
    """
    Another process takes over and adopts what runs.
    """

    async def test_running_tasks_are_adopted(self, world):
        """
        Guards against work that is thrown away when its owner dies.
        """
        await started_world(world)
        plan = world.plan(LONG, work_ms=6_000)
        await world.any_node().entry.submit(plan)
        await world.run_for(500)
        world.kill(world.owner())
        await world.run_for(1_000)
        assert world.owner() is not None
        await world.wait_phase(plan.job_id, JobPhase.COMPLETED)
        assert world.checker.started_count == 6

    async def test_ends_before_the_jobs_are_loaded_are_kept(self, world):
        """
        Guards against ends that a new owner acknowledges before it knows
        their job: the tasks would start again.
        """
        await started_world(world)
        plan = world.plan(LONG, work_ms=700)
        await world.any_node().entry.submit(plan)
        await world.run_for(400)
        world.kill(world.owner())
        await world.wait_phase(plan.job_id, JobPhase.COMPLETED)
        assert world.checker.started_count == 6

    async def test_a_planned_stop_hands_over_at_once(self, world):
        """
        Guards against a release that fails, which costs a whole lease.
        """
        await started_world(world)
        plan = world.plan(LONG, work_ms=3_000)
        await world.any_node().entry.submit(plan)
        await world.run_for(300)
        leaving = world.owner()
        await leaving.leave()
        await world.run_for(700)
        assert world.owner() not in (None, leaving)
        await world.wait_phase(plan.job_id, JobPhase.COMPLETED)
        assert world.checker.started_count == 6

    async def test_all_processes_lost_at_once(self, world):
        """
        Guards against accepted jobs that only processes knew.
        """
        await started_world(world)
        plans = [world.plan(LONG, work_ms=2_000) for _ in range(3)]
        for plan in plans:
            await world.any_node().entry.submit(plan)
        for node in tuple(world.nodes.values()):
            world.kill(node)
        await world.run_for(1_000)
        for name in tuple(world.nodes):
            world.start_node(name)
        for plan in plans:
            await world.wait_phase(plan.job_id, JobPhase.COMPLETED)

    async def test_restored_jobs_stay_readable(self, world):
        """
        Guards against ended jobs that a new owner sweeps at once.
        """
        await world.run_for(400_000)
        plan = world.plan()
        await world.any_node().entry.submit(plan)
        await world.wait_phase(plan.job_id, JobPhase.COMPLETED)
        world.kill(world.owner())
        await world.run_for(15_000)
        await world.wait_phase(plan.job_id, JobPhase.COMPLETED, limit_ms=100)

    async def test_a_job_that_only_the_old_owner_started(self, world):
        """
        Guards against a second run of a job whose notice reached the old
        owner first, on a worker that does not answer the new one.
        """
        await started_world(world)
        old = world.owner()
        plan = world.plan(LONG, work_ms=4_000)
        old.local_shard().add_job(plan)
        await world.run_for(200)
        silent = next(iter(world.checker.running.values()))
        world.workers[silent].fault = WorkerFault.CUT
        world.kill(old)
        await world.run_for(600)
        world.owner().local_shard().add_job(plan)
        await world.run_for(2_000)
        world.workers[silent].fault = WorkerFault.NONE
        await world.run_for(9_000)

    async def test_a_release_during_a_write(self, world):
        """
        Guards against a release that a write on its way makes fail.
        """
        await started_world(world)
        world.store.slowness = 15
        await world.any_node().entry.submit(world.plan(LONG, work_ms=50))
        await world.run_for(320)
        leaving = world.owner()
        await leaving.leave()
        failed = [kind for _, kind, _ in world.log_lines]
        assert 'release_failed' not in failed

    async def test_an_early_row_is_adopted_with_its_job(self, world):
        """
        Guards against runs that are listed before their job's notice, and
        would be started again on the notice.
        """
        await started_world(world)
        shard = world.owner().local_shard()
        plan = world.plan(
            StepPlan(task_count=1, processor_millis=1_000),
            work_ms=4_000,
        )
        # Placement prefers the first of equal workers.
        worker = world.workers['w3']
        task_key = f'{plan.job_id}.0.0.0'
        worker.start(
            fleet.StartOrder(
                task_key=task_key,
                attempt=1,
                payload='payload',
                epoch=shard.epoch,
                deadline_clock_ms=worker.clock_ms + 5_000,
            ),
        )
        # An idle worker is asked for its lists every two seconds.
        await world.run_for(2_200)
        shard.add_job(plan)
        await world.run_for(300)
        assert world.checker.started_count == 1


@virtual_tests(World)
class TestStoreFaults:
    """
    The store is away, loses answers or forgets its history.
    """

    async def test_running_work_goes_on_without_the_store(self, world):
        """
        Guards against leases that lapse because the store is away.
        """
        await started_world(world)
        plan = world.plan(LONG, work_ms=7_000)
        await world.any_node().entry.submit(plan)
        await world.run_for(300)
        for node in world.nodes.values():
            node.client.fault = StoreFault.SILENT
        await world.run_for(8_000)
        assert len(world.checker.done) == 6
        for node in world.nodes.values():
            node.client.fault = StoreFault.NONE
        await world.wait_phase(plan.job_id, JobPhase.COMPLETED)
        assert world.checker.started_count == 6

    async def test_an_entry_without_store_relays(self, world):
        """
        Guards against refusals by a process that only the store turns away.
        """
        await started_world(world)
        entry_node = next(
            node for node in world.nodes.values() if node is not world.owner()
        )
        entry_node.client.fault = StoreFault.REFUSE
        plan = world.plan()
        await entry_node.entry.submit(plan)
        await world.wait_phase(plan.job_id, JobPhase.COMPLETED)

    async def test_a_refused_job_never_runs(self, world):
        """
        Guards against a promise that a job has not run which is untrue.
        """
        await started_world(world)
        for node in world.nodes.values():
            node.client.fault = StoreFault.REFUSE
        plan = world.plan()
        with pytest.raises(fleet.NotStoredError):
            await world.any_node().entry.submit(plan)
        for node in world.nodes.values():
            node.client.fault = StoreFault.NONE
        await world.run_for(5_000)
        assert not world.checker.started_count

    async def test_a_refusal_does_not_come_late(self, world):
        """
        Guards against a request that is held while one process after the
        other is asked in vain.
        """
        await started_world(world)
        caller = world.any_node()
        for node in world.nodes.values():
            node.is_partitioned = node is not caller
            node.client.fault = StoreFault.REFUSE
        for number in range(10):
            world.start_node(f'm{number}').is_partitioned = True
        await world.run_for(100)
        for node in world.nodes.values():
            node.client.fault = StoreFault.REFUSE
        # A process that does not answer a relayed write costs this long.
        world.peer_timeout_s = 1.3
        begun_ms = world.clock.monotonic_ms()
        with pytest.raises(fleet.NotStoredError):
            await caller.entry.submit(world.plan())
        assert world.clock.monotonic_ms() - begun_ms < 1_500

    async def test_a_late_write_is_not_called_refused(self, world):
        """
        Guards against "not stored" for a write that takes effect later.
        """
        await started_world(world)
        for node in world.nodes.values():
            node.client.fault = StoreFault.APPLY_LATE
        plan = world.plan()
        with pytest.raises(fleet.OutcomeUnknownError):
            await world.any_node().entry.submit(plan)
        for node in world.nodes.values():
            node.client.fault = StoreFault.NONE
        await world.wait_phase(plan.job_id, JobPhase.COMPLETED)

    async def test_the_owner_that_is_turned_away_is_replaced(self, world):
        """
        Guards against a shard whose owner can no longer write.
        """
        await started_world(world)
        plan = world.plan(LONG, work_ms=5_000)
        await world.any_node().entry.submit(plan)
        await world.run_for(300)
        old = world.owner()
        old.client.fault = StoreFault.REFUSE
        await world.run_for(5_000)
        assert world.owner() not in (None, old)
        await world.wait_phase(plan.job_id, JobPhase.COMPLETED)
        assert world.checker.started_count == 6

    async def test_a_slow_store_serves_many_acceptances(self, world):
        """
        Guards against acceptances that wait for each other in one part.
        """
        await started_world(world)
        world.store.slowness = 30
        plans = [world.plan() for _ in range(8)]
        nodes = tuple(world.nodes.values())
        for number, plan in enumerate(plans):
            await nodes[number % 3].entry.submit(plan)
        for plan in plans:
            await world.wait_phase(plan.job_id, JobPhase.COMPLETED)

    async def test_configuration_from_a_peer(self, world):
        """
        Guards against an old configuration where the store turns one away.
        """
        await started_world(world)
        away = next(
            node for node in world.nodes.values() if node is not world.owner()
        )
        away.client.fault = StoreFault.REFUSE
        await world.run_for(1_500)
        world.configure(7, ('orders', 'more'))
        await world.run_for(2_000)
        assert away.configuration.version == 7

    async def test_forgotten_history(self, world):
        """
        Guards against changes that are missed with the store's history.
        """
        await started_world(world)
        world.configure(8)
        world.store.forget_history()
        await world.run_for(3_000)
        versions = {node.configuration.version for node in world.nodes.values()}
        assert versions == {8}
