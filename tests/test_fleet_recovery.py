"""
Tests of the fleet scheduler during changes of the owner and store faults.
"""

import pytest
from fake_store import virtual_tests
from fleet_world import World

from hawthornpier import fleet
from hawthornpier.steps import JobPhase, StepPlan
from hawthornpier_standin.fleet import StoreFault, WorkerFault

LONG = StepPlan(task_count=6, processor_millis=1_000)


@virtual_tests(World)
class TestJobs:
    """
    Accepted jobs are executed, and their state can be read.
    """

    async def test_steps_run_in_order_and_the_job_completes(self, world):
        """
        Guards against a step that starts too early.

        A step must not start before the one that it depends on is complete.
        """
        await world.wait_first_owner()
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
        Guards against a job that runs twice.

        A caller that lost the reply to a submission repeats it, possibly to
        another process or after the job has completed.
        """
        await world.wait_first_owner()
        plan = world.plan()
        for node in world.nodes.values():
            await node.entry.submit(plan)
        await world.wait_phase(plan.job_id, JobPhase.COMPLETED)
        await world.any_node().entry.submit(plan)
        await world.run_for(1_000)
        assert world.checker.started_count == 4

    async def test_a_cancelled_job_stops_everywhere(self, world):
        """
        Guards against runs that continue after their job was cancelled.

        Cancelling a job has to stop its runs on all workers.
        """
        await world.wait_first_owner()
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
        Guards against a cancellation that succeeds for a nonexistent job.
        """
        await world.wait_first_owner()
        with pytest.raises(fleet.UnknownJobError):
            await world.any_node().entry.cancel('f' * 16)

    async def test_a_job_that_always_fails_ends_after_its_attempts(self, world):
        """
        Guards against an unlimited number of attempts.

        All workers fail the task at each attempt, so the job has to fail at
        the limit of its queue.
        """
        await world.wait_first_owner()
        for worker in world.workers.values():
            worker.fault = WorkerFault.FAIL_ALL
        plan = world.plan(StepPlan(task_count=1, processor_millis=1_000))
        await world.any_node().entry.submit(plan)
        await world.wait_phase(plan.job_id, JobPhase.FAILED, limit_ms=60_000)
        assert world.checker.started_count == 3

    async def test_pending_counts_jobs_without_a_start(self, world):
        """
        Guards against a pending count of 0 while jobs wait for resources.

        The jobs are accepted but fit on no worker.
        """
        await world.wait_first_owner()
        wide = StepPlan(task_count=1, processor_millis=9_000)
        for _ in range(3):
            await world.any_node().entry.submit(world.plan(wide))
        await world.run_for(500)
        for node in world.nodes.values():
            assert await node.entry.pending('orders') == 3


@virtual_tests(World)
class TestOwnerChange:
    """
    A new owner adopts the running tasks of the previous one.
    """

    async def test_running_tasks_are_adopted(self, world):
        """
        Guards against running tasks that are restarted by a new owner.

        The owner is killed while they run on healthy workers.
        """
        await world.wait_first_owner()
        plan = world.plan(LONG, work_ms=6_000)
        await world.any_node().entry.submit(plan)
        await world.run_for(500)
        world.kill(world.owner())
        await world.run_for(1_000)
        assert world.owner() is not None
        await world.wait_phase(plan.job_id, JobPhase.COMPLETED)
        assert world.checker.started_count == 6

    async def test_runs_that_end_before_the_jobs_are_loaded(self, world):
        """
        Guards against completed tasks that a new owner starts again.

        They end during the change of the owner.  If the new owner acknowledged
        their runs before it has loaded the job, the outcomes would be lost.
        """
        await world.wait_first_owner()
        plan = world.plan(LONG, work_ms=700)
        await world.any_node().entry.submit(plan)
        await world.run_for(400)
        world.kill(world.owner())
        await world.wait_phase(plan.job_id, JobPhase.COMPLETED)
        assert world.checker.started_count == 6

    async def test_a_planned_stop_releases_at_once(self, world):
        """
        Guards against a planned stop that leaves the shard without an owner.

        If the owner fails to release the shard, the other processes wait until
        its lease expires.
        """
        await world.wait_first_owner()
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
        Guards against accepted jobs that are lost with the processes.

        All entry processes are killed at once, so the jobs have to be in the
        store by the time they are accepted.
        """
        await world.wait_first_owner()
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
        Guards against ended jobs that a new owner removes too early.

        The end time is not stored, so a new owner must restart the retention
        period.  With an end time of 0 the job would be expired by now.
        """
        await world.run_for(400_000)
        plan = world.plan()
        await world.any_node().entry.submit(plan)
        await world.wait_phase(plan.job_id, JobPhase.COMPLETED)
        world.kill(world.owner())
        await world.run_for(15_000)
        await world.wait_phase(plan.job_id, JobPhase.COMPLETED, limit_ms=100)

    async def test_a_job_that_only_the_deposed_owner_started(self, world):
        """
        Guards against a task that runs twice after a change of the owner.

        The notification of a new job reached only the previous owner, which
        started its tasks.  The new owner is notified while one of the workers
        that run them is unreachable.
        """
        await world.wait_first_owner()
        old = world.owner()
        plan = world.plan(LONG, work_ms=4_000)
        old.local_shard().add_job(plan)
        await world.run_for(200)
        unreachable = next(iter(world.checker.running.values()))
        world.workers[unreachable].fault = WorkerFault.PARTITIONED
        world.kill(old)
        await world.run_for(600)
        world.owner().local_shard().add_job(plan)
        await world.run_for(2_000)
        world.workers[unreachable].fault = WorkerFault.NONE
        await world.run_for(9_000)

    async def test_a_release_during_a_write(self, world):
        """
        Guards against a release that fails because of a write in flight.

        The store is slow, so the release is requested before the previous
        write has been applied, and both depend on the fence's version.
        """
        await world.wait_first_owner()
        world.store.delay_factor = 15
        await world.any_node().entry.submit(world.plan(LONG, work_ms=50))
        await world.run_for(320)
        leaving = world.owner()
        await leaving.leave()
        failed = [kind for _, kind, _ in world.log_lines]
        assert 'release_failed' not in failed

    async def test_a_run_listed_before_its_job_is_added(self, world):
        """
        Guards against a task that is started again although it is running.

        A worker lists the run before the owner is notified of the job, and the
        next listing comes only after the job's tasks are placed.
        """
        await world.wait_first_owner()
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
                fencing_token=worker.fencing_token,
                deadline_clock_ms=worker.clock_ms + 5_000,
            ),
        )
        # The owner requests a listing from an idle worker every two seconds.
        await world.run_for(2_200)
        shard.add_job(plan)
        await world.run_for(300)
        assert world.checker.started_count == 1


@virtual_tests(World)
class TestStoreFaults:
    """
    The store is unavailable, loses replies or discards its history.
    """

    async def test_running_tasks_continue_without_the_store(self, world):
        """
        Guards against runs that end because the store is unavailable.

        The owner must keep renewing the leases of the workers, although it
        cannot renew its own.
        """
        await world.wait_first_owner()
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

    async def test_an_entry_process_without_the_store_relays(self, world):
        """
        Guards against jobs that are rejected although they could be stored.

        The store refuses one process only, which has to relay the job to
        another one.
        """
        await world.wait_first_owner()
        entry_node = next(
            node for node in world.nodes.values() if node is not world.owner()
        )
        entry_node.client.fault = StoreFault.REFUSE
        plan = world.plan()
        await entry_node.entry.submit(plan)
        await world.wait_phase(plan.job_id, JobPhase.COMPLETED)

    async def test_a_refused_job_never_runs(self, world):
        """
        Guards against a job that runs after "not stored" was reported.

        The store refuses all processes, and accepts requests again later.
        """
        await world.wait_first_owner()
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
        Guards against a rejection that takes too long.

        The store refuses the process, and no other process replies, so that
        relaying the job to one after the other would add up their timeouts.
        """
        await world.wait_first_owner()
        caller = world.any_node()
        for node in world.nodes.values():
            node.is_partitioned = node is not caller
            node.client.fault = StoreFault.REFUSE
        for number in range(10):
            world.start_node(f'm{number}').is_partitioned = True
        await world.run_for(100)
        for node in world.nodes.values():
            node.client.fault = StoreFault.REFUSE
        # How long a relayed write waits for a process that does not reply.
        world.peer_timeout_s = 1.3
        begun_ms = world.clock.monotonic_ms()
        with pytest.raises(fleet.NotStoredError):
            await caller.entry.submit(world.plan())
        assert world.clock.monotonic_ms() - begun_ms < 1_500

    async def test_a_late_write_is_not_called_refused(self, world):
        """
        Guards against "not stored" for a job that runs later.

        The store does not reply to the write but applies it later, so the
        outcome has to be reported as unknown.
        """
        await world.wait_first_owner()
        for node in world.nodes.values():
            node.client.fault = StoreFault.APPLY_LATE
        plan = world.plan()
        with pytest.raises(fleet.OutcomeUnknownError):
            await world.any_node().entry.submit(plan)
        for node in world.nodes.values():
            node.client.fault = StoreFault.NONE
        await world.wait_phase(plan.job_id, JobPhase.COMPLETED)

    async def test_an_owner_that_the_store_refuses_is_replaced(self, world):
        """
        Guards against an owner that stays although it cannot write.

        The store refuses this process only, so another one has to take over.
        """
        await world.wait_first_owner()
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
        Guards against submissions that wait for each other.

        A partition of the store applies its transactions one after another,
        so that with a slow store the jobs have to be spread over several.
        """
        await world.wait_first_owner()
        world.store.delay_factor = 30
        plans = [world.plan() for _ in range(8)]
        nodes = tuple(world.nodes.values())
        for number, plan in enumerate(plans):
            await nodes[number % 3].entry.submit(plan)
        for plan in plans:
            await world.wait_phase(plan.job_id, JobPhase.COMPLETED)

    async def test_configuration_from_a_peer(self, world):
        """
        Guards against a process that keeps an outdated configuration.

        The store refuses this process, which has to read the new
        configuration from a peer.
        """
        await world.wait_first_owner()
        refused = next(
            node for node in world.nodes.values() if node is not world.owner()
        )
        refused.client.fault = StoreFault.REFUSE
        await world.run_for(1_500)
        world.configure(7, ('orders', 'more'))
        await world.run_for(2_000)
        assert refused.configuration.version == 7

    async def test_forgotten_history(self, world):
        """
        Guards against a configuration change that is missed.

        The store discards its history, so the change is not among those that
        it returns, and the processes have to read the configuration itself.
        """
        await world.wait_first_owner()
        world.configure(8)
        world.store.discard_changes()
        await world.run_for(3_000)
        versions = {node.configuration.version for node in world.nodes.values()}
        assert versions == {8}
