"""
HTTP client of the platform's workers, which implements `FleetWorker`.
"""

from collections.abc import Coroutine, Mapping
from http import HTTPStatus
from types import MappingProxyType
from typing import Any, TypeVar

import msgspec

from hawthornpier.adapters import (
    AdapterError,
    ConnectionEndedError,
    ConnectionPool,
    CouldNotConnectError,
    HttpReply,
    NotSentError,
)
from hawthornpier.decoding import decode_json
from hawthornpier.fleet import (
    LISTED_ENDS_MAX,
    EndedRun,
    OrderReply,
    Renewal,
    RunningRun,
    StartOrder,
    Verdict,
    WorkerEntry,
    WorkerListing,
)
from hawthornpier.platform import _client
from hawthornpier.platform._bounds import (
    Checkpoint,
    Count,
    Name,
    UnixMs,
    Usage,
)
from hawthornpier.ports import WorkerReplyLostError, WorkerUnreachableError
from hawthornpier.steps import RunOutcome

_CONNECTION_COUNT = 6
_CONNECT_TIMEOUT_MS = 500
_ORDER_TIMEOUT_MS = 700.0
_RENEWAL_TIMEOUT_SLACK_MS = 800.0
_MAX_PERCENT = 100

_REASON_VERDICTS: Mapping[str, Verdict] = MappingProxyType(
    {
        'fence': Verdict.FENCED,
        'old': Verdict.OUTDATED,
        'late': Verdict.TOO_LATE,
        'room': Verdict.NO_CAPACITY,
        'ticket': Verdict.NO_TICKET,
    }
)
_STATUS_VERDICTS: Mapping[int, Verdict] = MappingProxyType(
    {
        HTTPStatus.OK: Verdict.ACCEPTED,
        HTTPStatus.BAD_REQUEST: Verdict.MALFORMED,
        HTTPStatus.MISDIRECTED_REQUEST: Verdict.OTHER_INCARNATION,
        HTTPStatus.TOO_MANY_REQUESTS: Verdict.UNHEALTHY,
        HTTPStatus.SERVICE_UNAVAILABLE: Verdict.UNHEALTHY,
    }
)


_Message = TypeVar('_Message')


class _Reply(msgspec.Struct):
    """
    A worker's reply to an order.
    """

    # The worker's clock.
    clock_ms: UnixMs = 0
    # Why the order was rejected.
    reason: str = ''


class _RunningRow(msgspec.Struct, array_like=True):
    """
    A running run in a listing.
    """

    task: Name
    attempt: Count
    checkpoint: Checkpoint | None
    percent: float
    # Tail latency in ms, or processors in use.
    usage: Usage = 0


class _EndedRow(msgspec.Struct, array_like=True):
    """
    An ended run in a listing.
    """

    number: Count
    task: Name
    attempt: Count
    outcome: RunOutcome
    checkpoint: Checkpoint | None = ''


class _Listing(msgspec.Struct):
    """
    A worker's reply to a renewal: its running and its ended runs.
    """

    # The worker's clock.
    clock_ms: UnixMs
    # Unix time in ms at which this incarnation of the worker started.
    born: UnixMs = 0
    running: list[_RunningRow] = []
    finished: list[_EndedRow] = []


class PlatformWorker:
    """
    Sends requests to one incarnation of a worker.

    The asynchronous methods raise `WorkerUnreachableError` if the request was
    not sent, or `WorkerReplyLostError` if the worker may have received it.

    Args:
        entry: The worker according to the registry.
    """

    def __init__(self, entry: WorkerEntry) -> None:
        self._headers = {'Expect-Instance': entry.worker_id}
        self._pool = ConnectionPool(
            entry.address,
            connection_limit=_CONNECTION_COUNT,
            connect_ms=_CONNECT_TIMEOUT_MS,
        )

    async def renew(self, renewal: Renewal) -> WorkerListing | Verdict:
        """
        Renew the lease.

        Returns:
            The running and ended runs, or why the renewal was rejected.
        """
        body: dict[str, Any] = {
            'fencing_token': renewal.fencing_token,
            'last_seen': renewal.acknowledged_number,
        }
        if renewal.deadline_clock_ms is not None:
            body['deadline_ms'] = renewal.deadline_clock_ms
        if renewal.wait_ms:
            body['wait_ms'] = renewal.wait_ms
        reply = await self._post(
            '/hawthornpier/hold',
            body,
            timeout_ms=renewal.wait_ms + _RENEWAL_TIMEOUT_SLACK_MS,
        )
        if reply.status != HTTPStatus.OK:
            return _decode_order_reply(reply).verdict
        return _decode_listing(reply)

    async def start(self, order: StartOrder) -> OrderReply:
        """
        Start a run; repeating the same order has no further effect.
        """
        body: dict[str, Any] = {
            'task': order.task_key,
            'attempt': order.attempt,
            'spec': order.payload,
            'deadline_ms': order.deadline_clock_ms,
            'fencing_token': order.fencing_token,
        }
        if order.checkpoint:
            body['checkpoint'] = order.checkpoint
        if order.ticket:
            body['ticket'] = order.ticket
        return await self._send_order('/hawthornpier/run-start', body)

    async def stop(
        self, task_key: str, attempt: int, fencing_token: int
    ) -> OrderReply:
        """
        Stop a run, and prevent this and lower attempts from starting.

        This applies to this worker only.
        """
        return await self._send_order(
            '/hawthornpier/run-stop',
            {
                'task': task_key,
                'attempt': attempt,
                'fencing_token': fencing_token,
            },
        )

    async def pace(
        self,
        task_key: str,
        attempt: int,
        percent: int,
        fencing_token: int,
    ) -> OrderReply:
        """
        Throttle a run to a percentage of its full speed.
        """
        return await self._send_order(
            '/hawthornpier/pace',
            {
                'task': task_key,
                'attempt': attempt,
                'percent': percent,
                'fencing_token': fencing_token,
            },
        )

    def close(self) -> None:
        """
        Close the connections.
        """
        self._pool.close()

    async def _send_order(self, path: str, body: dict[str, Any]) -> OrderReply:
        reply = await self._post(path, body, timeout_ms=_ORDER_TIMEOUT_MS)
        return _decode_order_reply(reply)

    async def _post(
        self,
        path: str,
        body: dict[str, Any],
        *,
        timeout_ms: float,
    ) -> HttpReply:
        exchange: Coroutine[Any, Any, HttpReply] = _client.post(
            self._pool,
            path,
            body,
            timeout_ms=timeout_ms,
            headers=self._headers,
        )
        try:
            return await exchange
        except NotSentError as error:
            raise WorkerUnreachableError(
                str(error),
                has_disconnected=isinstance(error, CouldNotConnectError),
            ) from error
        except AdapterError as error:
            raise WorkerReplyLostError(
                str(error),
                has_disconnected=isinstance(error, ConnectionEndedError),
            ) from error


def _decode_order_reply(reply: HttpReply) -> OrderReply:
    if reply.status == HTTPStatus.CONFLICT:
        message = _decode(reply, _Reply)
        verdict = _REASON_VERDICTS.get(message.reason)
        if verdict is None:
            raise WorkerReplyLostError(
                f'the worker rejected the order with unknown reason '
                f'{message.reason!r}',
            )
        return OrderReply(verdict=verdict, clock_ms=message.clock_ms)
    verdict = _STATUS_VERDICTS.get(reply.status)
    if verdict is None:
        raise WorkerReplyLostError(
            f'the worker responded with unexpected status {reply.status}',
        )
    if verdict is not Verdict.ACCEPTED:
        return OrderReply(verdict=verdict)
    return OrderReply(
        verdict=verdict,
        clock_ms=_decode(reply, _Reply).clock_ms,
    )


def _decode(reply: HttpReply, kind: type[_Message]) -> _Message:
    return decode_json(
        reply.body or b'{}',
        kind,
        WorkerReplyLostError,
        subject='reply of the worker',
    )


def _decode_listing(reply: HttpReply) -> WorkerListing:
    listing = _decode(reply, _Listing)
    return WorkerListing(
        incarnation_ms=listing.born,
        clock_ms=listing.clock_ms,
        running=tuple(_decode_running_run(row) for row in listing.running),
        ended=tuple(_decode_ended_run(row) for row in listing.finished),
        has_more_ended=len(listing.finished) >= LISTED_ENDS_MAX,
    )


def _decode_running_run(row: _RunningRow) -> RunningRun:
    return RunningRun(
        task_key=row.task,
        attempt=row.attempt,
        checkpoint=row.checkpoint or '',
        percent=int(min(max(row.percent, 0), _MAX_PERCENT)),
        usage=int(row.usage),
    )


def _decode_ended_run(row: _EndedRow) -> EndedRun:
    return EndedRun(
        number=row.number,
        task_key=row.task,
        attempt=row.attempt,
        kind=row.outcome,
        checkpoint=row.checkpoint or '',
    )
