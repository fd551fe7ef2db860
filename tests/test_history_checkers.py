"""
Tests of the checkers with correct histories and histories with a fault.

G1 to G9 are the guarantees listed in README.md.
"""

import dataclasses
import json
import pathlib
from collections.abc import Sequence

import pytest

from hawthornpier.messages import Resources
from hawthornpier_standin.history import (
    EXIT_KILLED,
    TABLE_UNCONFIRMED,
    WORKER_DEAD,
    Guarantee,
    HistoryError,
    HistoryWriter,
    Record,
    RecordKind,
    check_history,
    load_history,
)

_SLOT = Resources(slot_count=1, memory_bytes=4)
_CAPACITY = Resources(slot_count=2, memory_bytes=8)


def make_record(at_ms: float, kind: str, **fields: object) -> Record:
    """
    Make a record; by default, work uses one of the two slots of ``w1``.
    """
    named = RecordKind(kind)
    is_work = kind in {'run_started', 'execution_started'}
    defaults: dict[str, object] = {'source': 'caller'}
    if is_work or kind in {'run_ended', 'execution_ended'}:
        defaults['worker_id'] = 'w1'
        defaults['demand'] = _SLOT if is_work else Resources()
    return Record(at_ms=at_ms, kind=named, **(defaults | fields))


def _worker_records(*worker_ids: str) -> list[Record]:
    return [
        make_record(
            0, 'capacity_declared', worker_id=worker_id, demand=_CAPACITY
        )
        for worker_id in worker_ids
    ]


def _run_records(
    start_ms: float,
    end_ms: float,
    run_id: str,
    result: str,
    *,
    worker_id: str = 'w1',
    origin: str = '',
    taken: str = '',
) -> list[Record]:
    ids = {'worker_id': worker_id, 'task_id': 't', 'run_id': run_id}
    return [
        make_record(start_ms, 'run_started', checkpoint=origin, **ids),
        make_record(
            end_ms, 'run_ended', checkpoint=taken, detail=result, **ids
        ),
    ]


def _request_records(
    operation: str,
    at_ms: float,
    outcome: str = 'request_answered',
    key: str = '',
) -> list[Record]:
    ids = {'operation': operation, 'idempotency_key': key}
    body = _echo_body(operation) if outcome == 'request_answered' else ''
    return [
        make_record(
            at_ms, 'request_invoked', content=f'ask {operation} "all"', **ids
        ),
        make_record(at_ms + 1, 'execution_started', **ids),
        make_record(at_ms + 2, 'execution_ended', **ids),
        make_record(at_ms + 3, outcome, operation=operation, content=body),
    ]


def _echo_body(operation: str) -> str:
    return json.dumps({'echo': f'ask {operation} "all"'})


def _violated(records: Sequence[Record]) -> set[Guarantee]:
    violations = check_history(
        [*_worker_records('w1', 'w2'), *records]
    ).violations
    return {violation.guarantee for violation in violations}


_EVICTED_AND_RESUMED = (
    *_run_records(1, 5, 'r1', 'evicted', taken='c1'),
    *_run_records(6, 9, 'r2', 'done', origin='c1', worker_id='w2'),
)


class TestCapacity:
    """
    G1: the work on a worker stays within its capacity.
    """

    def test_overlapping_work_is_summed(self) -> None:
        """
        G1: a third piece of work on two slots is reported, two are accepted.
        """
        first, second, third = (
            _run_records(start_ms, start_ms + 10, f'r{start_ms}', 'done')
            for start_ms in (1, 5, 11)
        )
        renamed = [
            dataclasses.replace(record, task_id='u') for record in second
        ]
        assert not _violated([*first, *renamed, *third])
        extra = make_record(6, 'execution_started', operation='o')
        invoked = make_record(1, 'request_invoked', operation='o')
        unknown = make_record(20, 'request_unknown', operation='o')
        assert _violated([*first, *renamed, invoked, extra, unknown]) == {
            Guarantee.CAPACITY,
        }

    def test_every_dimension_counts(self) -> None:
        """
        G1: memory above the capacity is reported even if slots are free.
        """
        start, end = _run_records(1, 5, 'r1', 'done')
        large = Resources(slot_count=1, memory_bytes=9)
        heavy = dataclasses.replace(start, demand=large)
        assert _violated([heavy, end]) == {Guarantee.CAPACITY}

    def test_lost_work_is_released_with_its_worker(self) -> None:
        """
        G1: work is released when its worker exits or restarts.
        """
        starts = [
            make_record(
                at_ms, 'run_started', task_id=f't{at_ms}', run_id=f'r{at_ms}'
            )
            for at_ms in (1, 2, 11, 12)
        ]
        for exited in (
            make_record(10, 'process_exited', worker_id='w1'),
            make_record(
                10, 'capacity_declared', worker_id='w1', demand=_CAPACITY
            ),
        ):
            assert not _violated([*starts, exited])
        assert _violated(starts) == {Guarantee.CAPACITY}


class TestSinglePlacement:
    """
    G2: a task runs in one place at a time.
    """

    def test_overlap_is_found(self) -> None:
        """
        G2: a run that overlaps another run of its task is reported, on the
        same worker and on another one.
        """
        first = _run_records(1, 5, 'r1', 'lease_lapsed')
        assert not _violated(
            [*first, *_run_records(5, 9, 'r2', 'done', worker_id='w2')]
        )
        for worker_id in ('w1', 'w2'):
            second = _run_records(4, 9, 'r2', 'done', worker_id=worker_id)
            assert _violated([*first, *second]) == {Guarantee.SINGLE_PLACEMENT}

    def test_reused_run_id_is_found(self) -> None:
        """
        G2: a duplicate start message that runs the task again is reported.
        """
        first = _run_records(1, 5, 'r1', 'failed')
        assert _violated([*first, *_run_records(6, 9, 'r1', 'done')]) == {
            Guarantee.SINGLE_PLACEMENT,
        }


class TestResumeOnce:
    """
    G3: an evicted task resumes exactly once, from its latest checkpoint.
    """

    def test_eviction_resumes_from_its_checkpoint(self) -> None:
        """
        G3: a run from no checkpoint or from an unknown one is reported.
        """
        assert not _violated(_EVICTED_AND_RESUMED)
        for origin in ('', 'c0'):
            wrong = _run_records(6, 9, 'r2', 'done', origin=origin)
            assert _violated([*_EVICTED_AND_RESUMED[:2], *wrong]) == {
                Guarantee.RESUME_ONCE
            }

    def test_latest_checkpoint_is_used(self) -> None:
        """
        G3: a resumption from an older checkpoint is reported unless the newer
        one was lost with its worker.
        """
        second = _run_records(6, 9, 'r2', 'evicted', origin='c1', taken='c2')
        stale = _run_records(12, 19, 'r3', 'done', origin='c1', worker_id='w2')
        records = [*_EVICTED_AND_RESUMED[:2], *second, *stale]
        assert _violated(records) == {Guarantee.RESUME_ONCE}
        exited = make_record(10, 'process_exited', worker_id='w1')
        assert not _violated([*records, exited])

    def test_used_checkpoint_is_not_forgotten(self) -> None:
        """
        G3: a checkpoint that a run resumed from was not lost with its worker,
        so a later run from scratch is reported.
        """
        exited = make_record(5.5, 'process_exited', worker_id='w1')
        scratch = _run_records(12, 19, 'r3', 'done')
        assert not _violated([*_EVICTED_AND_RESUMED[:2], exited, *scratch])
        failed = dataclasses.replace(_EVICTED_AND_RESUMED[3], detail='failed')
        records = [*_EVICTED_AND_RESUMED[:3], failed, exited, *scratch]
        assert _violated(records) == {Guarantee.RESUME_ONCE}

    def test_second_resumption_is_found(self) -> None:
        """
        G3: a second run from a checkpoint is reported unless the first one was
        lost.
        """
        again = _run_records(12, 19, 'r3', 'done', origin='c1')
        assert _violated([*_EVICTED_AND_RESUMED, *again]) == {
            Guarantee.RESUME_ONCE
        }
        for detail in ('lease_lapsed', WORKER_DEAD):
            lost = dataclasses.replace(_EVICTED_AND_RESUMED[3], detail=detail)
            assert not _violated([*_EVICTED_AND_RESUMED[:3], lost, *again])


class TestOwnAnswer:
    """
    G4: a caller receives the whole answer to its own request, once.
    """

    @pytest.mark.parametrize(
        'content',
        [
            '',
            _echo_body('o1')[:-1],
            _echo_body('o2'),
            _echo_body('o11'),
            '{"echo": "o1"}',
        ],
    )
    def test_wrong_body_is_found(self, content: str) -> None:
        """
        G4: empty, truncated and foreign bodies are reported.
        """
        *before, answer = _request_records('o1', 1)
        others = [*_request_records('o2', 10), *_request_records('o11', 20)]
        assert not _violated([*before, answer, *others])
        wrong = dataclasses.replace(answer, content=content)
        assert _violated([*before, wrong, *others]) == {Guarantee.OWN_ANSWER}

    def test_body_without_execution_is_found(self) -> None:
        """
        G4: an answer to a request that was not executed is reported.
        """
        invoked, *_executed, answer = _request_records('o1', 1)
        assert _violated([invoked, answer]) == {Guarantee.OWN_ANSWER}

    def test_second_answer_is_found(self) -> None:
        """
        G4: a second answer to the same attempt is reported.
        """
        records = _request_records('o1', 1)
        late = dataclasses.replace(records[-1], at_ms=50)
        assert Guarantee.OWN_ANSWER in _violated([*records, late])

    def test_duplicate_order_receives_first_answer(self) -> None:
        """
        G4: the first answer is accepted for a second order with the same key.
        """
        records = _request_records('o1', 1, key='k')
        again = make_record(
            10, 'request_invoked', operation='o2', idempotency_key='k'
        )
        answer = dataclasses.replace(records[-1], at_ms=11, operation='o2')
        assert not _violated([*records, again, answer])


class TestNotRun:
    """
    G5: a request with the outcome "not run" is not executed.
    """

    @pytest.mark.parametrize('outcome_ms', [0.5, 50])
    def test_execution_before_or_after_is_found(
        self, outcome_ms: float
    ) -> None:
        """
        G5: an execution is reported, whether "not run" comes before or after.
        """
        *before, not_run = _request_records('o1', 0, 'request_not_run')
        moved = dataclasses.replace(not_run, at_ms=outcome_ms)
        assert _violated([*before, moved]) == {Guarantee.NOT_RUN}

    def test_not_run_applies_to_one_attempt(self) -> None:
        """
        G5: after "not run", an execution is accepted in a later attempt and
        reported if it starts before that attempt.
        """
        invoked = make_record(
            1, 'request_invoked', operation='o', idempotency_key='k'
        )
        not_run = make_record(2, 'request_not_run', operation='o')
        assert not _violated(
            [invoked, not_run, *_request_records('o', 10, key='k')]
        )
        early = _request_records('o', 10, key='k')
        early[1] = dataclasses.replace(early[1], at_ms=9)
        assert _violated([invoked, not_run, *early]) == {Guarantee.NOT_RUN}


class TestAtMostOnce:
    """
    G6: keyed requests and non-idempotent tasks run at most once.
    """

    def test_second_execution_of_a_key_is_found(self) -> None:
        """
        G6: a second execution with the same key is reported.
        """
        records = _request_records('o1', 1, key='k')
        assert not _violated(records)
        again = _request_records('o2', 10, key='k')
        assert _violated([*records, *again]) == {Guarantee.AT_MOST_ONCE}

    def test_second_run_of_a_non_idempotent_task_is_found(self) -> None:
        """
        G6: a second run of a non-idempotent task is accepted only if it resumes
        from a checkpoint.
        """
        job = make_record(
            0,
            'job_accepted',
            operation='j',
            task_ids=('t',),
            is_idempotent=False,
        )
        assert not _violated([job, *_EVICTED_AND_RESUMED])
        again = [
            *_run_records(1, 5, 'r1', 'failed'),
            *_run_records(6, 9, 'r2', 'done'),
        ]
        assert _violated([job, *again]) == {Guarantee.AT_MOST_ONCE}


class TestLeavingEndpoint:
    """
    G7: a leaving endpoint receives no new work.
    """

    @pytest.mark.parametrize('kind', ['run_started', 'execution_started'])
    def test_late_start_is_found(self, kind: str) -> None:
        """
        G7: work that starts over 3 s after the endpoint began to leave is
        reported.
        """
        leaving = make_record(10, 'endpoint_leaving', worker_id='w1')
        invoked = make_record(1, 'request_invoked', operation='o')
        cut = make_record(9_000, 'request_unknown', operation='o')
        for at_ms, violated in ((3_010, set()), (3_011, {kind})):
            start = make_record(
                at_ms, kind, operation='o', task_id='t', run_id='r'
            )
            expected = {Guarantee.LEAVING_ENDPOINT} if violated else set()
            assert _violated([leaving, invoked, start, cut]) == expected


class TestPlannedStop:
    """
    G8: a planned stop cuts no connection.
    """

    @pytest.mark.parametrize('cut_ms', [10, 15, 21])
    def test_cut_connection_is_found(self, cut_ms: float) -> None:
        """
        G8: a connection that a stopping process cuts is reported, even if the
        caller detects the cut after the exit.
        """
        records = [
            make_record(5, 'request_invoked', operation='o'),
            make_record(10, 'stop_requested', process_id='p1'),
            make_record(20, 'process_exited', process_id='p1'),
            make_record(
                cut_ms, 'connection_cut', operation='o', process_id='p1'
            ),
        ]
        assert _violated(records) == {Guarantee.PLANNED_STOP}
        elsewhere = dataclasses.replace(records[-1], process_id='p2')
        assert not _violated([*records[:-1], elsewhere])
        killed = dataclasses.replace(records[2], detail=EXIT_KILLED)
        assert not _violated([*records[:2], killed, records[-1]])


class TestTable:
    """
    G9: accepted table edits are ordered and soon in force.
    """

    @staticmethod
    def _edit(at_ms: float, seen: int, made: int) -> list[Record]:
        name = f'e{at_ms}'
        return [
            make_record(
                at_ms, 'table_edit_invoked', operation=name, version=seen
            ),
            make_record(
                at_ms + 5, 'table_edit_accepted', operation=name, version=made
            ),
        ]

    @staticmethod
    def _seen(at_ms: float, version: int, detail: str = '') -> Record:
        return make_record(
            at_ms,
            'table_version_seen',
            process_id='p1',
            version=version,
            detail=detail,
        )

    @pytest.mark.parametrize(
        ('seen_ms', 'is_late'),
        [(5_015, False), (5_016, True), (5_500, True)],
    )
    def test_late_version_is_found(self, seen_ms: float, is_late: bool) -> None:
        """
        G9: an accepted edit that is not in force after 5 s is reported.
        """
        records = [
            self._seen(1, 1),
            *self._edit(10, 1, 2),
            self._seen(seen_ms, 2),
            self._seen(6_000, 2),
        ]
        expected = {Guarantee.TABLE} if is_late else set()
        assert _violated(records) == expected

    def test_unconfirmed_process_must_catch_up(self) -> None:
        """
        G9: an outdated version is a violation unless the process reports it as
        unconfirmed.
        """
        records = [
            *self._edit(10, 1, 2),
            self._seen(20, 1, TABLE_UNCONFIRMED),
            self._seen(6_000, 1, TABLE_UNCONFIRMED),
        ]
        assert not _violated(records)
        stale = self._seen(7_000, 1)
        assert _violated([*records, stale]) == {Guarantee.TABLE}

    @pytest.mark.parametrize(
        ('invoked_ms', 'is_broken'),
        [(5_990, False), (6_001, True), (6_098, False)],
    )
    def test_unconfirmed_process_admits_nothing(
        self,
        invoked_ms: float,
        is_broken: bool,
    ) -> None:
        """
        G9: a request that is served under an unconfirmed version is reported if
        it was invoked and answered between two reports of that version.
        """
        *request, answer = _request_records('o', invoked_ms)
        records = [
            *self._edit(10, 1, 2),
            self._seen(20, 1, TABLE_UNCONFIRMED),
            self._seen(6_000, 1, TABLE_UNCONFIRMED),
            self._seen(6_100, 1, TABLE_UNCONFIRMED),
            *request,
            dataclasses.replace(answer, process_id='p1'),
        ]
        expected = {Guarantee.TABLE} if is_broken else set()
        assert _violated(records) == expected

    def test_version_that_decreases_is_found(self) -> None:
        """
        G9: a version that decreases is reported unless the process restarted.
        """
        records = [self._seen(1, 2), self._seen(9, 1)]
        assert _violated(records) == {Guarantee.TABLE}
        assert not _violated(
            [*records, make_record(5, 'process_exited', process_id='p1')]
        )

    @pytest.mark.parametrize(
        'second',
        [(10, 1, 2), (50, 0, 1), (10, 1, 3), (50, 3, 3)],
    )
    def test_disordered_edits_are_found(
        self,
        second: tuple[float, int, int],
    ) -> None:
        """
        G9: equal versions, wrong order and lost updates are reported.
        """
        first = self._edit(10, 1, 2)
        assert not _violated([*first, *self._edit(20, 2, 3)])
        edit = [
            dataclasses.replace(record, operation='second')
            for record in self._edit(*second)
        ]
        assert _violated([*first, *edit]) == {Guarantee.TABLE}

    def test_unfounded_conflict_is_found(self) -> None:
        """
        G9: a conflict without a competing edit is reported.
        """
        records = [
            make_record(20, 'table_edit_invoked', operation='e', version=1),
            make_record(25, 'table_edit_conflict', operation='e'),
        ]
        assert not _violated([*self._edit(10, 1, 2), *records])
        assert _violated(records) == {Guarantee.TABLE}


class TestNothingLost:
    """
    Every attempt has an outcome and every accepted task ends.
    """

    def test_missing_and_surplus_outcomes_are_found(self) -> None:
        """
        An attempt with no outcome or two is reported; a cut connection counts
        as an outcome.
        """
        *records, answer = _request_records('o', 1)
        assert _violated(records) == {Guarantee.NOTHING_LOST}
        surplus = make_record(9, 'request_unknown', operation='o')
        violated = _violated([*records, answer, surplus])
        assert violated == {Guarantee.NOTHING_LOST}
        cut = make_record(9, 'connection_cut', operation='o', process_id='p1')
        assert not _violated([*records, cut])

    def test_task_without_end_is_found(self) -> None:
        """
        An accepted task that is neither done, settled nor cancelled is
        reported, and so is one settled as done without a completed run.
        """
        job = make_record(0, 'job_accepted', operation='j', task_ids=('t', 'u'))
        for end in (
            make_record(9, 'task_settled', task_id='u', detail='failed'),
            make_record(9, 'job_cancelled', operation='j'),
        ):
            assert not _violated([job, *_EVICTED_AND_RESUMED, end])
        assert _violated([job, *_EVICTED_AND_RESUMED]) == {
            Guarantee.NOTHING_LOST
        }
        false_end = make_record(9, 'task_settled', task_id='u', detail='done')
        assert _violated([job, *_EVICTED_AND_RESUMED, false_end]) == {
            Guarantee.NOTHING_LOST
        }


class TestFiles:
    """
    History files remain readable after their recorder was killed.
    """

    def test_load_merges_and_skips_an_incomplete_line(
        self,
        tmp_path: pathlib.Path,
    ) -> None:
        """
        An incomplete last line, as a killed recorder leaves it, is skipped; a
        complete invalid line is an error.
        """
        paths = [tmp_path / 'a.jsonl', tmp_path / 'b.jsonl']
        records = _request_records('o', 1)
        for index, path in enumerate(paths):
            with HistoryWriter(path) as writer:
                for record in records[index::2]:
                    writer.write(record)
        with paths[1].open('ab') as torn:
            torn.write(b'{"at_ms": 1')
        assert load_history(paths) == records
        with paths[1].open('ab') as torn:
            torn.write(b'\n')
        with pytest.raises(HistoryError, match='line 3'):
            load_history(paths)

    def test_summary_names_what_was_not_exercised(self) -> None:
        """
        Guards against a run that exercises no guarantee but looks successful.
        """
        summary = check_history(_worker_records('w1')).summary()
        assert summary.startswith('1 records; no violations; not exercised')
        assert all(guarantee in summary for guarantee in Guarantee)
