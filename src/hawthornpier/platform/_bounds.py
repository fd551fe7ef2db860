"""
Types with bounds for what other programs of the platform write.

Values out of bounds cannot be true, and would distort or overflow the
arithmetic and the rows of the store that they reach.
"""

import re
from typing import Annotated

from msgspec import Meta

# The end of the year 2100.
_MAX_UNIX_MS = 4_133_980_799_999
# About thirty years.
_MAX_DURATION_MS = 10**12
# Processors in thousandths of a core, megabytes of memory, or accelerators.
MAX_AMOUNT = 10**9
# Integers up to this number have an exact representation as JSON numbers.
_MAX_COUNT = 2**53
_MAX_FACTOR = 10**6
_MAX_NAME_LENGTH = 200
_MAX_LABEL_COUNT = 100
_MAX_CHECKPOINT_LENGTH = 4_000
_MAX_PORT = 65_535
_ADDRESS = re.compile(
    r'(?:[\w.-]+|\[[0-9a-f:.]+\]):([0-9]{1,5})',
    re.ASCII | re.IGNORECASE,
)

UnixMs = Annotated[int, Meta(ge=0, le=_MAX_UNIX_MS)]
DurationMs = Annotated[float, Meta(ge=0, le=_MAX_DURATION_MS)]
# A remaining time, which is negative once it has passed.
RemainingMs = Annotated[float, Meta(ge=-_MAX_DURATION_MS, le=_MAX_DURATION_MS)]
Amount = Annotated[int, Meta(ge=0, le=MAX_AMOUNT)]
Usage = Annotated[float, Meta(ge=0, le=MAX_AMOUNT)]
Rank = Annotated[int, Meta(ge=-MAX_AMOUNT, le=MAX_AMOUNT)]
Count = Annotated[int, Meta(ge=0, le=_MAX_COUNT)]
Factor = Annotated[float, Meta(ge=0, le=_MAX_FACTOR)]
Name = Annotated[str, Meta(max_length=_MAX_NAME_LENGTH)]
Labels = Annotated[list[Name], Meta(max_length=_MAX_LABEL_COUNT)]
Checkpoint = Annotated[str, Meta(max_length=_MAX_CHECKPOINT_LENGTH)]


def is_name(text: str) -> bool:
    """
    Return whether a text is not too long to be a name.
    """
    return len(text) <= _MAX_NAME_LENGTH


def is_address(text: str) -> bool:
    """
    Return whether a text consists of a host and a port that may exist.
    """
    match = _ADDRESS.fullmatch(text)
    return match is not None and 1 <= int(match[1]) <= _MAX_PORT
