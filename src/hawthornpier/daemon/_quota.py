"""
Divides the table's limits among the shards.

Each shard's owner admits on its own, so a limit of the whole circle is kept by
giving every shard a fixed share; the shares add up to the limit.
"""

from collections.abc import Sequence
from dataclasses import replace
from functools import partial

import xxhash

from hawthornpier.policy import WorkloadLimits


def share_of(
    limit: int,
    *,
    member: str,
    shard: str,
    shards: Sequence[str],
) -> int:
    """
    Return the shard's share of a limit.

    What cannot be divided goes to the same shards for all limits of a member,
    so that its tasks find a share of each limit in one place.
    """
    ranked = sorted(shards, key=lambda each: _rank(member, each))
    base, remainder = divmod(limit, len(ranked))
    return base + int(ranked.index(shard) < remainder)


def limits_of_shard(
    limits: Sequence[WorkloadLimits],
    *,
    shard: str,
    shards: Sequence[str],
) -> tuple[WorkloadLimits, ...]:
    """
    Return the limits that the shard's owner has to keep.
    """
    return tuple(_divide_row(row, shard, shards) for row in limits)


def _divide_row(
    row: WorkloadLimits,
    shard: str,
    shards: Sequence[str],
) -> WorkloadLimits:
    share = partial(
        _optional_share,
        member=row.member,
        shard=shard,
        shards=shards,
    )
    return replace(
        row,
        max_processor_millis=share(row.max_processor_millis),
        max_memory_bytes=share(row.max_memory_bytes),
        max_accelerator_count=share(row.max_accelerator_count),
        max_running_count=share(row.max_running_count),
    )


def _optional_share(
    limit: int | None,
    *,
    member: str,
    shard: str,
    shards: Sequence[str],
) -> int | None:
    if limit is None:
        return None
    return share_of(limit, member=member, shard=shard, shards=shards)


def _rank(member: str, shard: str) -> int:
    return xxhash.xxh3_64_intdigest(f'{member}|{shard}'.encode())
