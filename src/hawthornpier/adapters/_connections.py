"""
Persistent connections to one address.
"""

import asyncio
import itertools
from collections import deque
from collections.abc import Mapping
from dataclasses import dataclass, field
from functools import partial

import pycurl
from tornado.curl_httpclient import CurlAsyncHTTPClient, CurlError
from tornado.httpclient import HTTPRequest

from hawthornpier.adapters._errors import (
    AdapterError,
    ConnectionRefusedByPeerError,
    NotSentError,
    ReplyLostError,
)

# A server that repeats this header in its response lets the client notice a
# response that was meant for an earlier request on the same connection.
REQUEST_ID_HEADER = 'X-Request-Id'
_REQUEST_ID_NAME = REQUEST_ID_HEADER.lower().encode()
_CALL_IDS = map(str, itertools.count(1))

# The least that curl takes. Each connection has a buffer of its own, and the
# default of 64 KiB is far above the size of a message.
_UPLOAD_BUFFER_BYTES = 16_384

# curl reads a timeout of zero as no timeout.
_MIN_TIMEOUT_MS = 1


@dataclass(frozen=True, slots=True, kw_only=True)
class HttpCall:
    """
    One HTTP request and the time that it may take in all.
    """

    method: str
    path: str
    deadline_ms: float
    body: bytes | None = None
    headers: Mapping[str, str] = field(default_factory=dict)


@dataclass(frozen=True, slots=True, kw_only=True)
class HttpReply:
    """
    A complete HTTP response.
    """

    status: int
    body: bytes


class _Connection:
    """
    A client with a single connection.

    One client for each connection, rather than a client with many, so that
    a suspect connection can be closed without touching the others.
    """

    def __init__(self, generation: int) -> None:
        self.generation = generation
        self.last_used_s: float = 0
        self._is_sent = False
        self._call_id = ''
        self._echoed_id = ''
        self._client = CurlAsyncHTTPClient(force_instance=True, max_clients=1)

    async def fetch(self, request: HTTPRequest) -> HttpReply:
        """
        Send a request and return the complete response.

        Raises:
            NotSentError: Nothing was sent.
            ReplyLostError: The request may have arrived.
        """
        self._is_sent = False
        self._call_id = next(_CALL_IDS)
        self._echoed_id = self._call_id
        request.headers[REQUEST_ID_HEADER] = self._call_id
        request.prepare_curl_callback = self._configure_curl
        try:
            response = await self._client.fetch(request, raise_error=False)
        except CurlError as error:
            raise self._convert_error(error) from error
        except ValueError as error:
            # tornado rejects the address or a header before it connects.
            raise NotSentError(str(error)) from error
        if self._echoed_id != self._call_id:
            raise ReplyLostError('the response belongs to another request')
        return HttpReply(status=response.code, body=response.body)

    def close(self) -> None:
        """
        Close the connection, after the callbacks that tornado has queued.
        """
        asyncio.get_running_loop().call_soon(self._client.close)

    def _convert_error(self, error: CurlError) -> AdapterError:
        if self._is_sent:
            return ReplyLostError(_error_text(error))
        if error.errno == pycurl.E_COULDNT_CONNECT:
            return ConnectionRefusedByPeerError(_error_text(error))
        return NotSentError(_error_text(error))

    def _configure_curl(self, curl: pycurl.Curl) -> None:
        curl.setopt(pycurl.HTTP_VERSION, pycurl.CURL_HTTP_VERSION_1_1)
        # An empty name overrides a proxy from the environment.
        curl.setopt(pycurl.PROXY, '')
        curl.setopt(pycurl.SEEKFUNCTION, _reject_seek)
        curl.setopt(pycurl.UPLOAD_BUFFERSIZE, _UPLOAD_BUFFER_BYTES)
        # Only one header is used, and tornado parses all of them at length.
        curl.setopt(pycurl.HEADERFUNCTION, self._record_echoed_id)
        # curl calls this when it is connected, just before the first byte.
        # Its times do not tell: a failure to connect sets them as well.
        curl.setopt(pycurl.PREREQFUNCTION, self._record_send)

    def _record_echoed_id(self, line: bytes) -> None:
        name, _, text = line.partition(b':')
        if name.lower() == _REQUEST_ID_NAME:
            self._echoed_id = text.strip().decode('latin1')

    def _record_send(self, *endpoints: object) -> int:
        self._is_sent = True
        return pycurl.PREREQFUNC_OK


class ConnectionPool:
    """
    Sends HTTP requests to one address over a limited number of connections.

    After a timeout no connection that was open at that time is used again,
    because connections may hang for good while new ones work.

    Each message is sent at most once: curl's own second attempt on a new
    connection is switched off for messages with a body.

    Args:
        address: Host and port, or a URL without a path.
        connection_limit: Largest number of open connections.
        connect_ms: Longest time to connect.
        idle_ms: Time after which an unused connection is closed; a burst
            would otherwise hold its memory for good.
        ca_certs: File of the certificates to trust, for HTTPS.
    """

    def __init__(
        self,
        address: str,
        *,
        connection_limit: int = 8,
        connect_ms: float = 1_000,
        idle_ms: float = 30_000,
        ca_certs: str = '',
    ) -> None:
        self._base_url = address if '://' in address else f'http://{address}'
        self._connect_ms = connect_ms
        self._idle_s = idle_ms / 1000
        self._ca_certs = ca_certs or None
        self._connection_permits = asyncio.Semaphore(connection_limit)
        # The connection that was used last is at the end and is used next.
        self._idle: deque[_Connection] = deque()
        self._generation = 0
        self._is_closed = False

    async def send(self, call: HttpCall) -> HttpReply:
        """
        Send *call* and return the complete response, whatever its status is.

        Raises:
            NotSentError: Nothing was sent.
            ReplyLostError: The request may have arrived.
        """
        if self._is_closed or call.deadline_ms <= 0:
            raise NotSentError('the connections are closed or time is over')
        loop = asyncio.get_running_loop()
        end_s = loop.time() + call.deadline_ms / 1000
        await self._acquire_permit(end_s)
        remaining_s = end_s - loop.time()
        connection = self._acquire_connection()
        # The exchange goes on when the caller is cancelled, and holds its
        # slot, because the connection stays in use until then.
        request = self._request(call, remaining_s)
        exchange = asyncio.ensure_future(connection.fetch(request))
        exchange.add_done_callback(
            partial(self._release_connection, connection)
        )
        return await asyncio.shield(exchange)

    def close(self) -> None:
        """
        Close idle connections now and the others when their calls end.
        """
        self._is_closed = True
        self.retire()

    def retire(self) -> None:
        """
        Use no connection again that is open now.
        """
        self._generation += 1
        while self._idle:
            self._idle.pop().close()

    async def _acquire_permit(self, end_s: float) -> None:
        try:
            async with asyncio.timeout_at(end_s):
                await self._connection_permits.acquire()
        except TimeoutError as error:
            raise NotSentError('no connection became free in time') from error

    def _acquire_connection(self) -> _Connection:
        if self._idle:
            return self._idle.pop()
        return _Connection(self._generation)

    def _release_connection(
        self,
        connection: _Connection,
        exchange: asyncio.Task[HttpReply],
    ) -> None:
        self._connection_permits.release()
        failure = None if exchange.cancelled() else exchange.exception()
        if failure is not None and _is_timeout(failure.__cause__):
            self.retire()
        has_succeeded = not exchange.cancelled() and failure is None
        is_current = connection.generation == self._generation
        if has_succeeded and is_current and not self._is_closed:
            self._add_idle(connection)
        else:
            connection.close()

    def _add_idle(self, connection: _Connection) -> None:
        now_s = asyncio.get_running_loop().time()
        while self._idle and self._idle[0].last_used_s < now_s - self._idle_s:
            self._idle.popleft().close()
        connection.last_used_s = now_s
        self._idle.append(connection)

    def _request(self, call: HttpCall, remaining_s: float) -> HTTPRequest:
        timeout_s = max(remaining_s, _MIN_TIMEOUT_MS / 1000)
        return HTTPRequest(
            f'{self._base_url}{call.path}',
            method=call.method,
            body=call.body,
            headers={'Content-Type': 'application/json', **call.headers},
            connect_timeout=min(timeout_s, self._connect_ms / 1000),
            request_timeout=timeout_s,
            follow_redirects=False,
            decompress_response=False,
            ca_certs=self._ca_certs,
        )


def _reject_seek(offset: int, origin: int) -> int:
    # Without this, curl sends a request again when a reused connection
    # closes before the first byte of the response.
    return pycurl.SEEKFUNC_FAIL


def _error_text(error: CurlError) -> str:
    # curl reports the seek that it was refused, not the closed connection.
    if error.errno == pycurl.E_SEND_FAIL_REWIND:
        return 'the connection closed before a response began'
    return str(error)


def _is_timeout(error: BaseException | None) -> bool:
    return (
        isinstance(error, CurlError)
        and error.errno == pycurl.E_OPERATION_TIMEDOUT
    )
