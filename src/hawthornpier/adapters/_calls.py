"""
Calls with JSON bodies, and the conversion of failures to a port's errors.
"""

from collections.abc import Callable, Mapping
from dataclasses import dataclass
from http import HTTPStatus
from typing import TypeVar
from urllib.parse import quote

from hawthornpier.adapters._codec import decode_message, encode_message
from hawthornpier.adapters._connections import (
    ConnectionPool,
    HttpCall,
    HttpReply,
)
from hawthornpier.adapters._errors import (
    MessageError,
    NotSentError,
    ReplyLostError,
)
from hawthornpier.ports import PortError

_Reply = TypeVar('_Reply')

# Adds headers to a message, given its method, path and body.
HeaderSource = Callable[[str, str, bytes], Mapping[str, str]]


def no_headers(method: str, path: str, body: bytes) -> Mapping[str, str]:
    """
    Add no headers.
    """
    return {}


@dataclass(frozen=True, slots=True, kw_only=True)
class PortErrors:
    """
    The errors that a port raises.

    Args:
        not_sent: Nothing was sent.
        refused: The receiver stated that it did nothing.
        lost: The message may have taken effect.
    """

    not_sent: type[PortError]
    refused: type[PortError]
    lost: type[PortError]


def quote_segment(name: str) -> str:
    """
    Return *name* as one segment of a path.
    """
    return quote(name, safe='')


class JsonHttpClient:
    """
    Calls one receiver and converts every failure to the errors of a port.

    Statuses from 400 to 499 and 503 say that the receiver did nothing; all
    other statuses from 500 leave that open.
    """

    def __init__(
        self,
        pool: ConnectionPool,
        *,
        errors: PortErrors,
        deadline_ms: float,
        headers: HeaderSource = no_headers,
    ) -> None:
        self._pool = pool
        self._errors = errors
        self._deadline_ms = deadline_ms
        self._headers = headers

    def close(self) -> None:
        """
        Close the connections.
        """
        self._pool.close()

    def retire_connections(self) -> None:
        """
        Use no connection again that is open now.
        """
        self._pool.retire()

    async def post(
        self,
        path: str,
        message: object,
        reply_type: type[_Reply],
        *,
        deadline_ms: float | None = None,
    ) -> _Reply:
        """
        Send a message and return the decoded reply.
        """
        return self.decode(
            await self.exchange(
                'POST',
                path,
                encode_message(message),
                deadline_ms=deadline_ms,
            ),
            reply_type,
        )

    async def get(self, path: str, reply_type: type[_Reply]) -> _Reply | None:
        """
        Fetch a path; return the decoded reply, or None if it is absent.
        """
        reply = await self.exchange('GET', path)
        if reply.status == HTTPStatus.NOT_FOUND:
            return None
        return self.decode(reply, reply_type)

    async def exchange(
        self,
        method: str,
        path: str,
        body: bytes | None = None,
        *,
        deadline_ms: float | None = None,
    ) -> HttpReply:
        """
        Send a request and return the reply unless it is a failure.
        """
        call = HttpCall(
            method=method,
            path=path,
            body=body,
            headers=self._headers(method, path, body or b''),
            deadline_ms=(
                self._deadline_ms if deadline_ms is None else deadline_ms
            ),
        )
        try:
            reply = await self._pool.send(call)
        except NotSentError as error:
            raise self._errors.not_sent(f'{method} {path}: {error}') from error
        except ReplyLostError as error:
            raise self._errors.lost(f'{method} {path}: {error}') from error
        self._raise_for(call, reply)
        return reply

    def decode(self, reply: HttpReply, reply_type: type[_Reply]) -> _Reply:
        """
        Decode the body of a reply.
        """
        try:
            return decode_message(reply.body, reply_type)
        except MessageError as error:
            raise self._errors.lost(str(error)) from error

    def _raise_for(self, call: HttpCall, reply: HttpReply) -> None:
        if reply.status < HTTPStatus.BAD_REQUEST:
            return
        if call.method == 'GET' and reply.status == HTTPStatus.NOT_FOUND:
            return
        text = f'{call.method} {call.path}: status {reply.status}'
        if (
            reply.status < HTTPStatus.INTERNAL_SERVER_ERROR
            or reply.status == HTTPStatus.SERVICE_UNAVAILABLE
        ):
            raise self._errors.refused(text)
        raise self._errors.lost(text)
