"""
A pool of persistent HTTP connections to one address.
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
    ConnectionEndedError,
    CouldNotConnectError,
    NotSentError,
    ReplyLostError,
)

# If the server copies this header from the request to the response, the client
# detects a response to an earlier request on the same connection.
REQUEST_ID_HEADER = 'X-Request-Id'
_REQUEST_ID_NAME = REQUEST_ID_HEADER.lower().encode()
_CALL_IDS = map(str, itertools.count(1))

# The smallest size that curl accepts.  Each connection has its own buffer, and
# the default of 64 KiB is far larger than a message.
_UPLOAD_BUFFER_BYTES = 16_384

# How long after the deadline of a call curl may report its end.
_CLIENT_GRACE_MS = 500

# curl treats a timeout of zero as no timeout.
_MIN_TIMEOUT_MS = 1


@dataclass(frozen=True, slots=True, kw_only=True)
class HttpCall:
    """
    An HTTP request, with the time limit for the whole exchange.
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

    Each connection has its own client, so that a suspect connection can be
    closed without affecting the others.

    Args:
        generation: The generation of the pool in which the connection was
            opened; the pool does not reuse connections of earlier generations.
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
            # Before it connects, tornado rejects an invalid address or header.
            raise NotSentError(str(error)) from error
        if self._echoed_id != self._call_id:
            raise ReplyLostError('the response belongs to an earlier request')
        return HttpReply(status=response.code, body=response.body)

    def close(self) -> None:
        """
        Close the connection once tornado's queued callbacks have run.
        """
        asyncio.get_running_loop().call_soon(self._client.close)

    def _convert_error(self, error: CurlError) -> AdapterError:
        if self._is_sent:
            kind = (
                ReplyLostError if _is_timeout(error) else ConnectionEndedError
            )
            return kind(_error_text(error))
        if error.errno == pycurl.E_COULDNT_CONNECT:
            return CouldNotConnectError(_error_text(error))
        return NotSentError(_error_text(error))

    def _configure_curl(self, curl: pycurl.Curl) -> None:
        curl.setopt(pycurl.HTTP_VERSION, pycurl.CURL_HTTP_VERSION_1_1)
        # An empty name overrides a proxy set in the environment.
        curl.setopt(pycurl.PROXY, '')
        curl.setopt(pycurl.SEEKFUNCTION, _reject_seek)
        curl.setopt(pycurl.UPLOAD_BUFFERSIZE, _UPLOAD_BUFFER_BYTES)
        # This replaces tornado's callback, which parses every header although
        # only one is used.
        curl.setopt(pycurl.HEADERFUNCTION, self._record_echoed_id)
        # curl calls this once connected, just before it sends the first byte.
        # Its timing fields cannot show whether anything was sent, because a
        # failure to connect sets them as well.
        curl.setopt(pycurl.PREREQFUNCTION, self._record_send)

    def _record_echoed_id(self, line: bytes) -> None:
        name, _, text = line.partition(b':')
        if name.lower() == _REQUEST_ID_NAME:
            self._echoed_id = text.strip().decode('latin1')

    def _record_send(self, *addresses: object) -> int:
        self._is_sent = True
        return pycurl.PREREQFUNC_OK


class ConnectionPool:
    """
    Sends HTTP requests to one address over a limited number of connections.

    After a timeout, the connections that were open at that time are not
    reused, because open connections may hang forever while new ones work.

    A request with a body is sent at most once: curl's automatic retry on a new
    connection is disabled for it.

    Args:
        address: Host and port, or a URL without a path.
        connection_limit: Maximum number of open connections.
        connect_ms: Time limit for connecting.
        idle_ms: Time after which an unused connection is closed; otherwise
            the connections of a burst would keep their memory forever.
        ca_certs: File with the trusted CA certificates, for HTTPS.
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
        # Ordered by last use; the most recently used connection, at the end,
        # is reused first.
        self._idle: deque[_Connection] = deque()
        self._generation = 0
        self._is_closed = False

    async def send(self, call: HttpCall) -> HttpReply:
        """
        Send *call* and return the complete response, whatever its status.

        Raises:
            NotSentError: Nothing was sent.
            ReplyLostError: The request may have arrived.
        """
        if self._is_closed or call.deadline_ms <= 0:
            raise NotSentError('the pool is closed or the deadline has passed')
        loop = asyncio.get_running_loop()
        end_s = loop.time() + call.deadline_ms / 1000
        await self._acquire_permit(end_s)
        remaining_s = end_s - loop.time()
        connection = self._acquire_connection()
        # If the calling task is cancelled, the exchange continues and keeps
        # its permit, because the connection is in use until the response ends.
        request = self._request(call, remaining_s)
        exchange = asyncio.ensure_future(connection.fetch(request))
        exchange.add_done_callback(
            partial(self._release_connection, connection)
        )
        await asyncio.wait({exchange}, timeout=remaining_s)
        # After a pause of this process, the deadline passes before a reply that
        # has arrived is read.
        if not exchange.done():
            await asyncio.wait({exchange}, timeout=_CLIENT_GRACE_MS / 1000)
        if exchange.cancelled():
            # The caller was not, so it must not take this for its own end.
            raise ReplyLostError('the client cancelled the call')
        if exchange.done():
            return exchange.result()
        exchange.cancel()
        raise ReplyLostError('the client did not report the end of the call')

    def close(self) -> None:
        """
        Close idle connections now, and the others when their calls end.
        """
        self._is_closed = True
        self.retire()

    def retire(self) -> None:
        """
        Stop reusing the connections that are open now.
        """
        self._generation += 1
        while self._idle:
            self._idle.pop().close()

    async def _acquire_permit(self, end_s: float) -> None:
        try:
            async with asyncio.timeout_at(end_s):
                await self._connection_permits.acquire()
        except TimeoutError as error:
            raise NotSentError(
                'no connection became free before the deadline'
            ) from error

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
    # If curl could rewind the request body, it would resend the request when a
    # reused connection closes before the first byte of the response.
    return pycurl.SEEKFUNC_FAIL


def _error_text(error: CurlError) -> str:
    # curl reports the rejected seek instead of the closed connection.
    if error.errno == pycurl.E_SEND_FAIL_REWIND:
        return 'the connection closed before the response began'
    return str(error)


def _is_timeout(error: BaseException | None) -> bool:
    return (
        isinstance(error, CurlError)
        and error.errno == pycurl.E_OPERATION_TIMEDOUT
    )
