"""
Tests of workers one of whose replies is wrong.
"""

import pytest
from fake_store import virtual_tests
from fleet_world import World

from hawthornpier.fleet import EndedRun, Verdict
from hawthornpier.fleet._worker_clock import ClockCheck, WorkerClock
from hawthornpier.steps import JobPhase, RunOutcome, StepPlan
from hawthornpier_standin.fleet import WorkerFault

LONG_RUNNING = StepPlan(task_count=1, processor_millis=1_000, is_lasting=True)
ONE_TASK = StepPlan(task_count=1, processor_millis=1_000)
WRONG_CLOCK_MS = 2**41
# Of the first job.
LONG_RUNNING_KEY = '0000000000000000.0.0.0'
WRONG_END = EndedRun(
    number=10**6,
    task_key=LONG_RUNNING_KEY,
    attempt=900,
    kind=RunOutcome.STOPPED,
    checkpoint='',
)


def clock_at(clock_ms, now_ms):
    clock = WorkerClock()
    clock.synchronize(clock_ms, now_ms - 2, now_ms)
    return clock


class TestClock:
    """
    A clock that cannot be true is used only once another reply agrees with it.
    """

    @pytest.mark.parametrize('wrong_ms', [WRONG_CLOCK_MS, 1, 9_000])
    def test_one_wrong_clock_changes_nothing(self, wrong_ms):
        """
        Guards against deadlines by a clock that a worker has reported once.
        """
        clock = clock_at(5_000, 100_000)
        check = clock.synchronize(wrong_ms, 100_990, 101_000)
        assert check is ClockCheck.IMPLAUSIBLE
        assert clock.estimate_ms(101_000) == 6_000
        check = clock.synchronize(6_995, 101_990, 102_000)
        assert check is ClockCheck.PLAUSIBLE

    @pytest.mark.parametrize('wrong_ms', [WRONG_CLOCK_MS, 1])
    def test_a_wrong_first_clock_is_corrected(self, wrong_ms):
        """
        Guards against a worker that is unusable after one wrong reply.
        """
        clock = clock_at(wrong_ms, 100_000)
        clock.synchronize(50_000, 100_990, 101_000)
        check = clock.synchronize(51_000, 101_990, 102_000)
        assert check is ClockCheck.CORRECTED
        assert clock.estimate_ms(102_000) == 51_000

    def test_a_reply_that_took_long_may_show_an_early_clock(self):
        """
        Guards against a clock that is rejected because its reply was late.
        """
        clock = WorkerClock()
        clock.synchronize(1_000, 10_000, 13_000)
        check = clock.synchronize(3_900, 13_000, 13_010)
        assert check is ClockCheck.PLAUSIBLE

    def test_replies_may_overtake_each_other(self):
        """
        Guards against a clock that counts as wrong because it is older.
        """
        clock = clock_at(5_000, 100_000)
        check = clock.synchronize(4_200, 99_150, 100_100)
        assert check is ClockCheck.PLAUSIBLE
        assert clock.estimate_ms(100_100) == 5_100


@virtual_tests(World)
class TestOneWrongReply:
    """
    One wrong reply of a worker ends none of its runs, and nothing runs twice.
    """

    async def start_task(self, world):
        task = await world.submit(world.plan(LONG_RUNNING))
        await world.wait_starts(1)
        await world.run_for(1_500)
        return world.workers_of(task)[0]

    async def check_that_runs_go_on(self, world, worker):
        await world.run_for(3_000)
        assert world.checker.started_count == 1
        known = world.owner().local_shard().workers[worker.entry.worker_id]
        assert known.is_usable
        worker.fault = WorkerFault.PARTITIONED
        await world.wait_starts(2)

    async def test_a_wrong_clock(self, world):
        """
        Guards against a run whose lease outlasts what the owner counts with.
        """
        worker = await self.start_task(world)
        worker.wrong_replies.fields = {'clock_ms': WRONG_CLOCK_MS}
        await self.check_that_runs_go_on(world, worker)

    async def test_a_wrong_first_clock(self, world):
        """
        Guards against a new owner that counts with a wrong clock for good.
        """
        worker = await self.start_task(world)
        worker.wrong_replies.fields = {'clock_ms': WRONG_CLOCK_MS}
        world.kill(world.owner())
        await world.wait_until(lambda: world.owner() is not None)
        await self.check_that_runs_go_on(world, worker)

    async def test_a_wrong_incarnation(self, world):
        """
        Guards against runs that are started again while they go on.
        """
        worker = await self.start_task(world)
        wrong_ms = worker.entry.incarnation_ms + 1_000
        worker.wrong_replies.fields = {'incarnation_ms': wrong_ms}
        await self.check_that_runs_go_on(world, worker)

    async def test_a_wrong_rejection(self, world):
        """
        Guards against runs that end because one reply names another worker.
        """
        worker = await self.start_task(world)
        worker.wrong_replies.to_renewal = Verdict.OTHER_INCARNATION
        await self.check_that_runs_go_on(world, worker)

    async def test_a_wrongly_rejected_start(self, world):
        """
        Guards against the same if the reply is that to a start.
        """
        worker = await self.start_task(world)
        self.leave_only(world, worker)
        worker.wrong_replies.to_start = Verdict.OTHER_INCARNATION
        plan = world.plan(ONE_TASK)
        await world.any_node().entry.submit(plan)
        await world.wait_phase(plan.job_id, JobPhase.COMPLETED)
        ended_tasks = {
            fields['task']
            for _, kind, fields in world.log_lines
            if kind == 'run_ended'
        }
        assert LONG_RUNNING_KEY not in ended_tasks

    def leave_only(self, world, worker):
        for other in world.workers.values():
            if other is not worker:
                other.fault = WorkerFault.REFUSE

    async def test_a_listing_without_a_run(self, world):
        """
        Guards against a run that counts as ended because one list lacks it.
        """
        worker = await self.start_task(world)
        worker.wrong_replies.fields = {'running': ()}
        await self.check_that_runs_go_on(world, worker)

    async def test_a_wrong_number_of_an_end(self, world):
        """
        Guards against ends that are acknowledged before they are listed.

        The worker forgets them, and completed tasks run again.
        """
        worker = await self.start_task(world)
        self.leave_only(world, worker)
        plans = [
            world.plan(ONE_TASK, work_ms=work_ms)
            for work_ms in range(300, 420, 20)
        ]
        for plan in plans:
            await world.any_node().entry.submit(plan)
        await world.wait_starts(1 + len(plans))
        worker.wrong_replies.fields = {'ended': (WRONG_END,)}
        for each in plans:
            await world.wait_phase(each.job_id, JobPhase.COMPLETED)
        assert world.checker.started_count == 1 + len(plans)
