"""
Memory of the state that a process keeps per worker, task, peer and so on.
"""

from collections.abc import Callable, Iterator, Sequence

from capacity.measurement import Measurement, bytes_per_object
from capacity.shard import CAPACITY, DEMAND, make_worker, new_scheduler

from hawthornpier.messages import (
    ClockStamp,
    Event,
    EventKind,
    ForwardedRequest,
    Heartbeat,
    HostRecord,
    JobSpec,
    JobView,
    ShardLoad,
    TaskState,
    TaskView,
)
from hawthornpier.policy import RequestDemand, TaskDemand

_OBJECT_COUNT = 4_000
_LOADS_PER_PEER = 4


def _hosts() -> Sequence[object]:
    return [
        HostRecord(
            worker_id=f'worker-moose-jaw-{index:05d}',
            address=f'10.{index // 65_536}.{index // 256 % 256}.{index % 256}',
            region='south-saskatchewan',
            failure_domain='moose-jaw',
            rack=f'rack-{index // 8}',
            capacity=CAPACITY,
        )
        for index in range(_OBJECT_COUNT)
    ]


def _workers() -> Sequence[object]:
    scheduler = new_scheduler()
    for index in range(_OBJECT_COUNT):
        scheduler.add_worker(make_worker(index), now_ms=0)
    return _RetainedState(scheduler)


def _queued_tasks() -> Sequence[object]:
    scheduler = new_scheduler()
    for index in range(_OBJECT_COUNT):
        scheduler.add_task(_task(index), now_ms=0)
    return _RetainedState(scheduler)


def _running_tasks() -> Sequence[object]:
    scheduler = new_scheduler()
    for number in range(_OBJECT_COUNT // CAPACITY.slot_count):
        scheduler.add_worker(make_worker(number), now_ms=0)
    for index in range(_OBJECT_COUNT):
        worker_id = make_worker(index // CAPACITY.slot_count).worker_id
        scheduler.adopt_task(_task(index), worker_id, now_ms=0)
    return _RetainedState(scheduler)


def _queued_requests() -> Sequence[object]:
    scheduler = new_scheduler()
    forwarded = []
    for index in range(_OBJECT_COUNT):
        request = ForwardedRequest(
            request_id=f'entry-moose-jaw-1-{index:08d}',
            shard='moose-jaw/0',
            member='saskaton',
            service='pass-planner',
            body=f'{{"operation": "{index:08d}", "block": "north-4"}}',
            remaining_ms=2_000,
        )
        forwarded.append(request)
        demand = RequestDemand(
            request_id=request.request_id,
            member=request.member,
            service=request.service,
            demand=DEMAND,
            deadline_ms=index + 2_000,
        )
        scheduler.add_request(demand, now_ms=index)
    return _RetainedState(scheduler, forwarded)


def _jobs() -> Sequence[object]:
    return [
        JobView(
            job_id=f'moose-jaw/0-{index:012x}',
            spec=JobSpec(
                member='saskaton',
                workload='cold-room-watch',
                task_count=0,
                demand=DEMAND,
                declared_work_ms=60_000 + index,
            ),
            is_cancelled=False,
            tasks=(),
        )
        for index in range(_OBJECT_COUNT)
    ]


def _task_views() -> Sequence[object]:
    return [
        TaskView(
            task_id=f'moose-jaw/0-{index:012x}.17',
            state=TaskState.RUNNING,
            worker_id='worker-moose-jaw-00017',
            run_id=f'12.{index + 100_000}',
        )
        for index in range(_OBJECT_COUNT)
    ]


def _peers() -> Sequence[object]:
    return [
        Heartbeat(
            process_id=f'entry-moose-jaw-{index}',
            incarnation=f'{index:08x}',
            address=f'10.0.{index // 256}.{index % 256}:7400',
            region='south-saskatchewan',
            failure_domain='moose-jaw',
            table_version=45_000 + index,
            table_age_ms=700,
            is_store_out=False,
            is_leaving=False,
            stamp=ClockStamp(
                wall_ms=1_750_000_000_000 + index,
                counter=index,
                process_id=f'entry-moose-jaw-{index}',
            ),
            loads=tuple(
                ShardLoad(
                    shard=f'moose-jaw/{index * _LOADS_PER_PEER + load}',
                    epoch=1_000 + index,
                    free_slot_count=20,
                    slot_count=64,
                    queued_request_count=3,
                    queued_task_count=400 + index,
                    services=('pass-planner', 'bin-tally'),
                )
                for load in range(_LOADS_PER_PEER)
            ),
        )
        for index in range(_OBJECT_COUNT)
    ]


def _events() -> Sequence[object]:
    return [
        Event(
            stamp=ClockStamp(
                wall_ms=1_750_000_000_000 + index,
                counter=index,
                process_id='entry-moose-jaw-1',
            ),
            kind=EventKind.TASK_STARTED,
            shard='moose-jaw/0',
            worker_id='worker-moose-jaw-00017',
            task_id=f'moose-jaw/0-{index:012x}.17',
        )
        for index in range(_OBJECT_COUNT)
    ]


def _task(index: int) -> TaskDemand:
    return TaskDemand(
        task_id=f'moose-jaw/0-{index:012x}.17',
        member='saskaton',
        workload='cold-room-watch',
        demand=DEMAND,
        declared_work_ms=60_000,
    )


class _RetainedState(Sequence[object]):
    """
    Reference the objects that hold the measured state.

    The length is the number of measured entries, not of the references.
    """

    def __init__(self, *owners: object) -> None:
        self._owners = owners

    def __len__(self) -> int:
        return _OBJECT_COUNT

    def __getitem__(self, index: object) -> object:
        return self._owners


_BUILDERS: tuple[tuple[str, Callable[[], Sequence[object]]], ...] = (
    ('host record', _hosts),
    ('worker in the policy', _workers),
    ('queued task in the policy', _queued_tasks),
    ('running task in the policy', _running_tasks),
    ('task view', _task_views),
    ('queued request with its body', _queued_requests),
    ('job without tasks', _jobs),
    (f'peer with {_LOADS_PER_PEER} shards', _peers),
    ('event in the ring', _events),
)


def measure() -> Iterator[Measurement]:
    """
    Yield the memory per entry of each kind of state.
    """
    for name, build in _BUILDERS:
        yield Measurement(
            name=f'state.{name}',
            amount=bytes_per_object(build),
            unit='B',
        )
