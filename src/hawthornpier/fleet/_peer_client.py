"""
The HTTP client of another entry process.
"""

from http import HTTPStatus
from typing import TypeVar
from urllib.parse import quote

from hawthornpier.adapters import (
    AdapterError,
    ConnectionPool,
    CouldNotConnectError,
    HttpCall,
    HttpReply,
    NotSentError,
)
from hawthornpier.decoding import decode_json
from hawthornpier.fleet._peer_port import (
    ConfigurationReply,
    CountReply,
    Handover,
    PeerGoneError,
    PhaseReply,
    Presence,
)
from hawthornpier.fleet._writer import ProcessCard
from hawthornpier.ports import (
    PeerRefusedError,
    PeerReplyLostError,
    PeerUnreachableError,
)
from hawthornpier.steps import JobPhase

PEER_PREFIX = '/fleet/v1'
_TIMEOUT_MS = 600.0
# For a relayed write, the peer calls the store before it replies.
_RELAY_TIMEOUT_MS = 1_300.0
_CONNECT_TIMEOUT_MS = 400
_CONNECTION_COUNT = 12


_Message = TypeVar('_Message')


class HttpFleetPeer:
    """
    Sends requests to another entry process over HTTP.

    Args:
        card: The identity and the address of the other process.
    """

    def __init__(self, card: ProcessCard) -> None:
        self.card = card
        self._pool = ConnectionPool(
            card.address,
            connection_limit=_CONNECTION_COUNT,
            connect_ms=_CONNECT_TIMEOUT_MS,
        )

    async def watch(self, wait_ms: int, *, observer: str = '') -> Presence:
        """
        Return the status of the process.

        It replies after *wait_ms*, or once it gives up the shard.
        """
        reply = await self._get(
            f'/presence?wait_ms={wait_ms}&observer={quote(observer)}',
            timeout_ms=wait_ms + _TIMEOUT_MS,
        )
        return _decode(reply, Presence)

    async def notify_job(self, content: bytes) -> None:
        """
        Notify the owner of the shard of a stored job.
        """
        await self._post('/jobs', content)

    async def notify_cancel(self, job_id: str) -> None:
        """
        Notify the owner of the shard of a stored cancellation.
        """
        await self._post(f'/jobs/{quote(job_id)}/cancel', b'{}')

    async def show(self, job_id: str) -> JobPhase | None:
        """
        Return the state of a job at the owner, or None if it is unknown.
        """
        phase = _decode(
            await self._get(f'/jobs/{quote(job_id)}'),
            PhaseReply,
        ).phase
        try:
            return JobPhase(phase) if phase else None
        except ValueError as error:
            raise PeerReplyLostError(str(error)) from error

    async def pending(self, queue: str) -> int:
        """
        Return the owner's count of jobs in a queue that have not started.
        """
        reply = await self._get(f'/pending/{quote(queue, safe="")}')
        return _decode(reply, CountReply).count

    async def configuration(
        self,
        after_version: int,
        wait_ms: int,
    ) -> ConfigurationReply:
        """
        Return the peer's configuration once its version exceeds another.

        Args:
            after_version: The latest version that this process has.
            wait_ms: The longest time to wait for a higher version.
        """
        reply = await self._get(
            f'/configuration?after={after_version}&wait_ms={wait_ms}',
            timeout_ms=wait_ms + _TIMEOUT_MS,
        )
        return _decode(reply, ConfigurationReply)

    async def hand_over(self, epoch: int) -> Handover:
        """
        Make the owner of an epoch give up the shard; return its state.
        """
        reply = await self._post(f'/handover/{epoch}', b'{}')
        return _decode(reply, Handover)

    async def relay_job(self, content: bytes) -> bool | None:
        """
        Have the peer store a job on behalf of this process.

        Returns:
            Whether the job was stored; None if that is unknown.
        """
        return await self._relay('/relayed-jobs', content)

    async def relay_cancel(self, job_id: str) -> bool | None:
        """
        Have the peer store a cancellation on behalf of this process.

        Returns:
            Whether it was stored; None if that is unknown.
        """
        return await self._relay(f'/relayed-cancels/{quote(job_id)}', b'{}')

    def close(self) -> None:
        """
        Close the connections.
        """
        self._pool.close()

    async def _relay(self, path: str, body: bytes) -> bool | None:
        try:
            reply = await self._send(
                'POST',
                path,
                body,
                timeout_ms=_RELAY_TIMEOUT_MS,
            )
        except PeerReplyLostError:
            return None
        outcomes: dict[int, bool] = {
            HTTPStatus.OK: True,
            HTTPStatus.BAD_REQUEST: False,
            HTTPStatus.SERVICE_UNAVAILABLE: False,
        }
        return outcomes.get(reply.status)

    async def _get(
        self,
        path: str,
        *,
        timeout_ms: float = _TIMEOUT_MS,
    ) -> HttpReply:
        reply = await self._send('GET', path, None, timeout_ms=timeout_ms)
        if reply.status != HTTPStatus.OK:
            raise PeerRefusedError(
                f'{path}: the peer responded with status {reply.status}',
            )
        return reply

    async def _post(self, path: str, body: bytes) -> HttpReply:
        reply = await self._send('POST', path, body, timeout_ms=_TIMEOUT_MS)
        if reply.status != HTTPStatus.OK:
            raise PeerRefusedError(
                f'{path}: the peer responded with status {reply.status}',
            )
        return reply

    async def _send(
        self,
        method: str,
        path: str,
        body: bytes | None,
        *,
        timeout_ms: float,
    ) -> HttpReply:
        call = HttpCall(
            method=method,
            path=f'{PEER_PREFIX}{path}',
            body=body,
            deadline_ms=timeout_ms,
        )
        try:
            return await self._pool.send(call)
        except CouldNotConnectError as error:
            raise PeerGoneError(str(error)) from error
        except NotSentError as error:
            raise PeerUnreachableError(str(error)) from error
        except AdapterError as error:
            raise PeerReplyLostError(str(error)) from error


def _decode(reply: HttpReply, kind: type[_Message]) -> _Message:
    return decode_json(
        reply.body,
        kind,
        PeerReplyLostError,
        subject='reply of a peer',
    )
