"""
Serves one simulated worker over HTTP.
"""

from collections.abc import Awaitable
from contextlib import suppress
from http import HTTPStatus
from typing import TypeVar

import msgspec
from tornado.iostream import StreamClosedError
from tornado.web import Application

from hawthornpier.adapters import REQUEST_ID_HEADER
from hawthornpier.messages import (
    EndpointRequest,
    Fence,
    LeaseRenewal,
    StartBatch,
    TaskControl,
)
from hawthornpier.ports import WorkerReplyLostError, WorkerUnreachableError
from hawthornpier_standin.servers._http import (
    LimitedServer,
    MessageHandler,
    listen,
)
from hawthornpier_standin.servers._platform import skip_request_log
from hawthornpier_standin.workers import MemoryWorker, WorkerFaults

_Value = TypeVar('_Value')

# Connections that a worker accepts from all entry processes together.
WORKER_CONNECTIONS = 64


class WorkerServer:
    """
    Serves one `MemoryWorker` on its own port.

    Args:
        worker: The worker; its deadline should be longer than that of any
            client.
        host: Address to listen on.
        port: Port to listen on, or 0 for a free one.
        connection_limit: Largest number of open connections.
    """

    def __init__(
        self,
        worker: MemoryWorker,
        *,
        host: str,
        port: int = 0,
        connection_limit: int = WORKER_CONNECTIONS,
    ) -> None:
        self.worker = worker
        context = {'worker': worker}
        self._server = LimitedServer(
            Application(
                [
                    ('/v1/fence', _FenceHandler, context),
                    ('/v1/starts', _StartsHandler, context),
                    ('/v1/leases', _LeasesHandler, context),
                    ('/v1/tasks/([^/]+)/([a-z]+)', _TaskHandler, context),
                    ('/v1/requests', _RequestsHandler, context),
                    ('/v1/requests/(.+)', _RequestStateHandler, context),
                    ('/v1/report', _ReportHandler, context),
                ],
                log_function=skip_request_log,
            ),
            connection_limit=connection_limit,
        )
        self._port = listen(self._server, host, port)
        self.address = f'{host}:{self._port}'

    @property
    def server(self) -> LimitedServer:
        """
        The HTTP server.
        """
        return self._server

    async def apply_faults(self, faults: WorkerFaults) -> None:
        """
        Replace the faults of the worker; stop listening if it is dead.
        """
        self.worker.apply_faults(faults)
        if faults.is_dead:
            await self.close()

    async def close(self) -> None:
        """
        Stop listening and close all connections.
        """
        self._server.stop()
        await self._server.close_all_connections()


class _WorkerHandler(MessageHandler):
    def initialize(self, worker: MemoryWorker) -> None:
        self.worker = worker

    async def reply_with_result(self, call: Awaitable[_Value]) -> None:
        """
        Wait for a call of the worker and send its result.

        If the reply is lost, send nothing until the client closes the
        connection. If the worker is unreachable, close the connection.
        """
        try:
            result = await call
        except WorkerReplyLostError:
            await self.withhold_response()
            return
        except WorkerUnreachableError:
            self.detach().close()
            return
        self.reply(result)
        if self.worker.faults.duplicates_replies:
            self._repeat(msgspec.json.encode(result))

    def _repeat(self, body: bytes) -> None:
        lines = (
            'HTTP/1.1 200 OK',
            f'{REQUEST_ID_HEADER}: {self.request_id}',
            f'Content-Length: {len(body)}\r\n\r\n',
        )
        # The client may have closed the connection after the first response.
        with suppress(StreamClosedError):
            self.stream().write('\r\n'.join(lines).encode() + body)


class _FenceHandler(_WorkerHandler):
    async def post(self) -> None:
        await self.reply_with_result(self.worker.fence(self.message(Fence)))


class _StartsHandler(_WorkerHandler):
    async def post(self) -> None:
        await self.reply_with_result(
            self.worker.start(self.message(StartBatch))
        )


class _LeasesHandler(_WorkerHandler):
    async def post(self) -> None:
        await self.reply_with_result(
            self.worker.renew(self.message(LeaseRenewal))
        )


class _TaskHandler(_WorkerHandler):
    async def post(self, run_id: str, action: str) -> None:
        control = self.message(TaskControl)
        if (control.run_id, control.action) == (run_id, action):
            await self.reply_with_result(self.worker.control(control))
        else:
            self.set_status(HTTPStatus.BAD_REQUEST)


class _RequestsHandler(_WorkerHandler):
    async def post(self) -> None:
        await self.reply_with_result(
            self.worker.request(self.message(EndpointRequest))
        )


class _RequestStateHandler(_WorkerHandler):
    async def get(self, request_id: str) -> None:
        await self.reply_with_result(self.worker.get_request_status(request_id))


class _ReportHandler(_WorkerHandler):
    async def get(self) -> None:
        await self.reply_with_result(self.worker.report())
