"""
Runs entry processes with stand-ins of the store and the workers over HTTP.
"""

import asyncio
import dataclasses
import json
import logging
import random
import time

from registry_rows import encode_entry
from tornado.httpserver import HTTPServer
from tornado.simple_httpclient import SimpleAsyncHTTPClient
from tornado.testing import bind_unused_port

from hawthornpier import fleet
from hawthornpier.adapters import SystemClock
from hawthornpier.platform import NodeSettings, PlatformProcess
from hawthornpier_standin import fleet as standin

LOG = logging.getLogger(__name__)
HOST = 'orders.example'
JOB_ID = '5c0e7a21d94b36f8'
# Far above the duration of any scenario, so that only a hang exceeds it.
SCENARIO_TIMEOUT_S = 60


def listen(application):
    socket, port = bind_unused_port()
    server = HTTPServer(application)
    server.add_socket(socket)
    return server, f'127.0.0.1:{port}'


def free_port():
    socket, port = bind_unused_port()
    socket.close()
    return port


class Installation:
    """
    A store, workers and entry processes that listen on the loopback address.
    """

    def __init__(self, *, worker_count=3):
        self.clock = SystemClock()
        self.store = standin.StandinRowStore(self.clock)
        self.started = []
        self.tasks = []
        self.processes = {}
        self.servers = []
        # Set to the error of a process that ends by itself.
        self.failure = asyncio.get_running_loop().create_future()
        server, address = listen(standin.store_application(self.store))
        self.store_address = address
        self.servers.append(server)
        for number in range(worker_count):
            self.add_worker(f'i-{number}')
        self.store.put('op', 'config', self.manifest(1))

    def manifest(self, version):
        return json.dumps(
            {
                'version': version,
                'routes': [
                    {
                        'name': 'r-1',
                        'host': HOST,
                        'path_prefix': '/jobs/',
                        'service': 'desk',
                        'max_attempts': 2,
                        'slack_factor': 1.5,
                        'target_latency_ms': 400,
                    },
                ],
                'services': [{'name': 'desk', 'admission_check': True}],
            },
        ).encode()

    def add_worker(self, worker_id):
        entry = fleet.WorkerEntry(
            worker_id=worker_id,
            service='desk',
            address='',
            failure_domain='z',
            processor_millis=8_000,
            memory_mb=32_000,
            accelerator_count=0,
            labels=('a', 'r1'),
            incarnation_ms=time.time_ns() // 1_000_000,
        )
        worker = standin.StandinFleetWorker(
            entry,
            self.clock,
            model_of=lambda task: standin.TaskModel(work_ms=100),
            on_run_event=self.record_start,
        )
        server, address = listen(standin.worker_application(worker))
        self.servers.append(server)
        self.tasks.append(asyncio.ensure_future(worker.run()))
        listening = dataclasses.replace(entry, address=address)
        self.store.put('servers', worker_id, encode_entry(listening))

    def record_start(self, event, task, attempt, detail):
        if event == 'started':
            self.started.append(task)

    def start_process(self, name, **options):
        settings = NodeSettings(
            node_name=name,
            host_address='127.0.0.1',
            failure_domain='z',
            frontend_address=f'127.0.0.1:{free_port()}',
            readiness_address=f'127.0.0.1:{free_port()}',
            peer_port=free_port(),
            store_address=self.store_address,
            **options,
        )
        process = PlatformProcess(settings)
        record = process.node.log.record

        def record_and_log(kind, **fields):
            now_ms = self.clock.monotonic_ms()
            LOG.warning('%s %s %s %s', now_ms, name, kind, fields)
            record(kind, **fields)

        process.node.log.record = record_and_log
        stop = asyncio.Event()
        task = asyncio.ensure_future(process.run(stop, asyncio.Event()))
        task.add_done_callback(self.record_end)
        self.processes[name] = (process, task, stop)
        return settings

    def record_end(self, task):
        if task.cancelled() or self.failure.done():
            return
        why = task.exception() or RuntimeError('a process ended by itself')
        self.failure.set_exception(why)

    def kill(self, name):
        process, task, _ = self.processes.pop(name)
        task.cancel()
        for server in process.servers:
            server.stop()
        for part in process.node._tasks:
            part.cancel()

    async def call(self, settings, method, path, body=None):
        client = SimpleAsyncHTTPClient(force_instance=True)
        reply = await client.fetch(
            f'http://{settings.frontend_address}{path}',
            method=method,
            headers={'Host': HOST},
            body=body,
            raise_error=False,
            allow_nonstandard_methods=True,
        )
        client.close()
        return reply.code, reply.body

    async def wait_ready(self, settings):
        while not await self.is_ready(settings):
            await asyncio.sleep(0.02)

    async def is_ready(self, settings):
        client = SimpleAsyncHTTPClient(force_instance=True)
        try:
            reply = await client.fetch(
                f'http://{settings.readiness_address}/',
                raise_error=False,
            )
        except OSError:
            return False
        return reply.code == 200

    async def wait_state(self, settings, job_id, state):
        while True:
            code, body = await self.call(settings, 'GET', f'/jobs/{job_id}')
            if code == 200 and json.loads(body)['state'] == state:
                return
            await asyncio.sleep(0.05)

    async def wait_owner(self):
        while True:
            for name, (process, _, _) in self.processes.items():
                if process.node.local_shard() is not None:
                    return name
            await asyncio.sleep(0.02)

    async def close(self):
        self.failure.cancel()
        for process, task, _ in self.processes.values():
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)
            await process.node.close()
            for server in process.servers:
                server.stop()
        for task in self.tasks:
            task.cancel()
        for server in self.servers:
            server.stop()


def job_body(**overrides):
    step = {'count': 4, 'cpu': 1_000, 'ram_mb': 256, 'estimate_ms': 100}
    document = {
        'spec': 'text',
        'phases': [step, {**step, 'after': [0]}],
        **overrides,
    }
    return json.dumps(document)


def run(scenario):
    async def bounded():
        installation = Installation()
        try:
            async with asyncio.timeout(SCENARIO_TIMEOUT_S):
                running = asyncio.ensure_future(scenario(installation))
                await asyncio.wait(
                    (running, installation.failure),
                    return_when=asyncio.FIRST_COMPLETED,
                )
                if installation.failure.done():
                    running.cancel()
                    await installation.failure
                await running
        finally:
            await installation.close()

    random.seed(1)
    asyncio.run(bounded())
