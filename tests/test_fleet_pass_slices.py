"""
Tests of scheduling passes that let other work take place between slices.
"""

import types

import pytest
from test_fleet_ends import JOB_ID, add_worker, listing_of, shard_with

from hawthornpier.fleet import PlatformBounds, WorkerTimings
from hawthornpier.fleet._listings import ListingReconciler
from hawthornpier.fleet._pass_queue import PassQueue
from hawthornpier.fleet._scheduler import Scheduler
from hawthornpier.steps import JobPlan, QueuePolicy, RunOutcome, StepPlan

QUEUE = QueuePolicy(name='orders', service='desk')
# What it costs a slow host to choose the worker of a task.
CHOICE_MS = 5
# Longest time for which a slice may keep the process.
SLICE_MS = 30


class SlowPass:
    """
    A shard whose owner takes long for each choice of a worker.
    """

    def __init__(self, job_count, *, task_count=1):
        self.shard = shard_with()
        self.shard.cancel_job(JOB_ID)
        self.worker = add_worker(self.shard)
        self.worker.is_recorded = True
        ListingReconciler(self.shard).apply(
            self.worker, listing_of(), self.shard.now_ms
        )
        self.jobs = [
            self.add_job(number, task_count=task_count)
            for number in range(job_count)
        ]
        self.scheduler = Scheduler(
            self.shard, bounds=PlatformBounds(), timings=WorkerTimings()
        )
        placement = self.scheduler._placement
        self._ranking = placement.ranking
        placement.ranking = self._slow_ranking

    def add_job(self, number, *, task_count=1, processor_millis=1, **options):
        step = StepPlan(
            task_count=task_count, processor_millis=processor_millis, **options
        )
        return self.shard.add_job(
            JobPlan(
                job_id=f'{number + 1:016x}',
                payload='',
                steps=(step,),
                queue=QUEUE,
            )
        )

    def _slow_ranking(self, *arguments):
        ranking = self._ranking(*arguments)
        choose = ranking.choose

        def choose_slowly(task):
            self.pause(CHOICE_MS)
            return choose(task)

        return types.SimpleNamespace(choose=choose_slowly)

    def pause(self, duration_ms):
        self.shard.clock.jump_ms += duration_ms

    def run_pass(self, slices=None):
        """
        Run a pass, or the rest of one, with gaps between its slices.
        """
        for _ in slices or self.scheduler.slices():
            self.pause(SLICE_MS)
            self.confirm_ownership()
        self.pause(500)
        self.confirm_ownership()

    def confirm_ownership(self):
        permits = self.shard.permits
        permits.writes.confirm(permits.writes.mark())
        permits.registry.confirm(permits.registry.mark())

    def started(self):
        """
        Return the ids of the jobs in the order in which they were started.
        """
        runs = self.worker.runs.values()
        return [run.task.step.job.plan.job_id for run in runs]

    def waiting_count(self):
        return sum(task.is_waiting for job in self.jobs for task in job.tasks())


class TestPassSlices:
    """
    A long pass keeps the owner for a few milliseconds at a time.
    """

    @pytest.mark.parametrize(('job_count', 'task_count'), [(60, 1), (1, 60)])
    async def test_the_process_is_kept_for_a_short_time(
        self, job_count, task_count
    ):
        """
        Guards against renewals, listings and replies that wait for a long pass.
        """
        slow = SlowPass(job_count, task_count=task_count)
        slow.confirm_ownership()
        last_ms, longest_ms, count = slow.shard.now_ms, 0, 0
        for _ in slow.scheduler.slices():
            longest_ms = max(longest_ms, slow.shard.now_ms - last_ms)
            slow.pause(10)
            last_ms = slow.shard.now_ms
            count += 1
        assert longest_ms <= SLICE_MS
        assert count >= 60 * CHOICE_MS / SLICE_MS
        assert not slow.waiting_count()

    async def test_slices_do_not_change_what_is_started(self):
        """
        Guards against another order of starts than that of a fast host.
        """
        in_one_go, in_slices = SlowPass(40), SlowPass(40)
        in_one_go.scheduler.run_pass()
        for _ in in_slices.scheduler.slices():
            assert in_slices.waiting_count()
        assert in_slices.started() == in_one_go.started()

    async def test_a_long_running_task_that_loses_its_run(self):
        """
        Guards against a long-running task that waits for the end of a backlog.
        """
        slow = SlowPass(0)
        watch = slow.add_job(0, is_lasting=True)
        slow.jobs = [slow.add_job(number) for number in range(1, 1_000)]
        task = next(watch.tasks())
        slow.run_pass()
        assert not task.is_waiting
        passes = slow.scheduler.slices()
        next(passes)
        slow.shard.end_run(task.runs[0], RunOutcome.LOST)
        lost_ms = slow.shard.now_ms
        slow.run_pass(passes)
        slow.run_pass()
        assert task.runs[0].started_ms - lost_ms < 2_000
        assert slow.waiting_count() > 500

    async def test_a_backlog_is_considered_in_several_passes(self):
        """
        Guards against steps of low rank that no pass reaches.
        """
        slow = SlowPass(0)
        # None certainly finds no worker because another one found none.
        for number in range(150):
            slow.add_job(
                number, processor_millis=1 + number, memory_mb=1_000 - number
            )
        considered = []

        def refuse(step, pool):
            slow.pause(CHOICE_MS)
            considered.append(step)

        slow.scheduler._place = refuse
        for _ in range(4):
            slow.run_pass()
            assert slow.scheduler.is_cut
        assert len(set(considered)) == 150


class TestPassQueue:
    """
    A pass that takes its time leaves the rest to the next one.
    """

    def steps(self, count, *, is_lasting=False):
        shard = shard_with()
        plan = JobPlan(
            job_id='1' * 16,
            payload='',
            steps=(StepPlan(task_count=1, is_lasting=is_lasting),) * count,
            queue=QUEUE,
        )
        return [task.step for task in shard.add_job(plan).tasks()]

    async def test_what_was_not_reached_is_next(self):
        """
        Guards against steps that no pass reaches.
        """
        steps = self.steps(4)
        queue = PassQueue(steps, {}, 0)
        assert [queue.pop(0), queue.pop(0)] == steps[:2]
        assert not queue.is_over(500)
        assert queue.is_over(600)
        assert queue.missed() == dict.fromkeys(steps[2:], 1)
        following = PassQueue(steps, queue.missed(), 1_000)
        assert following.pop(1_000) is steps[2]
        assert following.missed() == {steps[3]: 2, steps[0]: 1, steps[1]: 1}
        last = PassQueue(steps, following.missed(), 2_000)
        order = [last.pop(2_000) for _ in steps]
        assert order == [steps[3], steps[0], steps[1], steps[2]]
        assert last.is_over(2_000)

    async def test_starts_that_cannot_be_sent_are_not_placed(self):
        """
        Guards against tasks that are placed, wait and are withdrawn in turn.
        """
        steps = self.steps(2, is_lasting=True) + self.steps(4)
        queue = PassQueue(steps, {}, 0)
        queue.drop_others()
        assert [queue.pop(0), queue.pop(0)] == steps[:2]
        assert queue.is_over(0)
        assert queue.is_cut
        assert not queue.missed()

    async def test_long_running_steps_leave_time_to_others(self):
        """
        Guards against work that waits for long-running tasks without room.
        """
        urgent, others = self.steps(3, is_lasting=True), self.steps(1)
        queue = PassQueue(urgent + others, {}, 0)
        assert queue.pop(0) is urgent[0]
        assert queue.pop(400) is others[0]
        assert queue.pop(400) is urgent[1]


class TestChangesBetweenSlices:
    """
    What happens between two slices counts in the next one.
    """

    @pytest.mark.parametrize(
        'change',
        [
            lambda slow: setattr(slow.shard, 'is_draining', True),
            lambda slow: setattr(slow.worker, 'missed_reply_count', 1),
            lambda slow: slow.worker.health.quarantine(slow.shard.now_ms),
            lambda slow: slow.pause(2_000),
        ],
        ids=['draining', 'unresponsive', 'quarantined', 'paused'],
    )
    async def test_nothing_is_started_that_may_not_be(self, change):
        """
        Guards against starts by what was known at the beginning of a pass.
        """
        slow = SlowPass(40)
        slices = slow.scheduler.slices()
        next(slices)
        started = slow.started()
        change(slow)
        for _ in slices:
            assert slow.started() == started
        assert slow.started() == started
        assert slow.waiting_count() == 40 - len(started)

    async def test_jobs_that_were_cancelled(self):
        """
        Guards against runs of a job that is cancelled during a pass.
        """
        slow = SlowPass(40)
        slices = slow.scheduler.slices()
        next(slices)
        started = slow.started()
        waiting = [job for job in slow.jobs if job.plan.job_id not in started]
        for job in waiting:
            slow.shard.cancel_job(job.plan.job_id)
        assert not list(slices)
        assert slow.started() == started
