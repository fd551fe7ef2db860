"""
Tests of the regular comparison that the owner logs.
"""

import dataclasses

import msgspec
import pytest
from fake_store import virtual_tests
from fleet_world import REGISTRY, World
from registry_rows import encode_entry
from test_fleet_evacuation import _Fleet
from test_fleet_long_running_waits import _full, _Waits

from hawthornpier.events import collect_subject_log
from hawthornpier.fleet import RunningRun, WorkerListing
from hawthornpier.fleet._difference import DifferenceKind
from hawthornpier.fleet._entry_age import IgnoredEntry
from hawthornpier.fleet._ledger_audit import LedgerAudit
from hawthornpier.fleet._ledger_differences import find_differences
from hawthornpier.fleet._listed_room import has_listed_room
from hawthornpier.fleet._listings import ListingReconciler
from hawthornpier.fleet._usability import UnusableReason, unusable_reason
from hawthornpier.steps import RunOutcome, StepPlan
from hawthornpier_standin.fleet import WorkerFault

UNKNOWN = RunningRun(
    task_key='ffffffffffffffff.0.0.0', attempt=1, checkpoint='', percent=0
)


class _Listed(_Waits):
    """
    Workers that list what the owner holds, unless a test takes a run out.
    """

    def __init__(self):
        super().__init__()
        self.listings = ListingReconciler(self.shard)

    def list_runs(self, omitted=(), added=()):
        now_ms = self.shard.now_ms
        for worker in self.shard.workers.values():
            rows = tuple(
                RunningRun(
                    task_key=run.task.key,
                    attempt=run.attempt,
                    checkpoint='',
                    percent=100,
                )
                for run in worker.runs.values()
                if run not in omitted
            )
            extra = tuple(added) if worker.worker_id == 'w0' else ()
            listing = WorkerListing(
                incarnation_ms=1,
                clock_ms=int(now_ms),
                running=rows + extra,
                ended=(),
            )
            self.listings.apply(worker, listing, now_ms)

    def run_for(self, duration_ms, **listed):
        for _ in range(duration_ms // 500):
            self.list_runs(**listed)
            self.wait()


def _lines(log, kind):
    return [fields for logged, fields in log.lines if logged == kind]


def _occupy_by_counter(waits):
    for worker in waits.shard.workers.values():
        worker.reserved_millis += worker.entry.processor_millis


class TestHiddenRoom:
    """
    The log shows a wait beside room that only the worker knows of.
    """

    def test_wait_beside_room_by_listing_is_logged(self):
        """
        Guards against a wait for want of room that nothing occupies.
        """
        waits = _Listed()
        waits.shard.end_run(waits.run, RunOutcome.LOST)
        _occupy_by_counter(waits)
        waits.run_for(5_000)
        summary = _lines(waits.shard.log, 'long_running_waits')[-1]
        described = summary['longest'][0]
        assert described['room_ms'] == 0
        assert described['listed_room_ms'] > 3_000
        lines = _lines(waits.shard.log, 'long_running_wait_hidden_room')
        assert len(lines) == 1
        worker = waits.shard.workers[lines[0]['worker']]
        assert lines[0]['task'] == waits.task.key
        assert lines[0]['uncounted_millis'] == worker.entry.processor_millis

    def test_room_that_runs_occupy_is_not_hidden(self):
        """
        Guards against reports about waits for want of room.
        """
        waits = _Listed()
        _full(waits)
        waits.run_for(5_000)
        summary = _lines(waits.shard.log, 'long_running_waits')[-1]
        assert summary['waiting'] == 1
        assert summary['with_listed_room'] == 0
        assert not _lines(waits.shard.log, 'long_running_wait_hidden_room')

    def test_unknown_listed_run_makes_room_uncertain(self):
        """
        Guards against reports about room that unknown runs may occupy.
        """
        waits = _Listed()
        waits.list_runs(added=[UNKNOWN])
        step = waits.task.step
        workers = waits.shard.workers
        assert not has_listed_room(workers['w0'], step)
        assert has_listed_room(workers['w1'], step)


class TestStaleState:
    """
    What the owner holds for too long is found.
    """

    def test_run_that_its_worker_does_not_list_is_found(self):
        """
        Guards against a task that is believed to be at work.
        """
        waits = _Listed()
        waits.shard.stop_run(waits.run, 'test')
        waits.run_for(5_000, omitted=[waits.run])
        found = find_differences(waits.shard)
        assert [each.kind for each in found] == [DifferenceKind.RUN_NOT_LISTED]
        assert found[0].kept == 'stopping, stop not acknowledged'
        assert found[0].age_ms > 3_000

    def test_listing_from_before_an_acknowledged_stop_tells_nothing(self):
        """
        Guards against a report about a run that the next listing ends.
        """
        waits = _Listed()
        waits.shard.stop_run(waits.run, 'test')
        waits.run_for(5_000, omitted=[waits.run])
        waits.run.order_acknowledged_ms = waits.shard.now_ms
        assert not find_differences(waits.shard)

    def test_listed_run_without_record_is_found(self):
        """
        Guards against room that runs occupy of which the owner knows nothing.
        """
        waits = _Listed()
        waits.run_for(5_000, added=[UNKNOWN])
        found = find_differences(waits.shard)
        assert [(each.kind, each.task) for each in found] == [
            (DifferenceKind.LISTED_WITHOUT_RECORD, UNKNOWN.task_key)
        ]

    def test_step_that_no_pass_considers_is_found(self):
        """
        Guards against a waiting task in no set.
        """
        waits = _Listed()
        waits.shard.end_run(waits.run, RunOutcome.LOST)
        waits.fleet.clock.now_ms += 10_000
        waits.fleet.best_effort_step.considered_ms = waits.shard.now_ms
        waits.shard.considered_ms = waits.shard.now_ms
        found = find_differences(waits.shard)
        assert [(each.kind, each.task) for each in found] == [
            (DifferenceKind.STEP_NOT_CONSIDERED, waits.task.step.key)
        ]


class TestUsability:
    """
    Each reason why a worker is out of use has a name.
    """

    @pytest.mark.parametrize(
        ('state', 'reason'),
        [
            ({}, None),
            ({'is_listed': False}, UnusableReason.NOT_LISTED),
            ({'is_recorded': False}, UnusableReason.NOT_RECORDED),
            ({'missed_reply_count': 1}, UnusableReason.UNRESPONSIVE),
            (
                {'missed_reply_count': 1, 'is_superseded': True},
                UnusableReason.OTHER_INCARNATION,
            ),
            ({'is_deregistered': True}, UnusableReason.NOT_REGISTERED),
            ({'has_entry': False}, UnusableReason.NOT_REGISTERED),
        ],
    )
    def test_reason(self, state, reason):
        """
        Guards against workers out of use without a reason in the log.
        """
        worker = _Fleet().shard.workers['w0']
        for name, told in state.items():
            setattr(worker, name, told)
        assert unusable_reason(worker) == reason
        assert worker.is_usable == (reason is None)


class TestAudit:
    """
    The audit logs differences, and each of them by itself only once.
    """

    def test_difference_has_one_line_and_is_counted_in_each_audit(self):
        """
        Guards against logs that a lasting difference fills.
        """
        waits = _Waits()
        audit = LedgerAudit(waits.shard)
        waits.shard.workers['w0'].memory_mb += 1
        for _ in range(25):
            waits.fleet.clock.now_ms += 1_000
            audit.run_pass()
        log = waits.shard.log
        counts = [line['differences'] for line in _lines(log, 'ledger_audit')]
        counted = {DifferenceKind.WORKER_COUNTER: 1}
        assert counts == [counted, counted]
        assert [
            (line['worker'], line['field'], line['kept'])
            for line in _lines(log, 'ledger_difference')
        ] == [('w0', 'memory_mb', waits.shard.workers['w0'].memory_mb)]

    def test_one_pass_compares_a_bounded_number(self):
        """
        Guards against a pass that an audit delays.
        """
        waits = _Waits()
        for _ in range(3):
            step = StepPlan(task_count=900, processor_millis=100)
            waits.fleet._job(step, 900)
        audit = LedgerAudit(waits.shard)
        waits.fleet.clock.now_ms += 11_000
        audit.run_pass()
        assert not _lines(waits.shard.log, 'ledger_audit')
        for _ in range(3):
            audit.run_pass()
        assert _lines(waits.shard.log, 'ledger_audit')[0]['passes'] == 4

    def test_denied_starts_are_logged_once(self):
        """
        Guards against an owner that may not start runs without a line.
        """
        waits = _Waits()
        audit = LedgerAudit(waits.shard)
        for _ in range(10):
            waits.fleet.clock.now_ms += 1_000
            audit.run_pass()
        lines = _lines(waits.shard.log, 'starts_denied')
        assert [line['service'] for line in lines] == ['desk']
        assert lines[0]['why'] == 'no write confirmed since a pause'


@virtual_tests(World)
class TestOwner:
    """
    An owner audits its state while it works.
    """

    options = {'worker_count': 3}

    async def test_calm_owner_agrees_with_its_workers(self, world):
        """
        Guards against reports about orders that are on their way.
        """
        lasting = StepPlan(
            task_count=4, processor_millis=2_000, is_lasting=True
        )
        await world.submit(world.plan(lasting))
        for _ in range(10):
            await world.any_node().entry.submit(world.plan(work_ms=900))
            await world.run_for(2_000)
        audits = [
            fields
            for _, kind, fields in world.log_lines
            if kind == 'ledger_audit'
        ]
        assert audits
        assert not any(fields['differences'] for fields in audits)
        room = audits[-1]['room']['desk']
        assert room['workers'] == 3
        assert room['free_millis'] == room['listed_free_millis']

    async def test_silent_worker_is_named(self, world):
        """
        Guards against a worker that is out of use without a line about it.
        """
        await world.wait_first_owner()
        world.workers['w0'].fault = WorkerFault.PARTITIONED
        await world.run_for(20_000)
        named = [
            (fields['worker'], fields['field'])
            for _, kind, fields in world.log_lines
            if kind == 'ledger_difference'
        ]
        assert named == [('w0', UnusableReason.UNRESPONSIVE)]

    async def test_capacity_that_is_not_renewed_is_named(self, world):
        """
        Guards against a wait beside capacity that the owner has not read.
        """
        await world.wait_first_owner()
        worker = world.workers['w1']
        world.silent_workers.add(worker)
        stale = dataclasses.replace(worker.entry, incarnation_ms=0)
        world.store.put(REGISTRY, 'w1', encode_entry(stale))
        await world.run_for(20_000)
        named = [
            (fields['difference'], fields['worker'], fields['field'])
            for _, kind, fields in world.log_lines
            if kind == 'ledger_difference'
        ]
        assert named == [
            (
                DifferenceKind.OLD_ENTRY,
                'w1',
                f'{IgnoredEntry.OTHER_INCARNATION} row',
            )
        ]


class TestExplain:
    """
    `hawthornpier explain` finds the lines about a worker and a task.
    """

    def test_difference_is_part_of_the_log_of_its_task(self):
        """
        Guards against differences that no search by task finds.
        """
        line = msgspec.json.encode(
            {
                'message_type': 'ledger_difference',
                'worker': 'w0',
                'task': 'a.0.0.1',
                'field': 'attempt 1',
            }
        ).decode()
        for subject in ('a', 'a.0.0.1', 'w0'):
            assert len(collect_subject_log(subject, [line]).lines) == 1
