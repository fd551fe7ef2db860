"""
Simulates the connection from the owner of a shard to a worker.
"""

import asyncio

from hawthornpier.fleet import (
    OrderReply,
    Renewal,
    StartOrder,
    Verdict,
    WorkerEntry,
    WorkerListing,
)
from hawthornpier.ports import WorkerReplyLostError, WorkerUnreachableError
from hawthornpier_standin.fleet._worker import TICK_MS, StandinFleetWorker
from hawthornpier_standin.fleet._worker_model import WorkerFault

_REPLY_DELAY_MS = 1.0
_TIMEOUT_MS = 700.0
_OTHER_INCARNATION = OrderReply(verdict=Verdict.OTHER_INCARNATION)


class StandinWorkerClient:
    """
    Implements `FleetWorker` for one incarnation of a simulated worker.

    Args:
        worker: The worker at the address of the incarnation.
        entry: The registry entry of the incarnation.
    """

    def __init__(self, worker: StandinFleetWorker, entry: WorkerEntry) -> None:
        self._worker = worker
        self._entry = entry

    async def renew(self, renewal: Renewal) -> WorkerListing | Verdict:
        """
        Renew the lease.

        The reply is delayed by up to `Renewal.wait_ms`, until there is an
        ended run to list.
        """
        if not await self._begin_call():
            return Verdict.OTHER_INCARNATION
        incarnation_ms = self._worker.entry.incarnation_ms
        reply = self._worker.renew(renewal)
        end_ms = self._worker.clock_ms + renewal.wait_ms
        while (
            isinstance(reply, WorkerListing)
            and not self._worker.ended_runs
            and self._worker.clock_ms < end_ms
        ):
            await asyncio.sleep(TICK_MS / 1000)
            await self._raise_if_unreachable()
            if self._worker.entry.incarnation_ms != incarnation_ms:
                raise WorkerReplyLostError(
                    'the worker closed the connection', has_disconnected=True
                )
            reply = self._worker.listing()
        await self._raise_if_reply_is_lost()
        return self._worker.wrong_replies.next_to_renewal(reply)

    async def start(self, order: StartOrder) -> OrderReply:
        """
        Start a run.
        """
        if not await self._begin_call():
            return _OTHER_INCARNATION
        if self._worker.fault is WorkerFault.REFUSE:
            return OrderReply(verdict=Verdict.UNHEALTHY)
        if self._worker.fault is WorkerFault.CRASH:
            self._worker.crash_and_refuse()
            raise WorkerReplyLostError(
                'the worker closed the connection', has_disconnected=True
            )
        if self._worker.fault is WorkerFault.START_LATE:
            self._worker.start_late(order)
            await asyncio.sleep(_TIMEOUT_MS / 1000)
            raise WorkerReplyLostError('the worker did not reply in time')
        reply = self._worker.start(order)
        await self._raise_if_reply_is_lost()
        return reply

    async def stop(
        self, task_key: str, attempt: int, fencing_token: int
    ) -> OrderReply:
        """
        Stop a run.
        """
        if not await self._begin_call():
            return _OTHER_INCARNATION
        reply = self._worker.stop(task_key, attempt, fencing_token)
        await self._raise_if_reply_is_lost()
        return reply

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
        if not await self._begin_call():
            return _OTHER_INCARNATION
        return self._worker.pace(task_key, attempt, percent, fencing_token)

    def close(self) -> None:
        """
        Do nothing, as there are no network connections.
        """

    async def _begin_call(self) -> bool:
        """
        Return whether the request reaches the intended worker id.

        Another worker at the same address rejects it, but a later incarnation
        with the same id does not.
        """
        await asyncio.sleep(_REPLY_DELAY_MS / 1000)
        if not self._worker.is_up and self._worker.is_refusing:
            raise WorkerUnreachableError(
                'the connection was refused', has_disconnected=True
            )
        await self._raise_if_unreachable()
        return self._worker.entry.worker_id == self._entry.worker_id

    async def _raise_if_reply_is_lost(self) -> None:
        if self._worker.fault is WorkerFault.LOSE_REPLIES:
            await asyncio.sleep(_TIMEOUT_MS / 1000)
            raise WorkerReplyLostError('the reply was lost')

    async def _raise_if_unreachable(self) -> None:
        if self._worker.fault is WorkerFault.RESET:
            raise WorkerReplyLostError(
                'the connection was reset', has_disconnected=True
            )
        if not self._worker.is_up and self._worker.is_refusing:
            raise WorkerReplyLostError(
                'the worker closed the connection', has_disconnected=True
            )
        if (
            self._worker.is_up
            and self._worker.fault is not WorkerFault.PARTITIONED
        ):
            return
        await asyncio.sleep(_TIMEOUT_MS / 1000)
        raise WorkerReplyLostError('the worker did not reply in time')
