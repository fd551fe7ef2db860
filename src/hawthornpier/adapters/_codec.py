"""
JSON encoding and decoding of messages.
"""

from collections.abc import Mapping
from functools import singledispatch
from types import MappingProxyType
from typing import Any, TypeVar

import msgspec

from hawthornpier.adapters._errors import MessageError
from hawthornpier.decoding import decode_json
from hawthornpier.messages import (
    Answer,
    NotRun,
    Outcome,
    OutcomeKind,
    Unknown,
)

_Message = TypeVar('_Message')


class _OutcomeTag(msgspec.Struct):
    kind: OutcomeKind


_OUTCOME_TYPES: Mapping[OutcomeKind, type[Outcome]] = MappingProxyType(
    {
        OutcomeKind.ANSWER: Answer,
        OutcomeKind.NOT_RUN: NotRun,
        OutcomeKind.UNKNOWN: Unknown,
    },
)


def encode_message(message: object) -> bytes:
    """
    Encode a message as JSON.
    """
    return msgspec.json.encode(message)


def decode_message(body: bytes, message_type: type[_Message]) -> _Message:
    """
    Decode a message from JSON.

    Args:
        body: The JSON document.
        message_type: A class of `hawthornpier.messages`, or a type composed
            of such classes.

    Raises:
        MessageError: The body is not JSON or does not match the type.
    """
    return decode_json(body, message_type, MessageError, subject='body')


@singledispatch
def outcome_kind(outcome: Any) -> OutcomeKind:
    """
    Return the value of the JSON field ``kind`` for an outcome.
    """
    raise TypeError(f'{type(outcome).__name__} is not an outcome')


@outcome_kind.register
def _answer_kind(outcome: Answer) -> OutcomeKind:
    return OutcomeKind.ANSWER


@outcome_kind.register
def _not_run_kind(outcome: NotRun) -> OutcomeKind:
    return OutcomeKind.NOT_RUN


@outcome_kind.register
def _unknown_kind(outcome: Unknown) -> OutcomeKind:
    return OutcomeKind.UNKNOWN


def encode_outcome(outcome: Outcome) -> bytes:
    """
    Encode an outcome as JSON, with its type in the field ``kind``.
    """
    fields = msgspec.to_builtins(outcome)
    return msgspec.json.encode({'kind': outcome_kind(outcome), **fields})


def decode_outcome(body: bytes) -> Outcome:
    """
    Decode an outcome from JSON; the field ``kind`` selects its type.

    Raises:
        MessageError: The body is not JSON or does not match the type.
    """
    kind = decode_message(body, _OutcomeTag).kind
    return decode_message(body, _OUTCOME_TYPES[kind])
