"""
Starts a small deployment for a case, and calls it as clients do.
"""

import asyncio
import json
import os
import pathlib
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time

from tornado.httpclient import HTTPClientError
from tornado.simple_httpclient import SimpleAsyncHTTPClient

ROOT = pathlib.Path(__file__).resolve().parents[1]
HERE = pathlib.Path(__file__).resolve().parent
HOST = 'desk.example'
PREFIX = '/jobs/'
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2
HAS_TROUBLE = os.environ.get('TROUBLE', '1') != '0'

SETTINGS = """\
node_name={name}
role=entry
machine_class=edge
serves=edge
ip={ip}
zone=z1
region=east
zones.z1=east
bind_addresses.frontend={ip}:{frontend}
bind_addresses.readiness_addr={ip}:{readiness}
internal_ports={internal},{internal_last}
seeds=
bootstrap=true
limits.cpu_share=0.537
limits.cores=2
limits.memory_mb=300
limits.max_fds=4100
limits.link_mbps=1000.0
discovery=platform
entry=vip
heartbeat_ms=1500
contracts=base,drain,config,cost,recover,sched,platform,sharing
bounds.contact_ms=4000
bounds.ack_ms=5000
bounds.drain_ms=2500
bounds.grace_s=6
bounds.loss_slack_ms=200
bounds.config_apply_ms=2500
bounds.recover_s=12
bounds.hold_max_ms=6000
bounds.stop_ms=400
bounds.gang_timeout_ms=3000
bounds.cancel_ms=3000
bounds.visible_ms=3000
bounds.early_ms=250
bounds.finish_s=14
bounds.status_s=120
bounds.remote_factor=3
bounds.checkpoint_s=2
bounds.restore_ms=600
bounds.notice_ms=5500
bounds.lease_ms=3000
bounds.pace_ms=100
bounds.interference_ms=4000
control_mode=call
platform.address={store}
platform.form=table
platform.writes_per_s=600
platform.reads_per_s=2000
platform.tx_ms=8.0
platform.part_writes_per_s=150
platform.row_bytes=65536
platform.across=false
platform.history_s=20
"""


def free_ports(count):
    """
    Return ports of the loopback address that are free now.

    They are below those that the system gives to outgoing channels.
    """
    ports = []
    while len(ports) < count:
        port = random.SystemRandom().randrange(12_000, 30_000)
        with socket.socket() as probe:
            try:
                probe.bind(('127.0.0.1', port))
            except OSError:
                continue
        if port not in ports:
            ports.append(port)
    return ports


class Node:
    """
    One machine of the system, with the process on it.
    """

    def __init__(self, name, frontend, readiness, internal):
        self.name = name
        self.frontend = frontend
        self.readiness = readiness
        self.internal = internal
        self.process = None


class Deployment:
    """
    A store, workers and entry processes on the loopback address.

    Args:
        folder: The folder of the case, to which the record is written.
        node_count: The number of entry processes.
        worker_count: The number of workers.
        max_attempts: Of the queue.
    """

    def __init__(
        self, folder, *, node_count=3, worker_count=8, max_attempts=3, cpu=8_000
    ):
        self.record_path = pathlib.Path(folder) / 'record.txt'
        self.record_path.write_text('')
        self.scratch = tempfile.TemporaryDirectory()
        self.processes = []
        self.workers = {}
        self.worker_settings = {}
        self.nodes = []
        self.max_attempts = max_attempts
        self.cpu = cpu
        self.client = SimpleAsyncHTTPClient(
            force_instance=True, max_clients=200
        )
        self.node_count = node_count
        self.worker_count = worker_count
        self.log = open(pathlib.Path(self.scratch.name) / 'log', 'wb')

    def record(self, event, **fields):
        """
        Append a line to the record.
        """
        line = {'t': round(time.time(), 3), 'event': event, **fields}
        with self.record_path.open('a') as record:
            record.write(json.dumps(line) + '\n')

    def events(self):
        """
        Return the lines of the record.
        """
        lines = self.record_path.read_text().splitlines()
        return [json.loads(line) for line in lines]

    def spawn(self, arguments, **environment):
        """
        Start a process.
        """
        paths = {'PATH': os.environ.get('PATH', ''), 'HOME': self.scratch.name}
        process = subprocess.Popen(
            arguments,
            cwd=ROOT,
            stdin=subprocess.DEVNULL,
            stdout=self.log,
            stderr=subprocess.STDOUT,
            env={
                **paths,
                'PYTHONPATH': str(ROOT / 'target' / 'deps'),
                'PYTHONDONTWRITEBYTECODE': '1',
                **environment,
            },
        )
        self.processes.append(process)
        return process

    async def start(self):
        """
        Start everything, and wait until the entry processes are ready.
        """
        ports = free_ports(1 + self.worker_count + 4 * self.node_count)
        self.store = f'127.0.0.1:{ports.pop()}'
        self.spawn(
            [sys.executable, str(HERE / 'store_2.py'), self.store.split(':')[1]]
        )
        await self._until(self._store_is_up, 'the store')
        await self.configure(1)
        for number in range(self.worker_count):
            self.worker_settings[f'w-{number}'] = {
                'id': f'w-{number}',
                'port': ports.pop(),
                'store': self.store,
                'record': str(self.record_path),
                'cpu': self.cpu,
                'rack': f'r{number // 2}',
            }
            self.start_worker(f'w-{number}')
        for number in range(self.node_count):
            node = Node(f'edge-{number}', ports.pop(), ports.pop(), ports.pop())
            ports.pop()
            self.nodes.append(node)
            self.start_node(node)
        for node in self.nodes:
            await self._until(lambda each=node: self.is_ready(each), node.name)
        await asyncio.sleep(4)

    async def configure(self, version, **route):
        """
        Write a manifest.
        """
        manifest = {
            'version': version,
            'routes': [
                {
                    'name': 'q-1',
                    'host': HOST,
                    'path_prefix': PREFIX,
                    'service': 'desk',
                    'priority': 0,
                    'max_attempts': self.max_attempts,
                    'slack_factor': 1.5,
                    'target_latency_ms': 400,
                    **route,
                }
            ],
            'services': [{'name': 'desk', 'admission_check': True}],
            'limits': {},
        }
        await self.put('op', 'config', manifest)

    async def put(self, table, key, value):
        body = {'table': table, 'key': key, 'value': json.dumps(value)}
        await self._fetch(
            f'http://{self.store}/standin/put', 'POST', json.dumps(body)
        )

    def start_worker(self, name):
        """
        Start a lifetime of a worker, at the address and under the id it had.
        """
        settings = json.dumps(self.worker_settings[name])
        self.workers[name] = self.spawn(
            [sys.executable, str(HERE / 'worker_2.py'), settings]
        )

    def kill_worker(self, name):
        """
        Crash a worker.
        """
        process = self.workers[name]
        process.send_signal(signal.SIGKILL)
        process.wait()
        self.record('killed', worker=name)

    def start_node(self, node, store=None):
        """
        Start an entry process with the command of the deploy file.
        """
        path = pathlib.Path(self.scratch.name) / f'{node.name}.conf'
        path.write_text(
            SETTINGS.format(
                name=node.name,
                ip='127.0.0.1',
                frontend=node.frontend,
                readiness=node.readiness,
                internal=node.internal,
                internal_last=node.internal,
                store=store or self.store,
            )
        )
        node.process = self.spawn(
            [sys.executable, 'src/hawthornpier_node.py'],
            HAWTHORNPIER_NODE_FILE=str(path),
        )

    async def is_ready(self, node):
        reply = await self._fetch(
            f'http://127.0.0.1:{node.readiness}/hawthornpier/readyz', 'GET'
        )
        return reply is not None and reply.code == 200

    async def submit(self, node, job_id, spec, phases, **fields):
        """
        Hand in a job; return the status, or None without an answer.
        """
        body = {'spec': json.dumps(spec), 'phases': phases, **fields}
        return await self.call(node, 'POST', job_id, json.dumps(body))

    async def state(self, node, job_id):
        """
        Return the status and the state of a job.
        """
        status, body = await self.call(node, 'GET', job_id)
        return status, json.loads(body or '{}').get('state', '')

    async def call(self, node, method, job_id, body=None):
        reply = await self._fetch(
            f'http://127.0.0.1:{node.frontend}{PREFIX}{job_id}',
            method,
            body,
            headers={
                'Host': HOST,
                'Content-Type': 'application/json',
                'Deadline-Ms': '3000',
            },
        )
        status = None if reply is None else reply.code
        answer = '' if reply is None else reply.body.decode()
        self.record(
            'call',
            node=node.name,
            method=method,
            job=job_id,
            status=status,
            answer=answer[:200],
        )
        return status, answer

    async def _fetch(self, url, method, body=None, headers=None):
        try:
            return await self.client.fetch(
                url,
                method=method,
                body=body,
                headers=headers,
                raise_error=False,
                allow_nonstandard_methods=True,
                request_timeout=3,
            )
        except (OSError, HTTPClientError):
            return None

    async def _store_is_up(self):
        reply = await self._fetch(
            f'http://{self.store}/standin/table?table=op', 'GET'
        )
        return reply is not None and reply.code == 200

    async def _until(self, is_met, what):
        for _ in range(150):
            if await is_met():
                return
            await asyncio.sleep(0.1)
        raise RuntimeError(f'{what} did not start')

    async def wait_event(self, limit_s, **wanted):
        """
        Return the first line of the record with these fields, or None.
        """
        end_s = time.monotonic() + limit_s
        while time.monotonic() < end_s:
            for line in self.events():
                if all(line.get(key) == each for key, each in wanted.items()):
                    return line
            await asyncio.sleep(0.02)
        return None

    def close(self):
        """
        End all processes that this case has started.
        """
        for process in self.processes:
            if process.poll() is None:
                process.kill()
        for each in self.processes:
            each.wait()
        self.log.close()
        keep = os.environ.get('KEEP_LOG')
        if keep:
            text = (pathlib.Path(self.scratch.name) / 'log').read_bytes()
            pathlib.Path(keep).write_bytes(text)
        self.scratch.cleanup()


def run(folder, scenario, **options):
    """
    Run a scenario, and exit with its result.
    """

    async def bounded():
        deployment = Deployment(folder, **options)
        try:
            async with asyncio.timeout(110):
                await deployment.start()
                return await scenario(deployment)
        except Exception as error:
            deployment.record('could_not_run', why=repr(error))
            return COULD_NOT_RUN
        finally:
            deployment.close()

    result = asyncio.run(bounded())
    print({HELD: 'held', BROKEN: 'broken', COULD_NOT_RUN: 'could not run'}[result])
    sys.exit(result)
