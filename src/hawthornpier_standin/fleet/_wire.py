"""
The stand-ins over HTTP, as the users' platform speaks.
"""

import base64
from http import HTTPStatus
from types import MappingProxyType
from typing import Any

import msgspec
from tornado.web import Application, RequestHandler

from hawthornpier.fleet import (
    EndedRun,
    HistoryGoneError,
    Renewal,
    RowPage,
    RowTransaction,
    RunningRun,
    StartOrder,
    StoredRow,
    Verdict,
    WorkerListing,
)
from hawthornpier.ports import WorkerError
from hawthornpier_standin.fleet._store import StandinRowStore
from hawthornpier_standin.fleet._worker import StandinFleetWorker
from hawthornpier_standin.fleet._worker_client import StandinWorkerClient

_PREFIX = '/hawthornpier'
# Tables that only the operator and the workers write.
_READ_ONLY_TABLES = frozenset(('op', 'servers'))
_REASONS = MappingProxyType(
    {
        Verdict.FENCED: 'fence',
        Verdict.OUTDATED: 'old',
        Verdict.TOO_LATE: 'late',
        Verdict.NO_ROOM: 'room',
        Verdict.NO_TICKET: 'ticket',
    },
)


class _Handler(RequestHandler):
    """
    Answers in JSON.
    """

    def body(self) -> dict[str, Any]:
        """
        Return the decoded body.
        """
        document: dict[str, Any] = msgspec.json.decode(self.request.body)
        return document

    def reply(
        self,
        document: Any,
        status: HTTPStatus = HTTPStatus.OK,
    ) -> None:
        """
        Finish with a body.
        """
        self.set_status(status)
        self.finish(msgspec.json.encode(document))


class _StoreHandler(_Handler):
    """
    Has the store.
    """

    def initialize(self, store: StandinRowStore) -> None:
        """
        Take the store.
        """
        self.store = store

    def reply_page(self, page: RowPage) -> None:
        """
        Finish with rows.
        """
        self.reply(
            {
                'rows': [_encode_row(row) for row in page.rows],
                'has_more': page.has_more,
                'ver': page.version,
                'now_ms': page.store_ms,
            },
        )


class _TransactionHandler(_StoreHandler):
    """
    Applies transactions.
    """

    async def post(self) -> None:
        """
        Answer 200, or 412 with the rows that were expected.
        """
        body = self.body()
        entries = body['expected'] + body['writes'] + body['remove']
        parts = {entry.get('part', '') for entry in entries}
        writes = body['writes'] + body['remove']
        if len(parts) != 1 or any(
            entry['table'] in _READ_ONLY_TABLES for entry in writes
        ):
            self.reply({}, HTTPStatus.FORBIDDEN)
            return
        outcome = await self.store.transact(
            RowTransaction(
                part=parts.pop(),
                expected={
                    (entry['table'], entry['key']): entry['ver']
                    for entry in body['expected']
                },
                writes={
                    (entry['table'], entry['key']): base64.b64decode(
                        entry['value'],
                    )
                    for entry in body['writes']
                },
                removals=tuple(
                    (entry['table'], entry['key']) for entry in body['remove']
                ),
            ),
        )
        self.reply(
            {
                'ver': outcome.version,
                'now_ms': outcome.store_ms,
                'rows': [_encode_row(row) for row in outcome.rows],
            },
            HTTPStatus.OK
            if outcome.is_applied
            else HTTPStatus.PRECONDITION_FAILED,
        )


class _ReadHandler(_StoreHandler):
    """
    Returns rows.
    """

    def get(self) -> None:
        """
        Answer with a range of a part.
        """
        self.reply_page(
            self.store.page(
                self.get_query_argument('table'),
                self.get_query_argument('part', ''),
                self.get_query_argument('from', '', strip=False),
                self.get_query_argument('to', '', strip=False),
            ),
        )


class _ChangesHandler(_StoreHandler):
    """
    Returns changes.
    """

    async def get(self) -> None:
        """
        Answer as soon as there is a change.
        """
        try:
            page = await self.store.changes(
                self.get_query_argument('table'),
                int(self.get_query_argument('after')),
                float(self.get_query_argument('wait_ms', '0')),
            )
        except HistoryGoneError:
            self.reply({}, HTTPStatus.GONE)
        else:
            self.reply_page(page)


class _WorkerHandler(_Handler):
    """
    Has one worker.
    """

    def initialize(self, worker: StandinFleetWorker) -> None:
        """
        Take the worker.
        """
        self.worker = worker

    def client(self) -> StandinWorkerClient:
        """
        Return a client of the current life, which has the faults.
        """
        return StandinWorkerClient(
            self.worker, self.worker.entry.incarnation_ms
        )

    def reply_verdict(self, verdict: Verdict) -> None:
        """
        Finish with the answer to an order.
        """
        if verdict is Verdict.ACCEPTED:
            self.reply({'clock_ms': self.worker.clock_ms})
            return
        if verdict is Verdict.UNHEALTHY:
            self.reply({}, HTTPStatus.SERVICE_UNAVAILABLE)
            return
        self.reply(
            {'clock_ms': self.worker.clock_ms, 'reason': _REASONS[verdict]},
            HTTPStatus.CONFLICT,
        )


class _StartHandler(_WorkerHandler):
    """
    Starts runs.
    """

    async def post(self) -> None:
        """
        Answer whether the run is there.
        """
        body = self.body()
        order = StartOrder(
            task_key=body['task'],
            attempt=body['attempt'],
            payload=body['spec'],
            epoch=body['fencing_token'],
            deadline_clock_ms=body['deadline_ms'],
            checkpoint=body.get('checkpoint', ''),
        )
        try:
            reply = await self.client().start(order)
        except WorkerError:
            self.request.connection.close()  # type: ignore[union-attr]
            return
        self.reply_verdict(reply.verdict)


class _StopHandler(_WorkerHandler):
    """
    Stops runs.
    """

    def post(self) -> None:
        """
        Answer when the stop has begun.
        """
        body = self.body()
        reply = self.worker.stop(
            body['task'],
            body['attempt'],
            body['fencing_token'],
        )
        self.reply_verdict(reply.verdict)


class _ThrottleHandler(_WorkerHandler):
    """
    Changes the pace of runs.
    """

    def post(self) -> None:
        """
        Answer when the pace holds.
        """
        body = self.body()
        reply = self.worker.pace(
            body['task'],
            body['attempt'],
            body['percent'],
            body['fencing_token'],
        )
        self.reply_verdict(reply.verdict)


class _RenewalHandler(_WorkerHandler):
    """
    Renews the lease.
    """

    async def post(self) -> None:
        """
        Answer with both lists.
        """
        body = self.body()
        renewal = Renewal(
            epoch=body['fencing_token'],
            acknowledged_number=body['last_seen'],
            deadline_clock_ms=body.get('deadline_ms'),
            wait_ms=body.get('wait_ms', 0),
        )
        client = self.client()
        result = await client.renew(renewal)
        if isinstance(result, WorkerListing):
            self.reply(_encode_listing(result))
        else:
            self.reply_verdict(result)


def store_application(store: StandinRowStore) -> Application:
    """
    Return the store's interface.
    """
    options = {'store': store}
    return Application(
        [
            (f'{_PREFIX}/rows-tx', _TransactionHandler, options),
            (f'{_PREFIX}/rows-get', _ReadHandler, options),
            (f'{_PREFIX}/rows-feed', _ChangesHandler, options),
        ],
    )


def worker_application(worker: StandinFleetWorker) -> Application:
    """
    Return a worker's interface.
    """
    options = {'worker': worker}
    return Application(
        [
            (f'{_PREFIX}/run-start', _StartHandler, options),
            (f'{_PREFIX}/run-stop', _StopHandler, options),
            (f'{_PREFIX}/pace', _ThrottleHandler, options),
            (f'{_PREFIX}/hold', _RenewalHandler, options),
        ],
    )


def _encode_row(row: StoredRow) -> dict[str, Any]:
    return {
        'table': row.table,
        'part': row.part,
        'key': row.key,
        'value': base64.b64encode(row.content).decode(),
        'ver': row.version,
        'tombstone': row.is_deleted,
    }


def _encode_listing(listing: WorkerListing) -> dict[str, Any]:
    return {
        'clock_ms': listing.clock_ms,
        'born': listing.incarnation_ms,
        'running': [_encode_run(row) for row in listing.running],
        'finished': [_encode_ended_run(row) for row in listing.ended],
    }


def _encode_run(row: RunningRun) -> list[Any]:
    return [
        row.task_key,
        row.attempt,
        row.checkpoint,
        row.percent,
        row.usage,
    ]


def _encode_ended_run(row: EndedRun) -> list[Any]:
    return [
        row.number,
        row.task_key,
        row.attempt,
        row.kind,
        row.checkpoint,
    ]
