"""
Tests of the log of long-running tasks that wait although there is room.
"""

import dataclasses

import pytest
from fake_store import virtual_tests
from fleet_world import World
from test_fleet_evacuation import _Fleet

from hawthornpier.events import DecisionLog
from hawthornpier.fleet._long_running_waits import LongRunningWaits, WaitReason
from hawthornpier.steps import RunOutcome, RunPhase, StepPlan
from hawthornpier_standin.fleet import WorkerFault

STEP = StepPlan(task_count=2, processor_millis=2_000, is_lasting=True)


class _Log(DecisionLog):
    """
    Keeps the lines.
    """

    def __init__(self):
        super().__init__('n')
        self.lines = []

    def record(self, kind, **fields):
        self.lines.append((kind, fields))


class _Waits:
    """
    A fleet of which one task waits beside room, and its log.
    """

    def __init__(self):
        self.fleet = _Fleet()
        self.shard = self.fleet.shard
        self.shard.log = _Log()
        for permit in (self.shard.permits.writes, self.shard.permits.registry):
            permit.confirm(permit.mark())
        self.task = self.fleet.tasks[0]
        self.run = self.task.runs[0]
        self.unsafe = set()
        self.waits = LongRunningWaits(
            self.shard,
            lambda tasks: [task for task in tasks if task not in self.unsafe],
        )

    def describe_after(self, waited_ms):
        """
        Return what the log tells of the task once it has waited.
        """
        self.waits.run_pass()
        for _ in range(waited_ms // 500):
            self.wait()
        return self.shard.log.lines[-1][1]['longest'][0]

    def wait(self):
        self.fleet.clock.now_ms += 500
        for permit in (self.shard.permits.writes, self.shard.permits.registry):
            permit.confirm(permit.mark())
        self.shard.permits.confirm_unclaimed(self.shard.now_ms)
        self.waits.run_pass()


def _stop_without_reply(waits):
    waits.shard.stop_run(waits.run, 'test')


def _start_in_queue(waits):
    waits.run.phase = RunPhase.STARTING


def _start_without_reply(waits):
    waits.run.phase = RunPhase.STARTING
    waits.run.sent_ms = 1


def _never_ready(waits):
    waits.run.percent = 40


def _silent_worker(waits):
    waits.shard.workers['w0'].missed_reply_count = 1


def _unlisted_worker(waits):
    waits.shard.end_run(waits.run, RunOutcome.LOST)
    waits.unsafe.add(waits.task)


def _excluded(waits):
    waits.shard.end_run(waits.run, RunOutcome.LOST)
    for worker in waits.shard.workers.values():
        worker.health.quarantine(waits.shard.now_ms + 60_000)


def _skipped(waits):
    waits.shard.end_run(waits.run, RunOutcome.LOST)


def _full(waits):
    waits.shard.end_run(waits.run, RunOutcome.LOST)
    for worker in waits.shard.workers.values():
        worker.entry = dataclasses.replace(worker.entry, processor_millis=0)


def _leaving(waits):
    waits.shard.end_run(waits.run, RunOutcome.LOST)
    waits.shard.is_draining = True


class TestReasons:
    """
    Each path by which a task has no run has a reason.
    """

    @pytest.mark.parametrize(
        ('cause', 'reason'),
        [
            (_stop_without_reply, WaitReason.STOP_QUEUED_OR_UNANSWERED),
            (_start_in_queue, WaitReason.START_QUEUED),
            (_start_without_reply, WaitReason.START_UNANSWERED),
            (_never_ready, WaitReason.NOT_READY),
            (_silent_worker, WaitReason.WORKER_SILENT),
            (_unlisted_worker, WaitReason.MAYBE_RUNNING),
            (_excluded, WaitReason.EXCLUDED),
            (_skipped, WaitReason.NOT_PLACED),
            (_full, WaitReason.NO_ROOM),
            (_leaving, WaitReason.OWNER_LEAVING),
        ],
    )
    def test_reason(self, cause, reason):
        """
        Guards against a task that waits without a reason in the log.
        """
        waits = _Waits()
        cause(waits)
        described = waits.describe_after(6_000)
        assert described['task'] == waits.task.key
        assert described['reason'] == reason

    def test_each_long_wait_beside_room_is_logged_once(self):
        """
        Guards against long waits that only show in samples.
        """
        waits = _Waits()
        _skipped(waits)
        described = waits.describe_after(6_000)
        lines = [
            fields
            for kind, fields in waits.shard.log.lines
            if kind == 'long_running_wait'
        ]
        assert len(lines) == 1
        assert lines[0]['room_ms'] == 3_500
        assert lines[0]['last_end'] == (1, 'w0', RunOutcome.LOST)
        assert described['room_ms'] == 6_000
        summary = waits.shard.log.lines[-1][1]
        assert summary['long_reasons'] == {WaitReason.NOT_PLACED: 1}

    def test_tasks_at_work_are_not_logged(self):
        """
        Guards against lines for tasks that wait for nothing.
        """
        waits = _Waits()
        waits.waits.run_pass()
        waits.fleet.clock.now_ms += 2_000
        waits.waits.run_pass()
        assert not waits.shard.log.lines


@virtual_tests(World)
class TestOwner:
    """
    An owner logs the waits of its tasks.
    """

    options = {'worker_count': 1}

    async def test_owner_names_the_longest_wait(self, world):
        """
        Guards against an owner that observes no waits.
        """
        await world.wait_first_owner()
        world.workers['w0'].fault = WorkerFault.REFUSE
        await world.any_node().entry.submit(world.plan(STEP))
        await world.run_for(6_000)
        kinds = {kind for _, kind, _ in world.log_lines}
        assert {'long_running_wait', 'long_running_waits'} <= kinds
