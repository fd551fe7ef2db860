"""
Serves the simulated store and host list over HTTP.
"""

from collections.abc import Awaitable
from http import HTTPStatus
from typing import TypeVar

from tornado.web import Application

from hawthornpier.messages import HostRecord, Transaction
from hawthornpier.ports import StoreReplyLostError, StoreUnavailableError
from hawthornpier_standin.platform import MemoryStore, StoreFaults
from hawthornpier_standin.servers._http import (
    LimitedServer,
    MessageHandler,
    listen,
)

_Value = TypeVar('_Value')


class PlatformServer:
    """
    Serves one `MemoryStore` over HTTP.

    Args:
        store: The store; its faults apply to the HTTP calls as well.
    """

    def __init__(self, store: MemoryStore) -> None:
        context = {'store': store}
        self._server = LimitedServer(
            Application(
                [
                    ('/v1/transactions', _TransactionHandler, context),
                    ('/v1/rows', _ScanHandler, context),
                    ('/v1/rows/(.+)', _RowHandler, context),
                    ('/v1/objects/(.+)', _ObjectHandler, context),
                    ('/v1/hosts', _HostsHandler, context),
                    ('/control/v1/faults', _FaultsHandler, context),
                    ('/control/v1/hang', _HangHandler, context),
                    ('/control/v1/hosts', _HostControlHandler, context),
                    ('/control/v1/hosts/(.+)', _HostControlHandler, context),
                ],
                log_function=skip_request_log,
            ),
        )

    def listen(self, host: str, port: int = 0) -> int:
        """
        Start to listen and return the port, a free one if *port* is 0.
        """
        return listen(self._server, host, port)

    async def close(self) -> None:
        """
        Stop listening and close all connections.
        """
        self._server.stop()
        await self._server.close_all_connections()


def skip_request_log(handler: object) -> None:
    """
    Write no log line for the request.
    """


class _StoreHandler(MessageHandler):
    def initialize(self, store: MemoryStore) -> None:
        self.store = store

    async def result_of(self, call: Awaitable[_Value]) -> _Value | None:
        """
        Wait for a call of the store and return its result.

        If the call fails, respond with status 503 or abort the response, and
        return None.
        """
        try:
            return await call
        except StoreUnavailableError:
            self.set_status(HTTPStatus.SERVICE_UNAVAILABLE)
            self.finish()
        except StoreReplyLostError:
            self.abort_response()
        return None

    def reply_or_not_found(self, message: object | None) -> None:
        """
        Send *message*, or status 404 if it is None.

        Does nothing if the response has been sent already.
        """
        if self._finished:
            return
        if message is None:
            self.set_status(HTTPStatus.NOT_FOUND)
            self.finish()
        else:
            self.reply(message)


class _TransactionHandler(_StoreHandler):
    async def post(self) -> None:
        call = self.store.transact(self.message(Transaction))
        committed = await self.result_of(call)
        if committed is not None:
            self.reply(committed)


class _ScanHandler(_StoreHandler):
    async def get(self) -> None:
        prefix = self.get_query_argument('prefix', '', strip=False)
        rows = await self.result_of(self.store.scan(prefix))
        if rows is not None:
            self.reply(rows)


class _RowHandler(_StoreHandler):
    async def get(self, key: str) -> None:
        self.reply_or_not_found(await self.result_of(self.store.read(key)))


class _ObjectHandler(_StoreHandler):
    async def get(self, name: str) -> None:
        content = await self.result_of(self.store.get(name))
        if content is None:
            self.reply_or_not_found(None)
        else:
            self.finish(content)

    async def put(self, name: str) -> None:
        await self.result_of(self.store.put(name, self.request.body))


class _HostsHandler(_StoreHandler):
    async def get(self) -> None:
        listing = await self.result_of(self.store.listing())
        if listing is not None:
            self.reply(listing)


class _FaultsHandler(_StoreHandler):
    def get(self) -> None:
        self.reply(self.store.faults)

    def put(self) -> None:
        self.store.apply_faults(self.message(StoreFaults))
        self.reply(self.store.faults)


class _HangHandler(_StoreHandler):
    def post(self) -> None:
        self.server.hang_open_connections()


class _HostControlHandler(_StoreHandler):
    def put(self) -> None:
        self.store.hosts.put(*self.message(tuple[HostRecord, ...]))

    def delete(self, worker_id: str) -> None:
        self.store.hosts.remove(worker_id)
