"""
Common parts of the HTTP servers.
"""

import asyncio
from http import HTTPStatus
from typing import Any, TypeVar

import msgspec
from tornado.httpserver import HTTPServer
from tornado.iostream import IOStream
from tornado.netutil import bind_sockets
from tornado.web import Finish, HTTPError, RequestHandler

from hawthornpier.adapters import REQUEST_ID_HEADER

_Message = TypeVar('_Message')

# A response with fewer bytes than its Content-Length.  HTTP clients do not
# retry a request by themselves once its response has begun.
_PARTIAL_RESPONSE = b'HTTP/1.1 200 OK\r\nContent-Length: 64\r\n\r\n{'


class LimitedServer(HTTPServer):
    """
    An HTTP server that limits its connections and can make them hang.
    """

    def initialize(
        self,
        *applications: Any,
        connection_limit: int = 0,
        **options: Any,
    ) -> None:
        """
        Set up the server.

        Args:
            applications: The application that handles the requests.  Its
                setting ``server`` is set to this server.
            connection_limit: Largest number of open connections, or 0 for
                no limit; the server closes further ones at once.
            options: Options of `tornado.httpserver.HTTPServer`.
        """
        self._connection_limit = connection_limit
        self._open: set[IOStream] = set()
        self._hung: set[IOStream] = set()
        for application in applications:
            application.settings['server'] = self
        super().initialize(*applications, **options)

    @property
    def open_count(self) -> int:
        """
        Number of open connections.
        """
        return len(self._open)

    def handle_stream(self, stream: IOStream, address: Any) -> None:
        """
        Serve a new connection, or close it if the limit is reached.
        """
        self._discard_closed_connections()
        if self._connection_limit and self.open_count >= self._connection_limit:
            stream.close()
            return
        self._open.add(stream)
        super().handle_stream(stream, address)

    def on_close(self, server_conn: object) -> None:
        """
        Stop tracking a closed connection.
        """
        super().on_close(server_conn)
        self._discard_closed_connections()

    def hang_open_connections(self) -> None:
        """
        Ignore all further requests on the currently open connections.
        """
        self._hung |= self._open

    def is_hung(self, stream: IOStream) -> bool:
        """
        Return whether requests on a connection are ignored.
        """
        return stream in self._hung

    def _discard_closed_connections(self) -> None:
        self._open = {stream for stream in self._open if not stream.closed()}
        self._hung &= self._open


class MessageHandler(RequestHandler):
    """
    Handles requests and responses whose bodies are JSON messages.
    """

    @property
    def server(self) -> LimitedServer:
        """
        The server that accepted the connection.
        """
        server: LimitedServer = self.settings['server']
        return server

    def set_default_headers(self) -> None:
        """
        Set the header with the request id, and omit headers nobody reads.
        """
        self.clear_header('Server')
        self.clear_header('Date')
        self.set_header(REQUEST_ID_HEADER, self.request_id)

    @property
    def request_id(self) -> str:
        """
        The id of the HTTP request, which its response returns.
        """
        return self.request.headers.get(REQUEST_ID_HEADER, '')

    def compute_etag(self) -> None:
        """
        Omit the ETag header.
        """

    async def prepare(self) -> None:
        """
        Ignore the request if its connection is hung.
        """
        self._connection_closed = asyncio.Event()
        if self.server.is_hung(self.stream()):
            await self.withhold_response()
            # The client has closed the connection; the request must not take
            # effect.
            raise Finish

    def on_connection_close(self) -> None:
        """
        Record that the client has closed the connection.
        """
        self._connection_closed.set()

    def message(self, message_type: type[_Message]) -> _Message:
        """
        Decode the body of the request.

        Raises:
            HTTPError: The body is not a message of this type (status 400).
        """
        try:
            return msgspec.json.decode(self.request.body, type=message_type)
        except (msgspec.DecodeError, UnicodeDecodeError) as error:
            raise HTTPError(
                HTTPStatus.BAD_REQUEST,
                log_message=str(error),
            ) from error

    def reply(self, message: object) -> None:
        """
        Send *message* as the response.
        """
        self.set_header('Content-Type', 'application/json')
        self.finish(msgspec.json.encode(message))

    def abort_response(self) -> None:
        """
        Close the connection after a part of a response.
        """
        stream = self.detach()
        stream.write(_PARTIAL_RESPONSE)
        stream.close()

    async def withhold_response(self) -> None:
        """
        Wait until the client closes the connection, and send nothing.
        """
        await self._connection_closed.wait()

    def stream(self) -> IOStream:
        """
        Return the connection of the request.
        """
        connection: Any = self.request.connection
        stream: IOStream = connection.stream
        return stream


def listen(server: LimitedServer, host: str, port: int) -> int:
    """
    Start to listen and return the port, a free one if *port* is 0.
    """
    sockets = bind_sockets(port, host)
    server.add_sockets(sockets)
    chosen: int = sockets[0].getsockname()[1]
    return chosen
