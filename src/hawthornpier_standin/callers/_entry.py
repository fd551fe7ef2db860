"""
The callers' client of an entry process.
"""

import enum
from collections.abc import Mapping
from dataclasses import dataclass, field, replace
from http import HTTPStatus
from types import MappingProxyType
from typing import Protocol
from urllib.parse import quote

import msgspec

from hawthornpier.adapters import (
    ConnectionPool,
    HttpCall,
    MessageError,
    NotSentError,
    ReplyLostError,
    decode_message,
)
from hawthornpier.messages import OutcomeKind

# An entry process replies at the deadline at the latest; the reply needs some
# time to arrive after that.
_RESPONSE_GRACE_MS = 1_000
_CONNECTION_LIMIT = 512


class CallResult(enum.StrEnum):
    """
    The result of one request as its caller observed it.

    `UNKNOWN`: the entry process replied that the outcome is unknown.
    `WRONG`: the answer is malformed or belongs to another request.
    `REPLY_LOST`: no reply with an outcome arrived; the request may have run.
    `UNREACHABLE`: the connection failed before the request was sent.
    """

    ANSWERED = 'answered'
    NOT_RUN = 'not_run'
    UNKNOWN = 'unknown'
    WRONG = 'wrong'
    REPLY_LOST = 'cut'
    UNREACHABLE = 'unreachable'


@dataclass(frozen=True, slots=True, kw_only=True)
class EntryCall:
    """
    One request as sent to an entry process.

    *idempotency_key* is empty for a request without a key.
    """

    service: str
    body: str
    deadline_ms: int
    idempotency_key: str = ''


@dataclass(frozen=True, slots=True, kw_only=True)
class EntryReply:
    """
    The result of a request.

    *ended* is the result as the caller observed it.  *body* is the answer, if
    there is one; *reason* explains any other result.  *entry* names the entry
    process that the request was sent to.
    """

    ended: CallResult
    body: str = ''
    reason: str = ''
    entry: str = ''


class EntryPort(Protocol):
    """
    A client of one entry process.
    """

    async def send(self, call: EntryCall) -> EntryReply:
        """
        Send a request and return its result.

        Network errors are returned as results, never raised.
        """
        ...


class _OutcomeBody(msgspec.Struct):
    kind: str = ''
    outcome: str = ''
    body: str = ''
    reason: str = ''


_RESULT_BY_OUTCOME: Mapping[str, CallResult] = MappingProxyType(
    {
        OutcomeKind.ANSWER: CallResult.ANSWERED,
        OutcomeKind.NOT_RUN: CallResult.NOT_RUN,
        OutcomeKind.UNKNOWN: CallResult.UNKNOWN,
    },
)


@dataclass(frozen=True, kw_only=True)
class HttpEntry:
    """
    A client of one entry process over HTTP.

    Args:
        name: Name of the entry process in the history.
        address: Host and port of the process, or a URL without a path.
        headers: Headers added to each request, for example credentials.
    """

    name: str
    address: str
    headers: Mapping[str, str] = field(default_factory=dict)
    pool: ConnectionPool = field(init=False, repr=False)

    def __post_init__(self) -> None:
        pool = ConnectionPool(self.address, connection_limit=_CONNECTION_LIMIT)
        object.__setattr__(self, 'pool', pool)

    def close(self) -> None:
        """
        Close the connection pool.
        """
        self.pool.close()

    async def send(self, call: EntryCall) -> EntryReply:
        """
        Send a request and return its result.
        """
        http_call = HttpCall(
            method='POST',
            path=f'/v1/services/{quote(call.service, safe="")}/requests',
            body=call.body.encode(),
            headers=self._headers(call),
            deadline_ms=call.deadline_ms + _RESPONSE_GRACE_MS,
        )
        return replace(await self._send_http(http_call), entry=self.name)

    async def _send_http(self, http_call: HttpCall) -> EntryReply:
        try:
            reply = await self.pool.send(http_call)
        except NotSentError as error:
            return EntryReply(ended=CallResult.UNREACHABLE, reason=str(error))
        except ReplyLostError as error:
            return EntryReply(ended=CallResult.REPLY_LOST, reason=str(error))
        return _decode_reply(reply.status, reply.body)

    def _headers(self, call: EntryCall) -> dict[str, str]:
        headers = {**self.headers, 'Deadline-Ms': str(call.deadline_ms)}
        if call.idempotency_key:
            headers['Idempotency-Key'] = call.idempotency_key
        return headers


def _decode_reply(status: int, body: bytes) -> EntryReply:
    # A complete response without an outcome counts as a lost reply, unless its
    # status shows that the request was refused.
    default = (
        CallResult.NOT_RUN if _is_refusal(status) else CallResult.REPLY_LOST
    )
    try:
        outcome = decode_message(body, _OutcomeBody)
    except MessageError as error:
        reason = f'status {status}: {error}'
        return EntryReply(ended=default, reason=reason)
    ended = _RESULT_BY_OUTCOME.get(outcome.kind or outcome.outcome, default)
    reason = outcome.reason or f'status {status}'
    return EntryReply(ended=ended, body=outcome.body, reason=reason)


def _is_refusal(status: int) -> bool:
    is_client_error = (
        HTTPStatus.BAD_REQUEST <= status < HTTPStatus.INTERNAL_SERVER_ERROR
    )
    return is_client_error or status == HTTPStatus.SERVICE_UNAVAILABLE
