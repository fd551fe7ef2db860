"""
What the HTTP servers of the stand-ins have in common.
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

# Announces more than it sends: clients do not repeat a request by themselves
# once a response has begun.
_PARTIAL_RESPONSE = b'HTTP/1.1 200 OK\r\nContent-Length: 64\r\n\r\n{'


class LimitedServer(HTTPServer):
    """
    An HTTP server with a limit of connections, which can let them hang.
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
            applications: The application that handles the requests; its
                handlers find this server in its settings.
            connection_limit: Largest number of open connections, or 0 for
                no limit; further ones are closed at once.
            options: Options of tornado's server.
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
        Serve a new connection, or close it when there are too many.
        """
        self._discard_closed_connections()
        if self._connection_limit and self.open_count >= self._connection_limit:
            stream.close()
            return
        self._open.add(stream)
        super().handle_stream(stream, address)

    def on_close(self, server_conn: object) -> None:
        """
        Forget a closed connection.
        """
        super().on_close(server_conn)
        self._discard_closed_connections()

    def hang_open_connections(self) -> None:
        """
        Ignore all further requests on the connections that are open now.
        """
        self._hung |= self._open

    def is_hung(self, stream: IOStream) -> bool:
        """
        Tell whether the requests on a connection are ignored.
        """
        return stream in self._hung

    def _discard_closed_connections(self) -> None:
        self._open = {stream for stream in self._open if not stream.closed()}
        self._hung &= self._open


class MessageHandler(RequestHandler):
    """
    Decodes and encodes JSON messages.
    """

    @property
    def server(self) -> LimitedServer:
        """
        The server of the connection.
        """
        server: LimitedServer = self.settings['server']
        return server

    def set_default_headers(self) -> None:
        """
        Repeat the id of the request, and leave out headers without use.
        """
        self.clear_header('Server')
        self.clear_header('Date')
        self.set_header(REQUEST_ID_HEADER, self.request_id)

    @property
    def request_id(self) -> str:
        """
        The id of the HTTP request, which its response repeats.
        """
        return self.request.headers.get(REQUEST_ID_HEADER, '')

    def compute_etag(self) -> None:
        """
        Compute no hash of the response.
        """

    async def prepare(self) -> None:
        """
        Ignore the request if its connection hangs.
        """
        self._connection_closed = asyncio.Event()
        if self.server.is_hung(self.stream()):
            await self.withhold_response()
            # The client has gone; the request must not take effect.
            raise Finish

    def on_connection_close(self) -> None:
        """
        Note that the client has gone.
        """
        self._connection_closed.set()

    def message(self, message_type: type[_Message]) -> _Message:
        """
        Return the message in the request's body.
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
        Send a message as the response.
        """
        self.set_header('Content-Type', 'application/json')
        self.finish(msgspec.json.encode(message))

    def abort_response(self) -> None:
        """
        Close the connection in the middle of a response.
        """
        stream = self.detach()
        stream.write(_PARTIAL_RESPONSE)
        stream.close()

    async def withhold_response(self) -> None:
        """
        Send nothing until the client closes the connection.
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
    Let *server* listen; return the port, which is chosen if *port* is 0.
    """
    sockets = bind_sockets(port, host)
    server.add_sockets(sockets)
    chosen: int = sockets[0].getsockname()[1]
    return chosen
