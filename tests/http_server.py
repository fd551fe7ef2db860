"""
The daemon's HTTP application on the loopback interface, and a raw client.

The process is a real `Node` on a real event loop.  The platform and the worker
are in-memory implementations, and there are no peers.
"""

import asyncio
import json
from collections.abc import AsyncIterator, Callable, Mapping
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from types import MappingProxyType
from typing import Any

from node_world import CAPACITY, IDEMPOTENT, ORDER
from tornado.httpserver import HTTPServer
from tornado.testing import bind_unused_port

from hawthornpier.adapters import SigningKey, SystemClock
from hawthornpier.daemon import Node
from hawthornpier.daemon._application import make_application
from hawthornpier.daemon._process import MAX_BODY_BYTES, MAX_HEADER_BYTES
from hawthornpier.messages import EventKind, HostRecord
from hawthornpier.metrics import Metrics
from hawthornpier.ports import PeerUnreachableError
from hawthornpier.settings import parse_settings
from hawthornpier.table import (
    MemberRow,
    PutRow,
    VersionedTable,
    WorkloadClass,
    WorkloadRow,
    hash_operator_key,
)
from hawthornpier_standin.platform import MemoryStore
from hawthornpier_standin.workers import MemoryWorker, WorkerModel

# The operator key of each member.
OPERATOR_KEYS = MappingProxyType(
    {'yayasan': 'key-of-yayasan', 'orchard': 'key-of-orchard'},
)
_KEY_HASHES = MappingProxyType(
    {
        member: hash_operator_key(OPERATOR_KEYS[member])
        for member in OPERATOR_KEYS
    },
)
_SETTINGS = """
[process]
process_id = p1
region = semenanjung
failure_domain = ipoh
listen_port = 10000
[platform]
store_address = 127.0.0.1:9
host_list_address = 127.0.0.1:9
[cluster]
failure_domains =
    ipoh: semenanjung
shards_per_failure_domain = 1
[security]
bootstrap_operators ="""


@dataclass(frozen=True, slots=True, kw_only=True)
class Response:
    """
    A response with header names in lower case.
    """

    status: int
    headers: Mapping[str, str]
    body: bytes

    def json(self) -> Any:
        """
        Return the decoded body.
        """
        return json.loads(self.body)

    def is_refusal(self) -> bool:
        """
        Return whether the status is 4xx and the JSON body has a reason.
        """
        return self.status // 100 == 4 and bool(self.json()['reason'])


class Connection:
    """
    A keep-alive connection that sends request parts without validation.
    """

    def __init__(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        self._reader = reader
        self._writer = writer

    async def send(
        self,
        method: str,
        path: str,
        body: bytes = b'',
        headers: Mapping[str, str] | None = None,
    ) -> Response:
        """
        Send a request and return the complete response.
        """
        lines = [f'{method} {path} HTTP/1.1', 'Host: test']
        lines.extend(
            f'{name}: {text}' for name, text in (headers or {}).items()
        )
        lines.append(f'Content-Length: {len(body)}')
        head = '\r\n'.join((*lines, '', ''))
        self._writer.writelines((head.encode('latin1'), body))
        return await self._receive(has_body=method != 'HEAD')

    def close(self) -> None:
        """
        Close the connection.
        """
        self._writer.close()

    async def _receive(self, *, has_body: bool) -> Response:
        head = await self._reader.readuntil(b'\r\n\r\n')
        first, *lines = head.decode('latin1').strip().split('\r\n')
        pairs = (line.partition(':') for line in lines)
        headers = {name.lower(): text.strip() for name, _, text in pairs}
        length = int(headers.get('content-length', 0)) if has_body else 0
        return Response(
            status=int(first.split()[1]),
            headers=headers,
            body=await self._reader.readexactly(length),
        )


@dataclass(slots=True)
class Platform:
    """
    The `Connections` of the process, with the store and the worker in memory.
    """

    signing_keys: tuple[SigningKey, ...] = ()
    clock: SystemClock = field(default_factory=SystemClock)
    memory: MemoryStore = field(init=False)
    worker_endpoint: MemoryWorker = field(init=False)

    def __post_init__(self) -> None:
        self.memory = MemoryStore(clock=self.clock)
        self.worker_endpoint = MemoryWorker(
            worker_id='w1',
            capacity=CAPACITY,
            clock=self.clock,
            seed=1,
            model=WorkerModel(seed=1),
        )
        self.memory.hosts.put(
            HostRecord(
                worker_id='w1',
                address='w1',
                region='semenanjung',
                failure_domain='ipoh',
                rack='rack',
                capacity=CAPACITY,
            ),
        )

    def store(self) -> MemoryStore:
        """
        Return the table service.
        """
        return self.memory

    def host_list(self) -> MemoryStore:
        """
        Return the host list.
        """
        return self.memory

    def worker(self, host: HostRecord) -> MemoryWorker:
        """
        Return the only worker.
        """
        return self.worker_endpoint

    def peer(self, address: str) -> Any:
        """
        Raise an error, since the process has no peers.
        """
        raise PeerUnreachableError(address)

    async def create_table(self) -> None:
        """
        Write a table to the store, as an earlier process would have done.
        """
        table = VersionedTable(
            store=self.memory, clock=self.clock, founders=_KEY_HASHES
        )
        rows = [
            MemberRow(member=member, operator_key_hash=(_KEY_HASHES[member],))
            for member in OPERATOR_KEYS
        ]
        services = [
            WorkloadRow(
                member='yayasan',
                name=name,
                workload_class=WorkloadClass.SERVICE,
                is_idempotent=name == IDEMPOTENT,
                processor_millis=10,
            )
            for name in (IDEMPOTENT, ORDER)
        ]
        edits = [PutRow(row=row) for row in (*rows, *services)]
        await table.edit(edits, member='yayasan', base_version=0)


class Daemon:
    """
    A process with an HTTP server.

    It listens at once, but has no table before `start`.
    """

    def __init__(self, platform: Platform) -> None:
        lines = [f'    {name}: {text}' for name, text in _KEY_HASHES.items()]
        self.platform = platform
        self.node = Node(
            parse_settings('\n'.join((_SETTINGS, *lines)), path='p1.ini'),
            platform,
            Metrics('p1', is_prometheus_enabled=True),
        )
        self._server = HTTPServer(
            make_application(self.node.services),
            max_body_size=MAX_BODY_BYTES,
            max_header_size=MAX_HEADER_BYTES,
        )
        listener, port = bind_unused_port()
        self.port = port
        self._server.add_socket(listener)
        self._connections: list[Connection] = []

    async def start(self) -> None:
        """
        Write the table, start the process and wait until it serves its shard.
        """
        await self.platform.create_table()
        await self.node.start()
        services = self.node.services
        # The load of a shard has slots once its owner has fenced the worker.
        while not services.is_ready() or not any(
            load.slot_count for load in services.membership.loads()
        ):
            await self.platform.clock.sleep_ms(5)

    async def connect(self) -> Connection:
        """
        Open a connection, which `close` closes at the latest.
        """
        streams = await asyncio.open_connection('127.0.0.1', self.port)
        connection = Connection(*streams)
        self._connections.append(connection)
        return connection

    async def send(
        self,
        method: str,
        path: str,
        body: bytes = b'',
        headers: Mapping[str, str] | None = None,
    ) -> Response:
        """
        Send one request on a new connection.
        """
        connection = await self.connect()
        response = await connection.send(method, path, body, headers)
        connection.close()
        return response

    async def assert_no_side_effects(self) -> None:
        """
        Check that no request reached an owner and that nothing was written.
        """
        for prefix in ('job/', 'task/', 'intent/'):
            assert not await self.platform.memory.scan(prefix)
        assert self.node.services.table.version == 1
        kinds = {event.kind for event in self.node.recorder.events()}
        assert EventKind.REQUEST_SENT not in kinds

    async def close(self) -> None:
        """
        Stop the server and the process.
        """
        for connection in self._connections:
            connection.close()
        self._server.stop()
        await self._server.close_all_connections()
        await self.node.close()


@asynccontextmanager
async def running_daemon(
    *signing_keys: SigningKey,
    is_started: bool = True,
) -> AsyncIterator[Daemon]:
    """
    Run a daemon while the context is open.

    If *is_started* is False, it only listens.
    """
    daemon = Daemon(Platform(signing_keys=signing_keys))
    try:
        if is_started:
            await daemon.start()
        yield daemon
    finally:
        await daemon.close()


def with_daemon(
    test: Callable[[Callable[..., Response]], None],
) -> None:
    """
    Run a synchronous test, which hypothesis requires, against one daemon.

    The test gets a function that sends a request and returns the response.
    Fails if one of the requests reached an owner or caused a write.
    """
    with asyncio.Runner() as runner:
        context = running_daemon()
        daemon = runner.run(context.__aenter__())
        try:
            test(lambda *parts: runner.run(daemon.send(*parts)))
            runner.run(daemon.assert_no_side_effects())
        finally:
            runner.run(context.__aexit__(None, None, None))


def operator_headers(member: str = 'yayasan', **headers: str) -> dict[str, str]:
    """
    Return the headers that authenticate an operator of the member.
    """
    return {
        'X-Member': member,
        'X-Operator-Key': OPERATOR_KEYS[member],
        **headers,
    }


INVALID_OPERATOR_HEADERS = (
    {},
    {'X-Member': 'yayasan'},
    operator_headers() | {'X-Operator-Key': 'wrong'},
    operator_headers() | {'X-Member': 'orchard'},
    operator_headers() | {'X-Member': '100%\xff'},
)
