"""
Tests of tasks that are placed on workers which do not reply to orders.
"""

import asyncio
from types import SimpleNamespace

import msgspec
from fake_store import virtual_tests
from fleet_world import World
from test_fleet_ends import add_worker, listing_of, shard_with, task_key
from test_fleet_held_work import usable

from hawthornpier.fleet import WorkerTimings
from hawthornpier.fleet._crash_trials import CrashTrials
from hawthornpier.fleet._eligibility import Exclusion, find_exclusion
from hawthornpier.fleet._incarnations import Incarnations
from hawthornpier.fleet._listings import ListingReconciler
from hawthornpier.fleet._placement import Placement
from hawthornpier.fleet._withdrawals import withdraw_unsent_starts
from hawthornpier.steps import CrashEvidence, RunOutcome, StepPlan
from hawthornpier_standin.fleet import WorkerFault

# They share a worker if they can.
PACKED = StepPlan(
    task_count=8, processor_millis=1_000, is_lasting=True, image='a'
)


@virtual_tests(World)
class TestQueuedStarts:
    """
    Starts that were not sent do not wait for a worker that does not reply.
    """

    options = {'worker_count': 2}

    async def test_starts_behind_one_without_a_reply_go_elsewhere(self, world):
        """
        Guards against long-running tasks that wait for each other's timeouts.
        """
        await world.wait_first_owner()
        worker = self._silence_all_but_one(world)
        await world.any_node().entry.submit(world.plan(PACKED))
        await world.run_for(2_500)
        running = [
            run for run, where in world.checker.running.items() if where == 'w1'
        ]
        assert len(running) >= 6, worker.entry.worker_id

    async def test_the_others_follow_when_their_starts_are_withdrawn(
        self, world
    ):
        """
        Guards against tasks that are not started again after a withdrawal.
        """
        await world.wait_first_owner()
        self._silence_all_but_one(world)
        await world.any_node().entry.submit(world.plan(PACKED))
        await world.run_for(6_000)
        assert len(world.checker.running) == 8

    async def test_a_start_that_waits_for_a_timeout_is_withdrawn(self, world):
        """
        Guards against tasks that wait because their worker replies to some
        orders only.
        """
        shard, run = _started_run()
        worker = shard.workers['w0']
        waiting = shard.start_run(
            shard.find_task(task_key(1)), worker, reason='test'
        )
        withdraw_unsent_starts(shard, worker, waiting.started_ms - 1)
        assert waiting.task.runs
        withdraw_unsent_starts(shard, worker, waiting.started_ms)
        assert not waiting.task.runs
        assert run.task.runs

    async def test_one_start_at_a_time_is_tried_after_a_lost_reply(self, world):
        """
        Guards against starts that queue up anew, and against a worker that is
        not tried although it replies to some orders.
        """
        shard, run = _started_run()
        worker = usable(shard.workers['w0'])
        worker.unanswered_until_ms = shard.now_ms + 700
        step, now_ms = run.task.step, shard.now_ms
        assert find_exclusion(worker, step, now_ms) is Exclusion.UNANSWERED
        worker.orders.get_nowait()
        assert find_exclusion(worker, step, now_ms) is None

    async def test_a_withdrawn_trial_is_due_again(self, world):
        """
        Guards against a suspect that waits twice for a single trial.
        """
        shard, run = _started_run()
        worker = usable(shard.workers['w0'])
        suspect = shard.find_task(task_key(1))
        suspect.crashes = dict.fromkeys(range(3), CrashEvidence.SOLE)
        trials = CrashTrials(shard, Placement(shard.interference))
        trials.begin(shard.start_run(suspect, worker, reason='test'))
        assert not trials.suitable_workers([suspect], [worker])
        withdraw_unsent_starts(shard, worker)
        shard.end_run(run, RunOutcome.LOST)
        assert trials.suitable_workers([suspect], [worker])

    async def test_a_restart_of_the_worker_does_not_hold_unsent_starts(
        self, world
    ):
        """
        Guards against tasks that wait until the next incarnation acknowledges
        that it has not executed what was never sent.
        """
        shard, run = _started_run()
        worker = usable(shard.workers['w0'])
        unsent = shard.start_run(
            shard.find_task(task_key(1)), worker, reason='test'
        )
        context = SimpleNamespace(
            worker_timings=WorkerTimings(), log=shard.log, clock=shard.clock
        )
        async with asyncio.TaskGroup() as group:
            incarnations = Incarnations(
                shard, context, lambda entry: None, group
            )
            incarnations.begin(worker, 2)
            incarnations.remove('w0')
        assert run.task.runs
        assert not unsent.task.runs

    def _silence_all_but_one(self, world):
        worker = world.workers['w0']
        worker.fault = WorkerFault.START_LATE
        worker.late_delay_ms = 60_000
        return worker


class TestStartsWithoutReply:
    """
    A start can be executed until its deadline only.
    """

    async def test_a_start_after_its_deadline_is_given_up(self):
        """
        Guards against a task that waits until its worker acknowledges a stop.
        """
        shard, run = _started_run()
        shard.stop_run(run, 'no reply')
        self._list(shard, run.start_deadline_clock_ms + 1)
        assert not run.task.runs

    async def test_a_start_before_its_deadline_is_not_given_up(self):
        """
        Guards against a task that runs twice.
        """
        shard, run = _started_run()
        shard.stop_run(run, 'no reply')
        self._list(shard, run.start_deadline_clock_ms)
        assert run.task.runs

    async def test_a_deadline_of_the_previous_incarnation_does_not_count(self):
        """
        Guards against a task that runs twice after a restart of its worker.
        """
        shard, run = _started_run()
        worker = shard.workers['w0']
        worker.begin_incarnation(worker.entry)
        worker.charge(run)
        shard.stop_run(run, 'no reply')
        self._list(shard, 60_000)
        assert run.task.runs

    async def test_a_further_try_does_not_postpone_the_deadline(self):
        """
        Guards against a silent worker whose lease is extended by each try.
        """
        shard, run = _started_run()
        worker = shard.workers['w0']
        deadline = run.start_deadline_clock_ms
        later_ms = shard.now_ms + 1_400
        assert worker.start_deadline(run, 5_000, later_ms) == deadline

    def _list(self, shard, clock_ms):
        listing = msgspec.structs.replace(listing_of(), clock_ms=clock_ms)
        worker = shard.workers['w0']
        # A single listing ends no run.
        for _ in range(2):
            ListingReconciler(shard).apply(worker, listing, shard.now_ms)


def _started_run():
    """
    Return a shard and a run of it whose start was sent.
    """
    shard = shard_with()
    shard.clock.jump_ms = 1_000
    worker = add_worker(shard)
    run = shard.start_run(shard.find_task(task_key(0)), worker, reason='test')
    worker.start_deadline(run, 5_000, shard.now_ms)
    run.sent_ms = shard.now_ms
    return shard, run
