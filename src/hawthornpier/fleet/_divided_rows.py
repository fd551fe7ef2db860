"""
Division of a value that grows over rows of the store, which limits their size.
"""

import hashlib
from bisect import bisect_left, insort
from collections.abc import Iterable, Mapping, Sequence
from itertools import pairwise
from typing import Protocol, TypeVar

_Item = TypeVar('_Item')
_Item_contra = TypeVar('_Item_contra', contravariant=True)

# Separates the key of a value's first row from the position in further keys.
_SEPARATOR = '.'
_DIGEST_BYTES = 8


class RowEncoder(Protocol[_Item_contra]):
    """
    Encodes the items of one row.
    """

    def __call__(
        self, members: Sequence[_Item_contra], *, is_first: bool
    ) -> bytes:
        """
        Return the content of the row.

        Args:
            members: The items that the row holds.
            is_first: Whether it is the first row, which also holds what
                concerns the whole value.
        """
        ...


def row_owner(key: str) -> str:
    """
    Return the key of the first row of the value to which a row belongs.
    """
    return key.partition(_SEPARATOR)[0]


class DividedRows:
    """
    The rows of one value, and digests of what the store has of them.

    Each row holds the items from its position up to that of the next row.  A
    row that outgrows the limit is divided; rows are never merged.

    Changed rows are to be written last row first, also if that takes several
    transactions.  An item that moves to a new row is then in the store at any
    time: the row that it leaves is written after the new one.

    Args:
        key: The key of the first row.
        max_bytes: The largest content of a row.
    """

    def __init__(self, key: str, max_bytes: int) -> None:
        self._key = key
        self._max_bytes = max_bytes
        self._positions = [0]
        self._digests: dict[str, bytes] = {}

    @property
    def keys(self) -> tuple[str, ...]:
        """
        Return the keys of all rows, in order.
        """
        return tuple(self._row_key(position) for position in self._positions)

    def restore(self, keys: Iterable[str]) -> None:
        """
        Continue with the rows that a previous owner has written.

        Args:
            keys: Their keys; those of other forms are ignored.
        """
        for key in keys:
            position = key.removeprefix(self._key + _SEPARATOR)
            if position.isdecimal() and int(position) not in self._positions:
                insort(self._positions, int(position))

    def changed(
        self,
        elements: Sequence[_Item],
        positions: Sequence[int],
        encode: RowEncoder[_Item],
    ) -> list[tuple[str, bytes]]:
        """
        Return the rows that differ from the store's, the last one first.

        Args:
            elements: All items of the value, in order of their positions.
            positions: The position of each item.
            encode: Encodes the items of one row.
        """
        rows: list[tuple[int, bytes]] = []
        bounds = [bisect_left(positions, start) for start in self._positions]
        ranges = pairwise((*bounds, len(elements)))
        for number, (first, end) in reversed(tuple(enumerate(ranges))):
            rows.extend(
                self._divide(
                    self._positions[number],
                    elements[first:end],
                    positions[first:end],
                    encode,
                )
            )
        self._positions = sorted(position for position, _ in rows)
        keyed = [
            (self._row_key(position), content) for position, content in rows
        ]
        return [
            (key, content)
            for key, content in keyed
            if self._digests.get(key) != _digest(content)
        ]

    def confirm(self, contents: Mapping[str, bytes]) -> None:
        """
        Record that the store has rows, by key.
        """
        for key, content in contents.items():
            self._digests[key] = _digest(content)

    def forget(self, keys: Iterable[str]) -> None:
        """
        Record that it is unknown what the store has of rows.
        """
        for key in keys:
            self._digests.pop(key, None)

    def _divide(
        self,
        start: int,
        members: Sequence[_Item],
        positions: Sequence[int],
        encode: RowEncoder[_Item],
    ) -> list[tuple[int, bytes]]:
        content = encode(members, is_first=start == 0)
        if len(content) <= self._max_bytes or len(members) < 2:
            return [(start, content)]
        middle = bisect_left(positions, positions[len(positions) // 2])
        if middle == 0:
            return [(start, content)]
        return [
            *self._divide(
                positions[middle], members[middle:], positions[middle:], encode
            ),
            *self._divide(start, members[:middle], positions[:middle], encode),
        ]

    def _row_key(self, position: int) -> str:
        if not position:
            return self._key
        return f'{self._key}{_SEPARATOR}{position:010d}'


def _digest(content: bytes) -> bytes:
    return hashlib.blake2b(content, digest_size=_DIGEST_BYTES).digest()
