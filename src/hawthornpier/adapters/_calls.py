"""
HTTP calls with JSON bodies, with failures converted to a port's errors.
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

# Returns extra headers for a request with this method, path and body.
HeaderSource = Callable[[str, str, bytes], Mapping[str, str]]


def no_headers(method: str, path: str, body: bytes) -> Mapping[str, str]:
    """
    Return no headers.
    """
    return {}


@dataclass(frozen=True, slots=True, kw_only=True)
class PortErrors:
    """
    The errors that a port raises.

    Args:
        not_sent: Raised if nothing was sent.
        refused: Raised if the receiver rejected the request and states that
            it applied nothing.
        lost: Raised if no valid reply came; the request may have been
            applied.
    """

    not_sent: type[PortError]
    refused: type[PortError]
    lost: type[PortError]


def quote_segment(name: str) -> str:
    """
    Percent-encode *name* for use as a single path segment.
    """
    return quote(name, safe='')


class JsonHttpClient:
    """
    A client of one receiver that converts failures to the errors of a port.

    A receiver that responds with a status from 400 to 499, or with 503, has
    applied nothing.  After any other status from 500 the request may have been
    applied.

    Args:
        pool: The connections to the receiver.
        errors: The errors to raise.
        deadline_ms: Time limit of a call that sets none of its own.
        headers: Returns extra headers for each request.
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
        Stop reusing the connections that are open now.
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
        Send *message* in a POST request and return the decoded reply.

        Raises:
            PortError: The call failed or the reply is malformed.
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
        Return the decoded reply to a GET request, or None for status 404.

        Raises:
            PortError: The call failed or the reply is malformed.
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
        Send a request and return the reply.

        A reply to a GET request may have status 404; every other status from
        400 raises an error.

        Raises:
            PortError: The call failed.
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
        Return the message in the body of *reply*.

        Raises:
            PortError: The body is malformed, which counts as a lost reply.
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
