"""
Connections between the owner and relays over WebSockets.
"""

import asyncio
from typing import Protocol

from tornado.httpclient import HTTPError
from tornado.iostream import StreamClosedError
from tornado.websocket import (
    WebSocketClientConnection,
    WebSocketClosedError,
    WebSocketError,
    WebSocketHandler,
    websocket_connect,
)

from hawthornpier.decoding import DecodingError
from hawthornpier.events import DecisionLog
from hawthornpier.fleet._peer_client import PEER_PREFIX
from hawthornpier.fleet._relay_session import RelaySession, SendBatch
from hawthornpier.ports import PeerUnreachableError

RELAY_PATH = f'{PEER_PREFIX}/relay'
_CONNECT_TIMEOUT_S = 0.5
_CONNECT_ERRORS = (
    OSError,
    HTTPError,
    StreamClosedError,
    TimeoutError,
    # The address is malformed.
    ValueError,
    WebSocketError,
)


class RelayServices(Protocol):
    """
    The operations of this process that the handler calls.
    """

    @property
    def log(self) -> DecisionLog:
        """
        Return the log of scheduling decisions.
        """
        ...

    def open_relay(self, send: SendBatch) -> RelaySession:
        """
        Begin to relay the requests of an owner.
        """
        ...


class RelayHandler(WebSocketHandler):
    """
    Accepts the connection of an owner and relays its requests to workers.
    """

    def initialize(self, services: RelayServices) -> None:
        """
        Store the dependency that the route specifies.
        """
        self.services = services
        self._session: RelaySession | None = None

    def open(self) -> None:
        """
        Begin a session.
        """
        self.set_nodelay(True)
        self._session = self.services.open_relay(self._send)

    def on_message(self, message: str | bytes) -> None:
        """
        Start the calls of a batch; close the connection if it is unreadable.
        """
        if self._session is None:
            return
        content = message.encode() if isinstance(message, str) else message
        try:
            self._session.receive(content)
        except DecodingError as error:
            self.services.log.record('relay_batch_unreadable', why=str(error))
            self.close()

    def on_close(self) -> None:
        """
        End the session.
        """
        if self._session is not None:
            self._session.close()
            self._session = None

    def _send(self, content: bytes) -> None:
        try:
            _ignore_result(self.write_message(content, binary=True))
        except WebSocketClosedError:
            self.on_close()


class ClientSocket:
    """
    The owner's end of a connection; implements `RelaySocket`.
    """

    def __init__(self, connection: WebSocketClientConnection) -> None:
        self._connection = connection

    def send(self, content: bytes) -> None:
        """
        Queue a message; it is lost if the connection has ended.
        """
        try:
            _ignore_result(
                self._connection.write_message(content, binary=True),
            )
        except WebSocketClosedError:
            return

    async def receive(self) -> bytes | None:
        """
        Return the next message, or None at the end of the connection.
        """
        message = await self._connection.read_message()
        return message.encode() if isinstance(message, str) else message

    def close(self) -> None:
        """
        Close the connection.
        """
        self._connection.close()


async def connect_relay(address: str) -> ClientSocket:
    """
    Connect to the relay at an address.

    Raises:
        PeerUnreachableError: The connection was not established.
    """
    try:
        async with asyncio.timeout(_CONNECT_TIMEOUT_S):
            connection = await websocket_connect(
                f'ws://{address}{RELAY_PATH}',
                connect_timeout=_CONNECT_TIMEOUT_S,
            )
    except _CONNECT_ERRORS as error:
        raise PeerUnreachableError(f'{address}: {error}') from error
    return ClientSocket(connection)


def _ignore_result(sent: 'asyncio.Future[None]') -> None:
    # A failed write ends the connection, which the reader notices.
    sent.add_done_callback(_read_exception)


def _read_exception(sent: 'asyncio.Future[None]') -> None:
    if not sent.cancelled():
        sent.exception()
