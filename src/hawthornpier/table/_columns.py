"""
The columns of the table: types, ranges and text forms of their cells.
"""

import enum
import math
import re
from collections.abc import Callable, Mapping
from dataclasses import MISSING, dataclass, fields
from types import MappingProxyType
from typing import Any

from hawthornpier.table import _rows

# Names are used in row keys, paths and header fields.
_NAME_PATTERN = re.compile('[A-Za-z0-9][A-Za-z0-9_.-]{0,63}')
_KEY_HASH_PATTERN = re.compile('[!-~]{1,256}')
# A member's share is proportional to its weight.  With a larger ratio between
# weights, the smallest member would get less than one slot in the current
# deployment.
_MAX_WEIGHT = 1000
_MIN_WEIGHT = 0.001
_MAX_INTERVAL_MS = 86400000
# JSON readers that decode numbers as doubles are exact up to this value.
_MAX_AMOUNT = 2**53 - 1
# The second hash is for key rotation, when the old key is still valid.
_MAX_KEY_HASHES = 2

_CheckCell = Callable[[Any], Any]


@dataclass(frozen=True, slots=True, kw_only=True)
class Column:
    """
    The conversions of the cells of one column.

    Args:
        from_text: Parses a CSV cell that is not empty; raises ValueError.
        check: Validates a value as decoded from JSON and returns the typed
            value; raises ValueError.
        is_optional: Whether a cell may be None.
    """

    from_text: Callable[[str], Any]
    check: _CheckCell
    is_optional: bool = False


def check_cell(name: str, cell: Any) -> Any:
    """
    Return the typed value of a decoded JSON *cell* of the column *name*.

    Raises:
        ValueError: If the type or range is wrong; the message is written for
            operators.
    """
    column = COLUMNS[name]
    if cell is None and column.is_optional:
        return None
    return column.check(cell)


def parse_cell(name: str, text: str) -> Any:
    """
    Return the typed value of a CSV cell that is not empty.

    Raises:
        ValueError: If the text is invalid; the message is written for
            operators.
    """
    column = COLUMNS[name]
    return column.check(column.from_text(text))


def format_cell(cell: Any) -> str:
    """
    Return the CSV text of a typed value; None gives an empty text.
    """
    if cell is None:
        return ''
    if isinstance(cell, bool):
        return 'yes' if cell else 'no'
    if isinstance(cell, tuple):
        return ' '.join(cell)
    return str(cell)


def required_columns(row_type: type) -> frozenset[str]:
    """
    Return the columns of *row_type* that have no default.
    """
    return frozenset(
        field.name for field in fields(row_type) if field.default is MISSING
    )


def _check_name(cell: Any) -> str:
    if not isinstance(cell, str) or not _NAME_PATTERN.fullmatch(cell):
        raise ValueError(
            f'{cell!r} is not a valid name: use 1 to 64 letters, digits, ".", '
            '"_" and "-", with a letter or digit first',
        )
    return cell


def _check_names(cell: Any) -> tuple[str, ...]:
    return tuple(_check_name(name) for name in _check_list(cell))


def _check_hashes(cell: Any) -> tuple[str, ...]:
    hashes = _check_list(cell)
    if len(hashes) > _MAX_KEY_HASHES:
        raise ValueError(
            f'more than {_MAX_KEY_HASHES} key hashes are not allowed'
        )
    for key_hash in hashes:
        if not isinstance(key_hash, str) or not _KEY_HASH_PATTERN.fullmatch(
            key_hash
        ):
            raise ValueError(
                'a key hash must be 1 to 256 printable ASCII characters '
                'without spaces',
            )
    return hashes


def _check_list(cell: Any) -> tuple[Any, ...]:
    if not isinstance(cell, list | tuple):
        raise ValueError(f'{cell!r} is not a list')
    return tuple(cell)


def _check_weight(cell: Any) -> float:
    is_number = isinstance(cell, int | float) and not isinstance(cell, bool)
    if not is_number or not math.isfinite(cell):
        raise ValueError(f'{cell!r} is not a finite number')
    if not _MIN_WEIGHT <= cell <= _MAX_WEIGHT:
        raise ValueError(
            f'{cell} is not within {_MIN_WEIGHT} to {_MAX_WEIGHT}',
        )
    return float(cell)


def _check_flag(cell: Any) -> bool:
    if not isinstance(cell, bool):
        raise ValueError(f'{cell!r} is neither true nor false')
    return cell


def _check_amount(cell: Any) -> int:
    return _check_int(cell, 0, _MAX_AMOUNT)


def _check_interval(cell: Any) -> int:
    return _check_int(cell, 1, _MAX_INTERVAL_MS)


def _check_int(cell: Any, lowest: int, highest: int) -> int:
    if not isinstance(cell, int) or isinstance(cell, bool):
        raise ValueError(f'{cell!r} is not a whole number')
    if not lowest <= cell <= highest:
        raise ValueError(f'{cell} is not within {lowest} to {highest}')
    return cell


def _check_class(cell: Any) -> enum.StrEnum:
    return _check_choice(_rows.WorkloadClass, cell)


def _check_priority(cell: Any) -> enum.StrEnum:
    return _check_choice(_rows.Priority, cell)


def _check_choice(choices: type[enum.StrEnum], cell: Any) -> enum.StrEnum:
    if isinstance(cell, str) and cell in set(choices):
        return choices(cell)
    raise ValueError(f'{cell!r} is not one of {", ".join(choices)}')


def _parse_int(text: str) -> int:
    # int() would also accept underscores, "+" and digits of other scripts.
    if not re.fullmatch('-?[0-9]{1,18}', text):
        raise ValueError(f'{text!r} is not a whole number')
    return int(text)


def _parse_float(text: str) -> float:
    if not re.fullmatch('[0-9.eE+-]{1,32}', text):
        raise ValueError(f'{text!r} is not a number')
    try:
        return float(text)
    except ValueError as error:
        raise ValueError(f'{text!r} is not a number') from error


def _parse_flag(text: str) -> bool:
    if text not in {'yes', 'no'}:
        raise ValueError(f'{text!r} is neither yes nor no')
    return text == 'yes'


def _quota_column() -> Column:
    return Column(from_text=_parse_int, check=_check_amount, is_optional=True)


def _interval_column() -> Column:
    return Column(from_text=_parse_int, check=_check_interval, is_optional=True)


COLUMNS: Mapping[str, Column] = MappingProxyType(
    {
        'member': Column(from_text=str, check=_check_name),
        'name': Column(from_text=str, check=_check_name),
        'workload_class': Column(from_text=str, check=_check_class),
        'weight': Column(from_text=_parse_float, check=_check_weight),
        'latency_target_ms': _interval_column(),
        'deadline_ms': _interval_column(),
        'is_idempotent': Column(from_text=_parse_flag, check=_check_flag),
        'priority': Column(from_text=str, check=_check_priority),
        'processor_millis': Column(from_text=_parse_int, check=_check_amount),
        'memory_bytes': Column(from_text=_parse_int, check=_check_amount),
        'max_processor_millis': _quota_column(),
        'max_memory_bytes': _quota_column(),
        'max_accelerator_count': _quota_column(),
        'max_running_count': _quota_column(),
        'operator_key_hash': Column(from_text=str.split, check=_check_hashes),
        'proposed_by': Column(from_text=str, check=_check_name),
        'proposed_version': Column(from_text=_parse_int, check=_check_amount),
        'approved_by': Column(from_text=str.split, check=_check_names),
    }
)
