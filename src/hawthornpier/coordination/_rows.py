"""
The rows of the coordination layer and their keys.
"""

from dataclasses import dataclass
from typing import TypeVar

import msgspec
import xxhash

from hawthornpier.messages import Row

_Record = TypeVar('_Record')

PROCESS_PREFIX = 'process/'
OWNER_PREFIX = 'owner/'
LOST_PREFIX = 'lost/'
MARKER_PREFIX = 'commit/'


@dataclass(frozen=True, slots=True, kw_only=True)
class ProcessIdentity:
    """
    Who a process is, as it learns from its settings.
    """

    process_id: str
    address: str
    region: str
    failure_domain: str


@dataclass(frozen=True, slots=True, kw_only=True)
class ProcessRow:
    """
    Row `process/<id>`, the lease of a process; *beat* grows at each renewal.
    """

    incarnation: str
    address: str
    region: str
    failure_domain: str
    beat: int
    is_leaving: bool = False


@dataclass(frozen=True, slots=True, kw_only=True)
class OwnerRow:
    """
    Row `owner/<shard>`; an empty *process_id* says that the shard is free.

    *successor* names the process that should claim a free shard first.
    """

    process_id: str
    incarnation: str
    address: str
    epoch: int
    successor: str = ''


@dataclass(frozen=True, slots=True, kw_only=True)
class LostRow:
    """
    Row `lost/<id>`: a process whose lease expired without a release.
    """

    incarnation: str
    lost_wall_ms: int


@dataclass(frozen=True, slots=True, kw_only=True)
class MarkerRow:
    """
    Row `commit/<shard>`: the last group commit, and the last of the owner
    before this one, so that a deposed owner can still learn what happened.
    """

    epoch: int
    sequence: int
    previous_epoch: int = 0
    previous_sequence: int = 0


def encode(record: object) -> str:
    """
    Return the JSON text of a row's data class.
    """
    return msgspec.json.encode(record).decode()


def decode(row: Row, record_type: type[_Record]) -> _Record:
    """
    Return the data class that the row's text encodes.
    """
    return msgspec.json.decode(row.text, type=record_type)


def hash_text(text: str) -> int:
    """
    Return a hash that is the same in all processes.
    """
    return xxhash.xxh64_intdigest(text.encode())


def failure_domain_of(shard: str) -> str:
    """
    Return the failure domain in a shard id `<failure_domain>/<n>`.
    """
    return shard.rpartition('/')[0]


def shard_of_rack(failure_domain: str, rack: str, shard_count: int) -> str:
    """
    Return the shard that the workers of a rack belong to.
    """
    number = hash_text(rack) % shard_count
    return f'{failure_domain}/{number}'
