"""
Connections between the processes and workers of a simulated installation.
"""

import asyncio

import msgspec

from hawthornpier import fleet
from hawthornpier.errors import HawthornpierError
from hawthornpier.ports import (
    PeerReplyLostError,
    PeerUnreachableError,
    WorkerReplyLostError,
)
from hawthornpier.steps import JobPlan


async def thaw(node):
    """
    Return once a process is not frozen.
    """
    while node.is_frozen:
        await asyncio.sleep(0.01)


async def call_when_thawed(node, method, *arguments, **options):
    """
    Call a method, and return or raise once the process is not frozen.

    A cancelled call does not wait, since a killed process may stay frozen.
    """
    await thaw(node)
    try:
        reply = await method(*arguments, **options)
    except HawthornpierError:
        await thaw(node)
        raise
    await thaw(node)
    return reply


class FreezableClient:
    """
    A client of a process; its calls and replies wait while that is frozen.

    The process is the only item of *node_box*, once it has been created.
    """

    def __init__(self, node_box, client):
        self._node_box = node_box
        self._client = client

    def __getattr__(self, name):
        method = getattr(self._client, name)

        async def call(*arguments, **options):
            node = self._node_box[0]
            return await call_when_thawed(node, method, *arguments, **options)

        return call


class LocalPeer:
    """
    Implements `FleetPeer` by direct calls to another simulated process.
    """

    def __init__(self, world, origin, card):
        self.card = card
        self._world = world
        self._origin = origin

    async def watch(self, wait_ms, *, observer=''):
        node = await self._reach()
        if wait_ms == 0:
            return node.presence()
        await node.wait_presence(0, observer)
        poll_s = self._world.peer_poll_s
        for _ in range(int(wait_ms / 1000 / poll_s)):
            await asyncio.sleep(poll_s)
            if node.is_dead:
                raise fleet.PeerGoneError('reset')
            if node.presence().given_up_epoch:
                break
        if node.is_frozen:
            raise PeerUnreachableError('timed out')
        return node.presence()

    async def hand_over(self, epoch):
        handover = (await self._reach()).hand_over(epoch)
        if handover is None:
            raise PeerUnreachableError('not the owner of that epoch')
        if self._world.lost_handover_count:
            self._world.lost_handover_count -= 1
            await asyncio.sleep(self._world.peer_timeout_s)
            raise PeerReplyLostError('timed out')
        return handover

    async def notify_job(self, content):
        (await self._shard()).add_job(fleet_plan(content))

    async def notify_cancel(self, job_id):
        (await self._shard()).cancel_job(job_id)

    async def show(self, job_id):
        job = (await self._shard()).jobs.get(job_id)
        return None if job is None else job.phase

    async def pending(self, queue):
        return (await self._shard()).pending_count(queue)

    async def configuration(self, after_version, wait_ms):
        node = await self._reach()
        return await node.wait_configuration(after_version, wait_ms)

    async def relay_job(self, content):
        node = await self._reach()
        return await node.entry.store_job(fleet_plan(content).job_id, content)

    async def relay_cancel(self, job_id):
        return await (await self._reach()).entry.store_cancel(job_id)

    def close(self):
        """
        Do nothing, as there are no connections.
        """

    async def _reach(self):
        await asyncio.sleep(self._world.peer_delay_s)
        await thaw(self._origin)
        node = self._world.nodes.get(self.card.address)
        is_silent = node is None or node.is_frozen or node.is_partitioned
        if is_silent or self._origin.is_partitioned:
            await asyncio.sleep(self._world.peer_timeout_s)
            raise PeerUnreachableError('timed out')
        if node.is_dead:
            raise fleet.PeerGoneError('refused')
        return node

    async def _shard(self):
        shard = (await self._reach()).local_shard()
        if shard is None:
            raise PeerUnreachableError('not the owner')
        return shard


def fleet_plan(content):
    return msgspec.json.decode(content, type=JobPlan)


class PartitionedWorkerClient:
    """
    A worker client whose calls time out across a partition.

    *is_beside* tells whether the worker is on the side of the partitioned
    processes.
    """

    def __init__(self, node, client, is_beside):
        self._node = node
        self._client = client
        self._is_beside = is_beside

    def close(self):
        self._client.close()

    def __getattr__(self, name):
        method = getattr(self._client, name)

        async def call(*arguments):
            await thaw(self._node)
            is_apart = self._node.is_partitioned != self._is_beside()
            if is_apart or not self._node.reaches_workers:
                await asyncio.sleep(0.7)
                raise WorkerReplyLostError('timed out')
            return await call_when_thawed(self._node, method, *arguments)

        call.__name__ = name
        return call


class LocalRelaySocket:
    """
    An owner's connection to a relay in the same event loop.

    Nothing passes while one of the processes is partitioned or the relay is
    frozen, nor to a relay that is deaf; what was sent then arrives afterwards.
    """

    def __init__(self, world, origin, address):
        self._world = world
        self._origin = origin
        self._relay = world.nodes[address]
        self._inbox = asyncio.Queue()
        self._session = self._relay.open_relay(self._inbox.put_nowait)
        self._outbox = asyncio.Queue()
        self._pump = asyncio.ensure_future(self._deliver())

    def send(self, content):
        self._relay.relayed_batch_count += 1
        due_s = asyncio.get_running_loop().time() + self._relay.relay_delay_s
        self._outbox.put_nowait((due_s, content))

    async def receive(self):
        while True:
            if self._relay.is_dead:
                return None
            is_blocked = self._is_blocked or self._origin.is_frozen
            if is_blocked or self._inbox.empty():
                await asyncio.sleep(0.005)
                continue
            return self._inbox.get_nowait()

    def close(self):
        self._pump.cancel()
        self._session.close()

    @property
    def _is_blocked(self):
        return (
            self._relay.is_frozen
            or self._relay.is_partitioned
            or self._origin.is_partitioned
        )

    async def _deliver(self):
        while True:
            due_s, content = await self._outbox.get()
            delay_s = due_s - asyncio.get_running_loop().time()
            await asyncio.sleep(max(delay_s, 0))
            while self._is_blocked or self._relay.is_deaf:
                await asyncio.sleep(0.005)
            self._session.receive(content)
