"""
A simulated installation on hosts whose processor and link cost time.
"""

import asyncio
import dataclasses
import inspect
import types

from fleet_connections import LocalRelaySocket
from fleet_world import World
from host_time import Host, on_network

from hawthornpier.fleet import RowPage, RowTransaction, WorkerListing
from hawthornpier.fleet._fencing import TOKENS_PER_EPOCH
from hawthornpier.ports import (
    PeerReplyLostError,
    PeerUnreachableError,
    StoreReplyLostError,
    WorkerReplyLostError,
)

# The processor time, in ms of a whole core, of sending a request and of
# receiving a message, apart from what the process itself computes.
SEND_MS = 0.15
RECEIVE_MS = 0.15
MESSAGE_BYTES = 500
# Of each run that a worker lists or a handover names, and of a row.
RUN_BYTES = 150
RUN_MS = 0.01
ROW_BYTES = 150
ROW_MS = 0.01
# After how long the requests of the platform's adapter fail.
STORE_TIMEOUT_MS = 1_000
ORDER_TIMEOUT_MS = 700
RENEWAL_SLACK_MS = 800
PEER_TIMEOUT_MS = 600
# The hosts of a site with two sizes.
LARGE = types.MappingProxyType({'cores': 2.15, 'link_mbps': 200})
SMALL = types.MappingProxyType({'cores': 0.516, 'link_mbps': 10})


class _HostClient:
    """
    A client whose requests cost its host time.

    Args:
        client: The client.
        host: The host of the process that uses it.
        error: Raised if the reply comes too late.
        timeout_ms: Returns after how long a request fails, by its name,
            arguments and options.
        peer_host: Returns the host that receives the requests, if it is one.
    """

    def __init__(self, client, host, *, error, timeout_ms, peer_host=None):
        self._client = client
        self._host = host
        self._error = error
        self._timeout_ms = timeout_ms
        self._peer_host = peer_host or (lambda: None)

    def __getattr__(self, name):
        value = getattr(self._client, name)
        if not inspect.iscoroutinefunction(value):
            return value

        async def call(*arguments, **options):
            timeout_ms = self._timeout_ms(name, arguments, options)
            self._host.charge(SEND_MS)
            try:
                async with asyncio.timeout(timeout_ms / 1000):
                    return await self._send(value, arguments, options)
            except TimeoutError:
                raise self._error('timed out') from None

        return call

    async def _send(self, method, arguments, options):
        request_bytes, _ = _size(arguments)
        await self._host.sending.carry(request_bytes)
        peer_host = self._peer_host()
        if peer_host is not None:
            await peer_host.receiving.carry(request_bytes)
            await peer_host.work(RECEIVE_MS)
        reply = await on_network(method(*arguments, **options))
        reply_bytes, reply_ms = _size((reply,))
        if peer_host is not None:
            await peer_host.work(SEND_MS + reply_ms)
            await peer_host.sending.carry(reply_bytes)
        await self._host.receiving.carry(reply_bytes)
        self._host.charge(RECEIVE_MS + reply_ms)
        return reply


class _HostRelaySocket:
    """
    An owner's connection to a relay; the messages cost both hosts time.
    """

    def __init__(self, socket, host, relay_host):
        self._socket = socket
        self._host = host
        self._relay_host = relay_host

    def send(self, content):
        self._host.charge(SEND_MS)
        self._relay_host.charge(RECEIVE_MS)
        self._socket.send(content)

    async def receive(self):
        content = await on_network(self._socket.receive())
        if content is not None:
            self._relay_host.charge(SEND_MS)
            await self._relay_host.sending.carry(len(content))
            await self._host.receiving.carry(len(content))
            self._host.charge(RECEIVE_MS)
        return content

    def close(self):
        self._socket.close()


class HostedWorld(World):
    """
    An installation whose processes run on hosts of different sizes.

    It runs in the loop of `run_on_hosts`.
    """

    # Whether the processors of hosts take time for function calls.
    counts_calls = True
    peer_poll_s = 0.1

    def __init__(self, *, worker_count=4, seed=1):
        # By the name of a process, the host on which it runs now.
        self.entry_hosts = {}
        # By worker, the highest epoch of its requests, and those of lower ones.
        self.highest_epochs = {}
        self.late_epochs = []
        self._next_host = None
        super().__init__(node_count=0, worker_count=worker_count, seed=seed)

    def start_node(self, name, *, cores=1, link_mbps=1_000):
        host = Host(
            cores=cores, link_mbps=link_mbps, counts_calls=self.counts_calls
        )
        self.entry_hosts[name] = host
        self._next_host = host
        start = super().start_node
        return host.context.run(start, name, cores=cores, link_mbps=link_mbps)

    def kill(self, node):
        super().kill(node)
        if self.nodes[node.card.address] is node:
            self.entry_hosts[node.card.address].stop()

    def prepare(self, context):
        host = self._next_host
        return dataclasses.replace(
            context,
            store=_HostClient(
                context.store,
                host,
                error=StoreReplyLostError,
                timeout_ms=_store_timeout_ms,
            ),
            dial=lambda entry: _HostClient(
                context.dial(entry),
                host,
                error=WorkerReplyLostError,
                timeout_ms=_worker_timeout_ms,
            ),
            dial_peer=lambda card: _HostClient(
                context.dial_peer(card),
                host,
                error=PeerReplyLostError,
                timeout_ms=_peer_timeout_ms,
                peer_host=lambda: self._live_host(card.address),
            ),
        )

    def add_worker(self, worker_id, **options):
        worker = super().add_worker(worker_id, **options)
        worker.renew = self._observe_epoch(worker.renew, worker_id)
        worker.start = self._observe_epoch(worker.start, worker_id)
        return worker

    def owners(self):
        """
        Return the processes that take themselves for the owner.

        Their permits are not asked, since they notice a pause by the time
        between two questions.
        """
        return [
            node
            for node in self.nodes.values()
            if not node.is_dead and node.local_shard() is not None
        ]

    def _live_host(self, address):
        node = self.nodes.get(address)
        if node is None or node.is_dead:
            return None
        return self.entry_hosts[address]

    def _observe_epoch(self, method, worker_id):
        def call(request):
            epoch = request.fencing_token // TOKENS_PER_EPOCH
            highest = self.highest_epochs.get(worker_id, 0)
            self.highest_epochs[worker_id] = max(highest, epoch)
            if epoch < highest:
                now_ms = self.clock.monotonic_ms()
                kind = method.__name__
                self.late_epochs.append((now_ms, kind, worker_id, epoch))
            return method(request)

        return call

    async def _connect_relay(self, origin, address):
        await asyncio.sleep(0.001)
        host = self._live_host(address)
        if host is None:
            raise PeerUnreachableError('refused')
        socket = host.context.run(LocalRelaySocket, self, origin, address)
        own_host = self.entry_hosts[origin.card.address]
        return _HostRelaySocket(socket, own_host, host)


def _store_timeout_ms(name, arguments, options):
    wait_ms = options.get('wait_ms', 0) if name == 'changes' else 0
    return options.get('timeout_ms', STORE_TIMEOUT_MS + wait_ms)


def _worker_timeout_ms(name, arguments, options):
    if name == 'renew':
        return arguments[0].wait_ms + RENEWAL_SLACK_MS
    return ORDER_TIMEOUT_MS


def _peer_timeout_ms(name, arguments, options):
    waits_ms = {'watch': 0, 'configuration': 1}
    wait_ms = arguments[waits_ms[name]] if name in waits_ms else 0
    return PEER_TIMEOUT_MS + wait_ms


def _size(values):
    """
    Return the bytes and the processor time, in ms, of a message.
    """
    value = values[0] if values else None
    if isinstance(value, WorkerListing):
        count = len(value.running) + len(value.ended)
        return MESSAGE_BYTES + RUN_BYTES * count, RUN_MS * count
    if isinstance(value, RowPage):
        contents = [row.content for row in value.rows]
        return _rows_size(contents)
    if isinstance(value, RowTransaction):
        return _rows_size(value.writes.values())
    if hasattr(value, 'unknown_workers'):
        count = sum(map(len, value.tasks.values()))
        return MESSAGE_BYTES + RUN_BYTES * count, RUN_MS * count
    return MESSAGE_BYTES, 0


def _rows_size(contents):
    byte_count = sum(ROW_BYTES + len(each) * 4 // 3 for each in contents)
    return MESSAGE_BYTES + byte_count, ROW_MS * len(contents)
