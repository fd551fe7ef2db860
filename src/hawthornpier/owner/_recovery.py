"""
Recovery of the records that earlier owners of a shard have written.
"""

from dataclasses import dataclass
from typing import TypeVar

import msgspec

from hawthornpier.owner._records import (
    IntentRecord,
    JobRecord,
    TaskChunk,
    WorkerSet,
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
) -> ShardRecords:
    """
    Read the shard's records, retrying until the store replies.
    """
    while True:
        try:
            return await _read(shard, store)
        except StoreError:
            await clock.sleep_ms(_RETRY_MS)


async def _read(shard: str, store: TableStore) -> ShardRecords:
    row = await store.read(worker_set_key(shard))
    return ShardRecords(
        jobs=await _scan(store, f'job/{shard}/', JobRecord),
        chunks=await _scan(store, f'task/{shard}/', TaskChunk),
        intents=await _scan(store, f'intent/{shard}/', IntentRecord),
        workers=(
            msgspec.json.decode(row.text, type=WorkerSet)
            if row
            else WorkerSet()
        ),
    )


async def _scan(
    store: TableStore,
    prefix: str,
    record_type: type[_Record],
) -> tuple[_Record, ...]:
    rows = await store.scan(prefix)
    return tuple(
        msgspec.json.decode(row.text, type=record_type) for row in rows
    )
