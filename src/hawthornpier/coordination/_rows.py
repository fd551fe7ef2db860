"""
The rows that the coordination layer stores, and their keys.
"""

from dataclasses import dataclass
from typing import TypeVar

import msgspec
import xxhash

from hawthornpier.coordination._errors import UnreadableRowError
from hawthornpier.decoding import decode_json
from hawthornpier.messages import Row

_Record = TypeVar('_Record')

PROCESS_PREFIX = 'process/'
OWNER_PREFIX = 'owner/'
LOST_PREFIX = 'lost/'
MARKER_PREFIX = 'commit/'


@dataclass(frozen=True, slots=True, kw_only=True)
class ProcessIdentity:
    """
    The id, address and location of a process, from its settings.
    """

    process_id: str
    address: str
    region: str
    failure_domain: str


@dataclass(frozen=True, slots=True, kw_only=True)
class ProcessRow:
    """
    Row `process/<id>`, the lease of a process.

    *beat* grows with each renewal by the same incarnation.
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
    Row `owner/<shard>`; an empty *process_id* means that nobody owns it.

    *successor* is the id of the process that should claim a released shard
    first.
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
    Row `commit/<shard>`, the last group commit of a shard.

    *previous_epoch* and *previous_sequence* identify the last commit of the
    previous owner, which can thus still find out whether it was applied.
    """

    epoch: int
    sequence: int
    previous_epoch: int = 0
    previous_sequence: int = 0


def encode(record: object) -> str:
    """
    Encode a data class as the JSON text of a row.
    """
    return msgspec.json.encode(record).decode()


def decode(row: Row, record_type: type[_Record]) -> _Record:
    """
    Decode the text of a row as an instance of *record_type*.

    Raises:
        UnreadableRowError: The text cannot be decoded.
    """
    return decode_json(
        row.text,
        record_type,
        UnreadableRowError,
        subject=f'row {row.key}',
    )


def hash_text(text: str) -> int:
    """
    Return a 64-bit hash that is equal in all processes.
    """
    return xxhash.xxh64_intdigest(text.encode())


def failure_domain_of(shard: str) -> str:
    """
    Return the failure domain of a shard id `<failure_domain>/<n>`.
    """
    return shard.rpartition('/')[0]


def shard_of_rack(failure_domain: str, rack: str, shard_count: int) -> str:
    """
    Return the id of the shard that the workers of a rack belong to.
    """
    number = hash_text(rack) % shard_count
    return f'{failure_domain}/{number}'
