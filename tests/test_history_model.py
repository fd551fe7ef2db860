"""
Tests of the checkers with histories of a reference model.

The checkers must accept each history and report each mutation of one.
"""

import dataclasses
import json
import random
from collections.abc import Callable, Sequence

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from hawthornpier.messages import Resources
from hawthornpier_standin.history import (
    Guarantee,
    Record,
    RecordKind,
    check_history,
)

_SLOT_COUNT = 3
_WORKERS = ('w0', 'w1', 'w2')
_PROCESSES = ('p0', 'p1')
_SLOT = Resources(slot_count=1)


class Model:
    """
    A model of a scheduler whose histories violate no guarantee.

    Each step takes effect at once.  *random_source* chooses among the allowed
    steps.
    """

    def __init__(self, random_source: random.Random) -> None:
        self.records: list[Record] = []
        self._random = random_source
        self._now_ms: float = 0
        self._is_ending = False
        self._count = 0
        self._version = 1
        self._running: list[Record] = []
        self._queue: list[tuple[str, str]] = []
        self._leaving: set[str] = set()
        for worker_id in _WORKERS:
            self._write(
                'capacity_declared',
                worker_id=worker_id,
                demand=Resources(slot_count=_SLOT_COUNT),
            )
        self._record_table_versions()

    def step(self) -> None:
        """
        Perform one random step.
        """
        action = self._random.choice(
            (
                self.request,
                self.request,
                self.order,
                self.job,
                self.place,
                self.place,
                self.evict,
                self.finish,
                self.expire_lease,
                self.edit,
                self.leave,
                self.restart_worker,
            )
        )
        action()

    def request(self, key: str = '') -> None:
        """
        Start a request, or refuse it if no slot is free.

        The caller of a started request rarely receives "unknown".
        """
        operation = self._new_id('o')
        sent_fields = {'operation': operation, 'content': f'ask {operation}'}
        key_fields = {'idempotency_key': key, 'is_idempotent': not key}
        self._write('request_invoked', **sent_fields, **key_fields)
        worker_id = self._free_worker()
        if not worker_id:
            self._write('request_not_run', operation=operation)
            return
        self._start_work(
            'execution_started',
            worker_id,
            operation=operation,
            run_id=self._new_id('q'),
            **key_fields,
        )
        if self._draw_rare_event():
            self._write('request_unknown', operation=operation)

    def order(self) -> None:
        """
        Send a request with an idempotency key.
        """
        self.request(key=self._new_id('k'))

    def job(self) -> None:
        """
        Accept a job of two tasks, and rarely cancel it at once.
        """
        task_ids = (self._new_id('t'), self._new_id('t'))
        operation = self._new_id('j')
        self._write('job_accepted', operation=operation, task_ids=task_ids)
        if self._draw_rare_event():
            self._write('job_cancelled', operation=operation)
        else:
            self._queue.extend((task_id, '') for task_id in task_ids)

    def place(self) -> None:
        """
        Start the first queued task on a worker with a free slot.
        """
        worker_id = self._free_worker()
        if worker_id and self._queue:
            task_id, checkpoint = self._queue.pop(0)
            self._start_work(
                'run_started',
                worker_id,
                task_id=task_id,
                run_id=self._new_id('r'),
                checkpoint=checkpoint,
            )

    def evict(self) -> None:
        """
        Evict a run with a new checkpoint and queue its task.
        """
        run = self._choose_running('run_started')
        if run:
            checkpoint = self._new_id('c')
            self._end_work(run, detail='evicted', checkpoint=checkpoint)
            self._queue.append((run.task_id, checkpoint))

    def expire_lease(self) -> None:
        """
        End a run whose lease expired and queue its task again.
        """
        run = self._choose_running('run_started')
        if run:
            self._end_work(
                run, detail='lease_lapsed', checkpoint=run.checkpoint
            )
            self._queue.append((run.task_id, run.checkpoint))

    def finish(self) -> None:
        """
        Complete a run, or a request if there is no run.
        """
        work = self._choose_running('run_started') or self._choose_running(
            'execution_started'
        )
        if work:
            self._complete(work)

    def edit(self) -> None:
        """
        Accept one of two concurrent edits, which all processes then see.
        """
        won, lost = self._new_id('e'), self._new_id('e')
        for operation in (won, lost):
            self._write(
                'table_edit_invoked',
                operation=operation,
                version=self._version,
            )
        self._version += 1
        self._write('table_edit_accepted', operation=won, version=self._version)
        self._write('table_edit_conflict', operation=lost)
        self._record_table_versions()

    def leave(self) -> None:
        """
        Let a worker begin to leave unless another one is leaving.
        """
        if not self._leaving:
            worker_id = self._random.choice(_WORKERS)
            self._leaving.add(worker_id)
            self._write('endpoint_leaving', worker_id=worker_id)

    def restart_worker(self) -> None:
        """
        Let a worker exit, which ends its work, and restart without work.
        """
        worker_id = self._random.choice(_WORKERS)
        self._write('process_exited', worker_id=worker_id)
        lost = [work for work in self._running if work.worker_id == worker_id]
        self._running = [work for work in self._running if work not in lost]
        for work in lost:
            if work.kind is RecordKind.RUN_STARTED:
                self._queue.append((work.task_id, work.checkpoint))
            elif not self._has_unknown_outcome(work.operation):
                self._write('request_unknown', operation=work.operation)
        self._leaving.discard(worker_id)
        capacity = Resources(slot_count=_SLOT_COUNT)
        self._write('capacity_declared', worker_id=worker_id, demand=capacity)

    def complete(self) -> list[Record]:
        """
        End all work and return the history.

        Before, perform each step that some mutation needs as a target.
        """
        self._finish_all()
        self._is_ending = True
        self.request()
        self.order()
        self.job()
        self.place()
        self.evict()
        self.edit()
        self.edit()
        self._finish_all()
        self.leave()
        self._now_ms += 5_000
        # All workers leave, so the next request is refused.
        self._leaving.update(_WORKERS)
        self.request()
        self._write('stop_requested', process_id='p0')
        self._write('process_exited', process_id='p0')
        return self.records

    def _draw_rare_event(self) -> bool:
        return not self._is_ending and self._random.randrange(5) == 0

    def _finish_all(self) -> None:
        while self._running or self._queue:
            for work in tuple(self._running):
                self._complete(work)
            self.place()

    def _complete(self, work: Record) -> None:
        self._end_work(work, detail='done')
        if work.operation and not self._has_unknown_outcome(work.operation):
            body = json.dumps({'echo': f'ask {work.operation}'})
            self._write(
                'request_answered',
                operation=work.operation,
                content=body,
            )

    def _has_unknown_outcome(self, operation: str) -> bool:
        return any(
            record.operation == operation
            and record.kind is RecordKind.REQUEST_UNKNOWN
            for record in self.records
        )

    def _start_work(self, kind: str, worker_id: str, **fields: object) -> None:
        work = self._write(kind, worker_id=worker_id, demand=_SLOT, **fields)
        self._running.append(work)

    def _end_work(self, work: Record, **fields: object) -> None:
        self._running.remove(work)
        self._write(
            work.kind.replace('started', 'ended'),
            worker_id=work.worker_id,
            task_id=work.task_id,
            run_id=work.run_id,
            operation=work.operation,
            **fields,
        )

    def _choose_running(self, kind: str) -> Record | None:
        work = [record for record in self._running if record.kind == kind]
        return self._random.choice(work) if work else None

    def _free_worker(self) -> str:
        free = [
            worker_id
            for worker_id in _WORKERS
            if worker_id not in self._leaving
            and sum(work.worker_id == worker_id for work in self._running)
            < _SLOT_COUNT
        ]
        return self._random.choice(free) if free else ''

    def _record_table_versions(self) -> None:
        for process_id in _PROCESSES:
            self._write(
                'table_version_seen',
                process_id=process_id,
                version=self._version,
            )

    def _new_id(self, prefix: str) -> str:
        self._count += 1
        return f'{prefix}{self._count}'

    def _write(self, kind: str, **fields: object) -> Record:
        self._now_ms += self._random.choice((0.5, 1, 20))
        record = Record(
            at_ms=self._now_ms,
            kind=RecordKind(kind),
            source='model',
            **fields,
        )
        self.records.append(record)
        return record


def _model_history(seed: int, step_count: int) -> list[Record]:
    model = Model(random.Random(seed))
    for _ in range(step_count):
        model.step()
    return model.complete()


def _records_of_kind(records: Sequence[Record], kind: str) -> list[Record]:
    return [record for record in records if record.kind == kind]


def _with_changes(
    records: Sequence[Record],
    record: Record,
    **fields: object,
) -> list[Record]:
    """
    Return *records* with changed fields of *record*.
    """
    changed = dataclasses.replace(record, **fields)
    return [changed if other is record else other for other in records]


def _without(records: Sequence[Record], record: Record) -> list[Record]:
    return [other for other in records if other is not record]


Mutation = Callable[[list[Record], random.Random], list[Record]]


def _shrink_capacity(records: list[Record], rng: random.Random) -> list[Record]:
    used = {work.worker_id for work in _records_of_kind(records, 'run_started')}
    worker_id = rng.choice(sorted(used))
    return [
        dataclasses.replace(record, demand=Resources())
        if record.kind is RecordKind.CAPACITY_DECLARED
        and record.worker_id == worker_id
        else record
        for record in records
    ]


def _run_twice(records: list[Record], rng: random.Random) -> list[Record]:
    run = rng.choice(_records_of_kind(records, 'run_started'))
    duplicate = dataclasses.replace(run, at_ms=run.at_ms + 0.1, run_id='twin')
    return [*records, duplicate]


def _resume_from_scratch(
    records: list[Record],
    rng: random.Random,
) -> list[Record]:
    # No worker exits between the last eviction and its resumption, so the
    # checkpoint cannot have been lost.
    resumed = [
        run
        for run in _records_of_kind(records, 'run_started')
        if run.checkpoint
    ]
    return _with_changes(records, resumed[-1], checkpoint='')


def _resume_again(records: list[Record], rng: random.Random) -> list[Record]:
    done = {
        record.run_id: record.at_ms
        for record in _records_of_kind(records, 'run_ended')
        if record.detail == 'done'
    }
    run = rng.choice(
        [
            run
            for run in _records_of_kind(records, 'run_started')
            if run.checkpoint and run.run_id in done
        ]
    )
    again = dataclasses.replace(run, run_id='twin', at_ms=done[run.run_id])
    return [*records, again]


def _truncate_answer(records: list[Record], rng: random.Random) -> list[Record]:
    answer = rng.choice(_records_of_kind(records, 'request_answered'))
    length = rng.randrange(len(answer.content))
    return _with_changes(records, answer, content=answer.content[:length])


def _swap_answers(records: list[Record], rng: random.Random) -> list[Record]:
    first, second = rng.sample(_records_of_kind(records, 'request_answered'), 2)
    swapped = _with_changes(records, first, content=second.content)
    return _with_changes(swapped, second, content=first.content)


def _answer_twice(records: list[Record], rng: random.Random) -> list[Record]:
    answer = rng.choice(_records_of_kind(records, 'request_answered'))
    return [*records, dataclasses.replace(answer, at_ms=answer.at_ms + 1)]


def _deny_execution(records: list[Record], rng: random.Random) -> list[Record]:
    answer = rng.choice(_records_of_kind(records, 'request_answered'))
    kind = RecordKind.REQUEST_NOT_RUN
    return _with_changes(records, answer, kind=kind, content='')


def _run_refused(records: list[Record], rng: random.Random) -> list[Record]:
    refused = rng.choice(_records_of_kind(records, 'request_not_run'))
    started = dataclasses.replace(
        refused,
        kind=RecordKind.EXECUTION_STARTED,
        at_ms=refused.at_ms + rng.choice((-0.1, 0, 7_000)),
        worker_id='w0',
    )
    return [*records, started]


def _repeat_order(records: list[Record], rng: random.Random) -> list[Record]:
    orders = [
        record
        for record in _records_of_kind(records, 'execution_started')
        if record.idempotency_key
    ]
    order = rng.choice(orders)
    return [*records, dataclasses.replace(order, run_id='twin')]


def _start_on_leaving(
    records: list[Record],
    rng: random.Random,
) -> list[Record]:
    leaving = _records_of_kind(records, 'endpoint_leaving')[-1]
    late = dataclasses.replace(
        leaving,
        kind=RecordKind.RUN_STARTED,
        at_ms=leaving.at_ms + 3_000 + rng.choice((0.1, 50)),
        run_id='late',
    )
    return [*records, late]


def _cut_on_stop(records: list[Record], rng: random.Random) -> list[Record]:
    stop = rng.choice(_records_of_kind(records, 'stop_requested'))
    cut = dataclasses.replace(stop, kind=RecordKind.CONNECTION_CUT)
    return [*records, cut]


def _revert_table(records: list[Record], rng: random.Random) -> list[Record]:
    seen = rng.choice(
        _records_of_kind(records, 'table_version_seen')[len(_PROCESSES) :]
    )
    return _with_changes(records, seen, version=0)


def _hide_last_version(
    records: list[Record],
    rng: random.Random,
) -> list[Record]:
    last = rng.choice(
        _records_of_kind(records, 'table_version_seen')[-len(_PROCESSES) :]
    )
    return _without(records, last)


def _swap_versions(records: list[Record], rng: random.Random) -> list[Record]:
    first, second = rng.sample(
        _records_of_kind(records, 'table_edit_accepted'), 2
    )
    swapped = _with_changes(records, first, version=second.version)
    return _with_changes(swapped, second, version=first.version)


def _lose_outcome(records: list[Record], rng: random.Random) -> list[Record]:
    return _without(
        records, rng.choice(_records_of_kind(records, 'request_answered'))
    )


def _lose_task(records: list[Record], rng: random.Random) -> list[Record]:
    cancelled = {
        record.operation
        for record in _records_of_kind(records, 'job_cancelled')
    }
    tasks = [
        task_id
        for job in _records_of_kind(records, 'job_accepted')
        if job.operation not in cancelled
        for task_id in job.task_ids
    ]
    lost = rng.choice(tasks)
    return [
        record
        for record in records
        if record.kind is not RecordKind.RUN_ENDED or record.task_id != lost
    ]


_MUTATIONS: tuple[tuple[Mutation, Guarantee], ...] = (
    (_shrink_capacity, Guarantee.CAPACITY),
    (_run_twice, Guarantee.SINGLE_PLACEMENT),
    (_resume_from_scratch, Guarantee.RESUME_ONCE),
    (_resume_again, Guarantee.RESUME_ONCE),
    (_truncate_answer, Guarantee.OWN_ANSWER),
    (_swap_answers, Guarantee.OWN_ANSWER),
    (_answer_twice, Guarantee.OWN_ANSWER),
    (_deny_execution, Guarantee.NOT_RUN),
    (_run_refused, Guarantee.NOT_RUN),
    (_repeat_order, Guarantee.AT_MOST_ONCE),
    (_start_on_leaving, Guarantee.LEAVING_ENDPOINT),
    (_cut_on_stop, Guarantee.PLANNED_STOP),
    (_revert_table, Guarantee.TABLE),
    (_hide_last_version, Guarantee.TABLE),
    (_swap_versions, Guarantee.TABLE),
    (_lose_outcome, Guarantee.NOTHING_LOST),
    (_lose_task, Guarantee.NOTHING_LOST),
)

_SEEDS = st.integers(0, 2**32 - 1)
_STEP_COUNTS = st.integers(0, 60)


class TestModel:
    """
    The checkers accept every correct history and reject every mutation.
    """

    @settings(derandomize=True, deadline=None, max_examples=150)
    @given(_SEEDS, _STEP_COUNTS)
    def test_correct_history_passes(self, seed: int, step_count: int) -> None:
        """
        Guards against checkers that reject correct behaviour.
        """
        report = check_history(_model_history(seed, step_count))
        assert not report.violations
        assert all(finding.checked_count for finding in report.findings)

    @pytest.mark.parametrize(('mutation', 'guarantee'), _MUTATIONS)
    @settings(derandomize=True, deadline=None, max_examples=40)
    @given(_SEEDS, _STEP_COUNTS)
    def test_mutation_is_found(
        self,
        mutation: Mutation,
        guarantee: Guarantee,
        seed: int,
        step_count: int,
    ) -> None:
        """
        Guards against checkers that overlook a breach of their guarantee.
        """
        rng = random.Random(seed)
        mutated = mutation(_model_history(seed, step_count), rng)
        found = {
            violation.guarantee
            for violation in check_history(mutated).violations
        }
        assert guarantee in found
