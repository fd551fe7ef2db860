"""
Serves the simulated store and workers over the platform's HTTP interface.
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
# Tables that only the operator and the workers may write.
_READ_ONLY_TABLES = frozenset(('op', 'servers'))
_REASONS = MappingProxyType(
    {
        Verdict.FENCED: 'fence',
        Verdict.OUTDATED: 'old',
        Verdict.TOO_LATE: 'late',
        Verdict.NO_CAPACITY: 'room',
        Verdict.NO_TICKET: 'ticket',
    },
)


class _Handler(RequestHandler):
    """
    Handles requests and responses whose bodies are JSON documents.
    """

    def body(self) -> dict[str, Any]:
        """
        Return the decoded body of the request.
        """
        document: dict[str, Any] = msgspec.json.decode(self.request.body)
        return document

    def reply(
        self,
        document: Any,
        status: HTTPStatus = HTTPStatus.OK,
    ) -> None:
        """
        Send *document* as the response.
        """
        self.set_status(status)
        self.finish(msgspec.json.encode(document))


class _StoreHandler(_Handler):
    """
    Handles requests to the store.
    """

    def initialize(self, store: StandinRowStore) -> None:
        """
        Set the store.
        """
        self.store = store

    def reply_page(self, page: RowPage) -> None:
        """
        Send rows as the response.
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
    Handles transactions.
    """

    async def post(self) -> None:
        """
        Apply the transaction of the request.

        The response has status 200 if it was applied, or 412 and the current
        rows if its condition does not hold.  A transaction that writes to
        several partitions or to a read-only table is rejected with 403.
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
    Handles reads of rows.
    """

    def get(self) -> None:
        """
        Send the rows of a key range of one partition.
        """
        self.reply_page(
            self.store.page(
                self.get_query_argument('table'),
                self.get_query_argument('part', ''),
                self.get_query_argument('from', '', strip=False),
                self.get_query_argument('to', '', strip=False),
                row_limit=int(self.get_query_argument('limit')),
            ),
        )


class _ChangesHandler(_StoreHandler):
    """
    Handles requests for the changes of a table.
    """

    async def get(self) -> None:
        """
        Send the changes, as soon as there is one or the wait is over.

        The response has status 410 if the store has discarded them.
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
    Handles requests to one worker.
    """

    def initialize(self, worker: StandinFleetWorker) -> None:
        """
        Set the worker.
        """
        self.worker = worker

    def client(self) -> StandinWorkerClient:
        """
        Return a client of the current incarnation.

        Calls by the client are subject to the faults of the worker.
        """
        return StandinWorkerClient(self.worker, self.worker.entry)

    def reply_verdict(self, verdict: Verdict) -> None:
        """
        Send the response for a verdict.
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
    Handles requests to start a run.
    """

    async def post(self) -> None:
        """
        Start the run, and respond with the verdict.

        If the client raises an error, close the connection without a
        response.
        """
        body = self.body()
        order = StartOrder(
            task_key=body['task'],
            attempt=body['attempt'],
            payload=body['spec'],
            fencing_token=body['fencing_token'],
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
    Handles requests to stop a run.
    """

    def post(self) -> None:
        """
        Begin to stop the run, and respond without waiting for its end.
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
    Handles requests to throttle a run.
    """

    def post(self) -> None:
        """
        Set the speed of the run, and respond with the verdict.
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
    Handles renewals of the lease.
    """

    async def post(self) -> None:
        """
        Renew the lease, and respond with the running and the ended runs.
        """
        body = self.body()
        renewal = Renewal(
            fencing_token=body['fencing_token'],
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
    Return the HTTP application of a store.
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
    Return the HTTP application of a worker.
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
