"""
Tests of the simulated platform and workers over HTTP, with the adapters.

G1 to G9 are the guarantees that README.md lists.
"""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import msgspec
import pytest
from test_standin_workers import CAPACITY, WorkerHarness, request_of

from hawthornpier import adapters, messages, ports
from hawthornpier_standin.history import Record, RecordKind
from hawthornpier_standin.platform import MemoryStore, StoreFaults
from hawthornpier_standin.servers import (
    PlatformServer,
    WorkerPool,
    WorkerPoolOptions,
)
from hawthornpier_standin.servers._host_list_publisher import HostListPublisher
from hawthornpier_standin.workers import WorkerFaults

WRITE = messages.Transaction(
    transaction_id='t1', puts=(messages.RowPut(key='k', text='1'),)
)


@asynccontextmanager
async def platform() -> AsyncIterator[tuple[MemoryStore, str]]:
    """
    Run a platform and yield its store and its address.
    """
    store = MemoryStore(clock=adapters.SystemClock())
    server = PlatformServer(store)
    port = server.listen('127.0.0.1')
    yield store, f'127.0.0.1:{port}'
    await server.close()


@asynccontextmanager
async def workers(
    *records: list[Record],
) -> AsyncIterator[tuple[WorkerPool, adapters.HttpWorker, str]]:
    """
    Run two workers; yield their pool, a client of the first worker and the
    address of the control server.
    """
    pool = WorkerPool(
        WorkerPoolOptions(name='w', worker_count=2, capacity=CAPACITY),
        clock=adapters.SystemClock(),
        recorder=records[0].append if records else lambda record: None,
    )
    port = pool.listen()
    client = adapters.HttpWorker(pool.hosts()[0].address, deadline_ms=60_000)
    yield pool, client, f'127.0.0.1:{port}'
    client.close()
    await pool.close()


async def put(
    address: str, path: str, message: object, method: str = 'PUT'
) -> adapters.HttpReply:
    """
    Send a message to a path of the control server.
    """
    return await adapters.ConnectionPool(address).send(
        adapters.HttpCall(
            method=method,
            path=path,
            body=adapters.encode_message(message),
            deadline_ms=60_000,
        )
    )


class TestPlatformServer:
    """
    The store behaves over HTTP as it does in memory.
    """

    async def test_rows_and_objects_round_trip(self) -> None:
        """
        Keys and names with slashes and special characters are preserved.
        """
        async with platform() as (_, address):
            store = adapters.HttpTableStore(address)
            key = 'table/row/ä b%2F?#'
            written = await store.transact(
                messages.Transaction(
                    transaction_id='t1',
                    puts=(messages.RowPut(key=key, text='{"a": 1}'),),
                )
            )
            assert await store.read(key) == written.rows[0]
            assert await store.scan('table/row/ä') == written.rows
            assert await store.read('table/row') is None
            objects = adapters.HttpObjectStore(address)
            await objects.put('a/b', b'\x00\xff')
            assert await objects.get('a/b') == b'\x00\xff'
            assert await objects.get('a') is None

    async def test_faults_reach_the_client(self) -> None:
        """
        A client can distinguish an outage from a lost reply, also on a reused
        connection.
        """
        async with platform() as (_, address):
            store = adapters.HttpTableStore(address)
            faults = StoreFaults(lost_answer_count=1)
            await put(address, '/control/v1/faults', faults)
            assert await store.read('k') is None
            with pytest.raises(ports.StoreReplyLostError):
                await store.transact(WRITE)
            row = await store.read('k')
            assert (await store.transact(WRITE)).rows == (row,)
            await put(address, '/control/v1/faults', StoreFaults(is_out=True))
            with pytest.raises(ports.StoreUnavailableError):
                await store.transact(WRITE)
            with pytest.raises(ports.StoreUnavailableError):
                await adapters.HttpHostList(address).listing()

    async def test_a_transaction_on_a_hung_connection_has_no_effect(
        self,
    ) -> None:
        """
        The reply is lost, and the transaction is not applied.
        """
        async with platform() as (_, address):
            store = adapters.HttpTableStore(address, deadline_ms=1_000)
            await store.read('k')
            await put(address, '/control/v1/hang', None, 'POST')
            with pytest.raises(ports.StoreReplyLostError):
                await store.transact(WRITE)
            assert await store.read('k') is None


class TestWorkerServer:
    """
    A worker behaves over HTTP as it does in memory.
    """

    async def test_every_call_of_the_worker_port_works_over_http(self) -> None:
        """
        A run is started, listed, evicted and acknowledged over HTTP.
        """
        records: list[Record] = []
        async with workers(records) as (_, worker, _):
            harness = WorkerHarness()
            harness.worker = worker
            assert await harness.start('1.1') == messages.StartVerdict.STARTED
            held = (await harness.fence(1)).running
            assert [run.run_id for run in held] == ['1.1']
            await harness.control('1.1', messages.TaskAction.EVICT)
            assert set(await harness.outcomes()) == {'1.1'}
            assert not await harness.outcomes('1.1')
            assert (await worker.report()).worker_id == 'w-0'
            kinds = [record.kind for record in records if record.run_id]
            assert kinds == [
                RecordKind.RUN_STARTED,
                RecordKind.RUN_CHECKPOINTED,
                RecordKind.RUN_ENDED,
            ]

    async def test_a_reply_belongs_to_its_request(self) -> None:
        """
        G4: a reply has the id and the complete body of its own request, also if
        the worker sends every response twice.
        """
        async with workers() as (_, worker, control):
            faults = WorkerFaults(duplicates_replies=True)
            await put(control, '/control/v1/workers/w-0/faults', faults)
            for number in range(5):
                request = request_of(f'r/{number}')
                reply = await worker.request(request)
                assert reply.status == messages.EndpointStatus.ANSWERED
                assert len(reply.body.encode()) == reply.body_bytes
                echo = msgspec.json.decode(reply.body)['echo']
                assert echo == request.body
                state = await worker.get_request_status(request.request_id)
                assert state == reply

    async def test_a_withheld_reply_counts_as_lost(self) -> None:
        """
        G5: a request that a worker served while it withheld its replies is not
        reported as not run.
        """
        async with workers() as (_, worker, control):
            path = '/control/v1/workers/all/faults'
            await put(control, path, WorkerFaults(is_silent=True))
            with pytest.raises(ports.WorkerReplyLostError):
                await worker.request(request_of('r1', deadline_ms=500))
            await put(control, path, WorkerFaults())
            state = await worker.get_request_status('r1')
            assert state.status != messages.EndpointStatus.NEVER_SEEN

    async def test_new_connections_work_while_others_hang(self) -> None:
        """
        A call on a permanently hung connection fails; the next call succeeds.
        """
        async with workers() as (_, worker, control):
            await worker.report()
            await put(control, '/control/v1/workers/w-0/hang', None, 'POST')
            with pytest.raises(ports.WorkerReplyLostError):
                await worker.request(request_of('r1', deadline_ms=500))
            state = await worker.get_request_status('r1')
            assert state.status == messages.EndpointStatus.NEVER_SEEN

    async def test_the_worker_limits_its_connections(self) -> None:
        """
        A worker accepts 64 connections and closes further ones.

        Guards against a stand-in on which an entry process that opens too many
        connections stays undetected.
        """
        async with workers() as (pool, _, _):
            host, _, port = pool.hosts()[0].address.partition(':')
            streams = [
                await asyncio.open_connection(host, port) for _ in range(65)
            ]
            assert await streams[-1][0].read() == b''
            assert pool.worker_servers('w-0')[0].server.open_count == 64
            for _, writer in streams:
                writer.close()

    async def test_a_dead_worker_refuses_connections(self) -> None:
        """
        A dead worker is unreachable, cannot be revived and is removed from the
        host list.
        """
        servers = platform(), workers()
        async with servers[0] as (_, address), servers[1] as parts:
            pool, worker, control = parts
            publisher = HostListPublisher(address, pool)
            await publisher.publish()
            path = '/control/v1/workers/w-0/faults'
            await put(control, path, WorkerFaults(is_dead=True))
            leaving = WorkerFaults(is_leaving=True)
            await put(control, '/control/v1/workers/w-1/faults', leaving)
            with pytest.raises(ports.WorkerUnreachableError):
                await worker.report()
            assert (await put(control, path, WorkerFaults())).status == 409
            await publisher.publish()
            hosts = (await adapters.HttpHostList(address).listing()).hosts
            assert [(host.worker_id, host.state) for host in hosts] == [
                ('w-1', messages.HostState.LEAVING)
            ]
