"""
CPU time and size of encoding and decoding frequent messages as JSON.
"""

from collections.abc import Callable, Iterator
from dataclasses import dataclass

import msgspec
from capacity.measurement import Measurement, cpu_microseconds

from hawthornpier.messages import (
    ClockStamp,
    Heartbeat,
    HostListing,
    HostRecord,
    LatencySample,
    LeaseRenewal,
    Resources,
    Row,
    ShardLoad,
    StartBatch,
    TaskStart,
    WorkerReport,
)
from hawthornpier.table import (
    Change,
    Delta,
    WorkloadClass,
    WorkloadRow,
    delta_from_document,
    delta_to_document,
    row_key,
)

_CALL_COUNT = 300
_SMALL_COUNT, _LARGE_COUNT = 1, 17
_DEMAND = Resources(
    processor_millis=4_000,
    memory_bytes=6_000_000_000,
    slot_count=1,
)


@dataclass(frozen=True, slots=True, kw_only=True)
class _Codec:
    """
    Functions that build, encode and decode a message.

    *build* takes the number of parts; *part* names what they are.
    """

    name: str
    part: str
    build: Callable[[int], object]
    encode: Callable[[object], bytes]
    decode: Callable[[bytes], object]


def _json_codec(
    name: str,
    part: str,
    build: Callable[[int], object],
    message_type: object,
) -> _Codec:
    return _Codec(
        name=name,
        part=part,
        build=build,
        encode=msgspec.json.Encoder().encode,
        decode=msgspec.json.Decoder(message_type).decode,
    )


def _start_batch(count: int) -> StartBatch:
    return StartBatch(
        shard='moose-jaw/0',
        epoch=12,
        starts=tuple(
            TaskStart(
                run_id=f'12.{index + 100_000}',
                task_id=f'moose-jaw/0-4f9a3c{index:06d}.17',
                member='saskaton',
                workload='cold-room-watch',
                demand=_DEMAND,
                lease_ms=15_000,
                work_ms=60_000,
            )
            for index in range(count)
        ),
    )


def _report(count: int) -> WorkerReport:
    return WorkerReport(
        worker_id='worker-moose-jaw-07',
        measured_ms=1_750_000_000_000,
        usage=_DEMAND,
        run_ids=tuple(f'12.{index + 100_000}' for index in range(count)),
        samples=tuple(
            LatencySample(
                service='pass-planner',
                duration_ms=12.5,
                ended_ms=1_750_000_000_000,
            )
            for _ in range(count)
        ),
    )


def _heartbeat(count: int) -> Heartbeat:
    return Heartbeat(
        process_id='entry-moose-jaw-1',
        incarnation='5d0c2a9e',
        address='10.20.30.40:7400',
        region='south-saskatchewan',
        failure_domain='moose-jaw',
        table_version=45_000,
        table_age_ms=700,
        is_store_out=False,
        is_leaving=False,
        stamp=ClockStamp(
            wall_ms=1_750_000_000_000,
            counter=3,
            process_id='entry-moose-jaw-1',
        ),
        loads=tuple(
            ShardLoad(
                shard=f'moose-jaw/{index}',
                epoch=12,
                free_slot_count=20,
                slot_count=64,
                queued_request_count=3,
                queued_task_count=400,
                services=('pass-planner', 'bin-tally'),
            )
            for index in range(count)
        ),
    )


def _renewal(count: int) -> LeaseRenewal:
    return LeaseRenewal(
        shard='moose-jaw/0',
        epoch=12,
        lease_ms=15_000,
        run_ids=tuple(f'12.{index + 100_000}' for index in range(count)),
    )


def _delta(count: int) -> Delta:
    rows = [
        WorkloadRow(
            member='saskaton',
            name=f'workload-{index}',
            workload_class=WorkloadClass.BATCH,
            weight=2,
            max_running_count=64,
        )
        for index in range(count)
    ]
    return Delta(
        version=45_000,
        edit_id='4f9a3c2b1d',
        member='saskaton',
        at_ms=1_750_000_000_000,
        changes=tuple(
            Change(key=row_key(row), before=row, after=row) for row in rows
        ),
    )


def _host_list(count: int) -> HostListing:
    return HostListing(
        hosts=tuple(
            HostRecord(
                worker_id=f'worker-moose-jaw-{index:05d}',
                address=f'10.20.30.{index}:7000',
                region='south-saskatchewan',
                failure_domain='moose-jaw',
                rack='rack-3',
                capacity=_DEMAND,
            )
            for index in range(count)
        ),
    )


def _scanned_rows(count: int) -> tuple[Row, ...]:
    text = (
        '{"process":"entry-moose-jaw-1","incarnation":"5d0c2a9e",'
        '"address":"10.20.30.40:7400","epoch":12}'
    )
    return tuple(
        Row(key=f'owner/moose-jaw/{index}', version=4_711, text=text)
        for index in range(count)
    )


_CODECS = (
    _json_codec('start batch', 'start', _start_batch, StartBatch),
    _json_codec('report', 'run and sample', _report, WorkerReport),
    _json_codec('heartbeat', 'shard load', _heartbeat, Heartbeat),
    _json_codec('lease renewal', 'run', _renewal, LeaseRenewal),
    _json_codec('host list', 'host', _host_list, HostListing),
    _json_codec('scan reply', 'row', _scanned_rows, tuple[Row, ...]),
    _Codec(
        name='table delta',
        part='changed row',
        build=_delta,
        encode=lambda delta: msgspec.json.encode(delta_to_document(delta)),
        decode=lambda body: delta_from_document(msgspec.json.decode(body)),
    ),
)


def measure() -> Iterator[Measurement]:
    """
    Yield the cost of a message with one part and of each further part.

    The latter is the slope between messages with few and with many parts.
    """
    for codec in _CODECS:
        small = _costs(codec, _SMALL_COUNT)
        large = _costs(codec, _LARGE_COUNT)
        for (aspect, unit), amount in small.items():
            slope = (large[aspect, unit] - amount) / (
                _LARGE_COUNT - _SMALL_COUNT
            )
            yield Measurement(
                name=f'{codec.name}.{aspect}',
                amount=amount,
                unit=unit,
            )
            yield Measurement(
                name=f'{codec.name}.{aspect} per further {codec.part}',
                amount=slope,
                unit=unit,
            )


def _costs(codec: _Codec, count: int) -> dict[tuple[str, str], float]:
    message = codec.build(count)
    body = codec.encode(message)
    return {
        ('encode', 'us'): cpu_microseconds(
            lambda: codec.encode(message),
            _CALL_COUNT,
        ),
        ('decode', 'us'): cpu_microseconds(
            lambda: codec.decode(body),
            _CALL_COUNT,
        ),
        ('size', 'B'): len(body),
    }
