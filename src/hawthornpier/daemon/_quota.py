"""
Division of the table's limits among the shards.

The owner of each shard admits work independently.  A limit of the whole cluster
holds because every shard has a fixed share and the shares add up to the limit.
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

    The remainder of the division goes to the same shards for all limits of a
    member, so that small limits have their shares in the same shards.
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
    Return the shard's shares of the limits, for its owner to enforce.
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
