"""
Recovery of the records that earlier owners of a shard have written.
"""

from collections.abc import Callable
from dataclasses import dataclass
from typing import TypeVar

from hawthornpier.owner._errors import UnreadableRecordError
from hawthornpier.owner._records import (
    IntentRecord,
    JobRecord,
    TaskChunk,
    WorkerSet,
    decode_record,
    worker_set_key,
)
from hawthornpier.ports import Clock, StoreError, TableStore

_Record = TypeVar('_Record')

_RETRY_MS = 200


@dataclass(frozen=True, slots=True, kw_only=True)
class ShardRecords:
    """
    All durable records of one shard.
    """

    jobs: tuple[JobRecord, ...]
    chunks: tuple[TaskChunk, ...]
    intents: tuple[IntentRecord, ...]
    workers: WorkerSet


async def load_records(
    shard: str,
    *,
    store: TableStore,
    clock: Clock,
    on_unreadable: Callable[[str], None],
) -> ShardRecords:
    """
    Read the shard's records, retrying until all of them can be read.

    Without a record, work that it shows to have started could start again.

    Args:
        shard: The id of the shard.
        store: The store.
        clock: The clock of this process.
        on_unreadable: Called with the reason whenever it has changed.
    """
    reported = ''
    while True:
        try:
            return await _read(shard, store)
        except StoreError:
            await clock.sleep_ms(_RETRY_MS)
        except UnreadableRecordError as error:
            if str(error) != reported:
                reported = str(error)
                on_unreadable(reported)
            await clock.sleep_ms(_RETRY_MS)


async def _read(shard: str, store: TableStore) -> ShardRecords:
    row = await store.read(worker_set_key(shard))
    return ShardRecords(
        jobs=await _scan(store, f'job/{shard}/', JobRecord),
        chunks=await _scan(store, f'task/{shard}/', TaskChunk),
        intents=await _scan(store, f'intent/{shard}/', IntentRecord),
        workers=(decode_record(row, WorkerSet) if row else WorkerSet()),
    )


async def _scan(
    store: TableStore,
    prefix: str,
    record_type: type[_Record],
) -> tuple[_Record, ...]:
    rows = await store.scan(prefix)
    return tuple(decode_record(row, record_type) for row in rows)
