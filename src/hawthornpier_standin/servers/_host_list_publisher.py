"""
Publishes the workers of a process in the platform's host list.
"""

import asyncio
from contextlib import closing
from http import HTTPStatus
from urllib.parse import quote

from hawthornpier.adapters import (
    AdapterError,
    ConnectionPool,
    HttpCall,
    encode_message,
)
from hawthornpier.messages import HostRecord
from hawthornpier_standin.servers._pool import WorkerPool

_PUBLISH_INTERVAL_S = 0.5
_DEADLINE_MS = 2_000
_HOSTS_PATH = '/control/v1/hosts'


class HostListPublisher:
    """
    Sends changes of the workers' host records to the platform.

    Args:
        platform_address: Address of the platform's server.
        pool: The workers to list.
    """

    def __init__(self, platform_address: str, pool: WorkerPool) -> None:
        self._connections = ConnectionPool(platform_address)
        self._pool = pool
        self._published: dict[str, HostRecord] = {}

    async def run(self) -> None:
        """
        Publish changes until the task is cancelled.
        """
        with closing(self._connections):
            while True:
                await self._publish_if_reachable()
                await asyncio.sleep(_PUBLISH_INTERVAL_S)

    async def publish(self) -> None:
        """
        Send the host records if any changed since the last successful call.

        Raises:
            AdapterError: The platform was unreachable or rejected a change.
        """
        hosts = {host.worker_id: host for host in self._pool.hosts()}
        if hosts == self._published:
            return
        body = encode_message(tuple(hosts.values()))
        await self._send('PUT', _HOSTS_PATH, body)
        for worker_id in self._published.keys() - hosts.keys():
            await self._send('DELETE', f'{_HOSTS_PATH}/{quote(worker_id)}')
        self._published = hosts

    async def _publish_if_reachable(self) -> None:
        try:
            await self.publish()
        except AdapterError:
            # The platform may not have started yet; the next iteration retries.
            return

    async def _send(
        self,
        method: str,
        path: str,
        body: bytes | None = None,
    ) -> None:
        reply = await self._connections.send(
            HttpCall(
                method=method,
                path=path,
                body=body,
                deadline_ms=_DEADLINE_MS,
            ),
        )
        if reply.status != HTTPStatus.OK:
            raise AdapterError(
                f'{method} {path} was rejected by the platform with'
                f' status {reply.status}',
            )
