"""
One entry address, as callers see it.
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

# An entry process states the outcome at the deadline; its response needs
# some time after that.
_RESPONSE_GRACE_MS = 1_000
_CONNECTION_LIMIT = 512


class CallResult(enum.StrEnum):
    """
    How one request ended for its caller.

    `WRONG` is an answer that does not belong to the request.
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
    One request as sent to an entry address.
    """

    service: str
    body: str
    deadline_ms: int
    idempotency_key: str = ''


@dataclass(frozen=True, slots=True, kw_only=True)
class EntryReply:
    """
    How a request ended; *body* is the answer and *reason* explains others.

    *entry* names the entry process that the request was sent to.
    """

    ended: CallResult
    body: str = ''
    reason: str = ''
    entry: str = ''


class EntryPort(Protocol):
    """
    An entry address.
    """

    async def send(self, call: EntryCall) -> EntryReply:
        """
        Send a request; never raises for failures of the network.
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
    An entry address over HTTP.

    Args:
        name: Name of the entry process in histories.
        address: Host and port, or a URL without a path.
        headers: Added to each request, for example to authenticate.
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
        Close the connections.
        """
        self.pool.close()

    async def send(self, call: EntryCall) -> EntryReply:
        """
        Send a request and return how it ended.
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
    # A whole response that states no outcome leaves it open, unless its
    # status says that the request was refused.
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
