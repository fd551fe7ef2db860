"""
Decoding of JSON that another process or program wrote.
"""

from typing import TypeVar

import msgspec

from hawthornpier.errors import HawthornpierError

__all__ = ['DecodingError', 'decode_json']

_Target = TypeVar('_Target')

# `msgspec.DecodeError` and `UnicodeError` are subclasses of `ValueError`.  The
# decoder raises `RecursionError` for deep nesting, also in unknown fields.
_FAILURES = (ValueError, OverflowError, RecursionError)


class DecodingError(HawthornpierError):
    """
    A document is not JSON or does not match the expected type.
    """


def decode_json(
    content: bytes | str,
    target_type: type[_Target],
    error_type: type[HawthornpierError] = DecodingError,
    *,
    subject: str = 'document',
) -> _Target:
    """
    Decode JSON as an instance of *target_type*, whatever the content is.

    Args:
        content: The JSON document.
        target_type: A type that msgspec supports.
        error_type: The error of the calling layer.
        subject: What is decoded, for the error's message.

    Raises:
        HawthornpierError: An instance of *error_type*; the content cannot be
            decoded.
    """
    try:
        return msgspec.json.decode(content, type=target_type)
    except _FAILURES as error:
        raise error_type(f'unreadable {subject}: {error}') from error
