"""
Simulates entry processes, a store and workers of the fleet scheduler.

Everything runs in one event loop on virtual time.
"""

import asyncio
import dataclasses
import random

import msgspec
from fleet_connections import (
    FreezableClient,
    LocalPeer,
    LocalRelaySocket,
    PartitionedWorkerClient,
)
from fleet_rows import QUEUE, decode_configuration
from registry_rows import encode_entry
from run_checker import RunChecker
from virtual_time import VirtualClock

from hawthornpier import fleet
from hawthornpier.events import DecisionLog
from hawthornpier.platform import PlatformDecoder
from hawthornpier.ports import PeerUnreachableError
from hawthornpier.steps import JobPhase, JobPlan, StepPlan
from hawthornpier_standin import fleet as standin

REGISTRY = 'registry'
HEARTBEAT_MS = 1_500
# The registry drops the entry of a worker that has sent no heartbeat for this
# long.
ENTRY_EXPIRY_MS = 3 * HEARTBEAT_MS
# The wall clock when the world is created, in Unix time.
FIRST_WALL_MS = 1_800_000_000_000


class Node(fleet.FleetNode):
    """
    An entry process that can be killed or partitioned from its peers.
    """

    is_dead = False
    is_partitioned = False
    is_frozen = False
    # Whether no message of the owner reaches it, though its own ones arrive.
    is_deaf = False
    reaches_workers = True
    # How long a batch of the owner takes to reach it, and how many it got.
    relay_delay_s = 0.001
    relayed_batch_count = 0


class World:
    """
    A simulated installation: entry processes, store and workers.

    *cores* is the size of each host; the owner uses relays if it is small.
    """

    # How often a process looks whether a peer that it watches has given up the
    # shard.
    peer_poll_s = 0.02

    def __init__(self, *, node_count=3, worker_count=4, seed=1, cores=1):
        self.clock = VirtualClock(offset_ms=FIRST_WALL_MS)
        # After how long a call to a peer that does not respond fails.
        self.peer_timeout_s = 0.4
        self.peer_delay_s = 0.001
        # How many of the next replies with a handover are lost.
        self.lost_handover_count = 0
        # After how long a worker that a task has crashed starts again, and
        # whether it keeps its id.
        self.restart_delay_ms = 3_000
        self.crash_count = 0
        self.keeps_worker_id = False
        self.rng = random.Random(seed)
        self.checker = RunChecker()
        self.store = standin.StandinRowStore(self.clock)
        self.nodes = {}
        self.clients = {}
        self.models = {}
        # The steps of each job.
        self.steps = {}
        # By task, how many of its runs fail by their own fault.
        self.failures = {}
        self.log_lines = []
        self.workers = {}
        # By address.
        self.hosts = {}
        # By how much the clock of a host differs once its worker has crashed.
        self.restarted_clock_step_ms = 0
        # Workers that send no heartbeats.
        self.silent_workers = set()
        # Workers that only partitioned processes reach.
        self.parted_workers = set()
        self._tasks = []
        self._incarnation_count = 0
        for number in range(worker_count):
            self.add_worker(f'w{number}')
        self.configure(1)
        for number in range(node_count):
            self.start_node(f'n{number}', cores=cores)
        self._spawn(self._send_heartbeats())

    def prepare(self, context):
        return context

    def add_worker(self, worker_id, *, service='desk', **options):
        entry = fleet.WorkerEntry(
            worker_id=worker_id,
            service=service,
            address=f'{worker_id}:80',
            failure_domain='z',
            processor_millis=8_000,
            memory_mb=64_000,
            accelerator_count=0,
            incarnation_ms=self.clock.wall_ms(),
            **options,
        )
        worker = standin.StandinFleetWorker(
            entry,
            self.clock,
            model_of=self.model_of,
            on_run_event=self.checker.on_run_event,
            on_crash=self._handle_crash,
        )
        self.workers[worker_id] = worker
        self.hosts[entry.address] = worker
        self._spawn(worker.run())
        return worker

    def _host_at(self, entry):
        """
        Return what is at the address of an entry, if only a closed port.
        """
        host = self.hosts.get(entry.address)
        if host is None:
            host = standin.StandinFleetWorker(
                entry, self.clock, model_of=None, on_run_event=None
            )
            host.crash_and_refuse()
            self.hosts[entry.address] = host
        return host

    def _handle_crash(self, worker):
        self.crash_count += 1
        self._spawn(self._bring_back(worker))
        self._spawn(self._expire_entry(worker))

    async def _bring_back(self, worker):
        crashed_id = worker.entry.worker_id
        await self.run_for(self.restart_delay_ms)
        worker_id = crashed_id if self.keeps_worker_id else f'{crashed_id}+'
        self.workers[worker_id] = worker
        wall_ms = self.clock.wall_ms() + self.restarted_clock_step_ms
        worker.restart(worker_id, incarnation_ms=wall_ms + 1)

    def cut_off(self, worker):
        """
        Part a worker from all processes and the store; its runs go on.
        """
        worker.fault = standin.WorkerFault.PARTITIONED
        self.silent_workers.add(worker)
        self._spawn(self._expire_entry(worker))

    def reconnect(self, worker):
        worker.fault = standin.WorkerFault.NONE
        self.silent_workers.discard(worker)

    def recover_workers(self):
        for worker in self.workers.values():
            worker.fault = standin.WorkerFault.NONE

    def part(self, node, workers):
        """
        Part a process and workers from the others and the store.
        """
        node.is_partitioned = True
        node.client.fault = standin.StoreFault.SILENT
        self.parted_workers.update(workers)
        self.silent_workers.update(workers)
        for worker in workers:
            self._spawn(self._expire_entry(worker))

    def break_store(self, fault):
        """
        Set the fault of all connections to the store.
        """
        for node in self.nodes.values():
            node.client.fault = fault

    async def _expire_entry(self, worker):
        worker_id = worker.entry.worker_id
        await self.run_for(ENTRY_EXPIRY_MS)
        sends_heartbeats = worker.is_up and worker not in self.silent_workers
        if not sends_heartbeats or worker.entry.worker_id != worker_id:
            self.store.remove(REGISTRY, worker_id)

    def configure(self, version, queues=('orders',), *, unguarded=()):
        document = {
            'version': version,
            'queues': queues,
            'unguarded': unguarded,
        }
        self.store.put('op', 'config', msgspec.json.encode(document))

    def start_node(self, name, *, cores=1, link_mbps=1_000):
        self._incarnation_count += 1
        client = standin.StandinStoreClient(self.store)
        node_box = []
        log = DecisionLog(name, lines_per_s=10**6)
        log.record = self._record
        context = fleet.FleetContext(
            store=FreezableClient(node_box, client),
            decoder=PlatformDecoder(),
            dial=lambda entry: PartitionedWorkerClient(
                node_box[0],
                standin.StandinWorkerClient(self._host_at(entry), entry),
                lambda: self._host_at(entry) in self.parted_workers,
            ),
            clock=self.clock,
            log=log,
            bounds=fleet.PlatformBounds(),
            worker_timings=fleet.WorkerTimings(),
            ownership_timings=fleet.OwnershipTimings(),
            dial_peer=lambda card: LocalPeer(self, node_box[0], card),
            rng=random.Random(self.rng.random()),
            registry_table=REGISTRY,
            connect_relay=lambda address: self._connect_relay(
                node_box[0], address
            ),
        )
        node = Node(
            self.prepare(context),
            name=name,
            address=name,
            host_info=fleet.HostInfo(
                failure_domain='z',
                region='r',
                processor_cores=cores,
                link_mbps=link_mbps,
            ),
            configuration=fleet.ConfigurationSource(
                table='op',
                key='config',
                decode=decode_configuration,
            ),
        )
        node_box.append(node)
        node.client = client
        self.nodes[name] = node
        node.start()
        return node

    async def _connect_relay(self, origin, address):
        await asyncio.sleep(0.001)
        relay = self.nodes.get(address)
        if relay is None or relay.is_dead or relay.is_frozen or relay.is_deaf:
            raise PeerUnreachableError('refused')
        return LocalRelaySocket(self, origin, address)

    def kill(self, node):
        """
        Terminate a process without a handover.
        """
        node.is_dead = True
        for task in node._tasks:
            task.cancel()

    def owner(self):
        owners = [
            node
            for node in self.nodes.values()
            if not node.is_dead and node.local_shard() is not None
        ]
        return owners[0] if owners else None

    def model_of(self, task_key):
        job_id, _, step, _ = task_key.split('.')
        model = self.models[job_id][int(step)]
        if self.checker.failed_count(task_key) < self.failures.get(task_key, 0):
            return dataclasses.replace(model, fails=True)
        if task_key in self.checker.crashing_tasks:
            return dataclasses.replace(model, crashes_worker=True, work_ms=10)
        return model

    def plan(
        self,
        *steps,
        work_ms=200,
        crashing_tasks=(),
        queue=QUEUE,
        failures=(),
        max_attempts=QUEUE.max_attempts,
        **options,
    ):
        """
        Return a job; *crashing_tasks* crash each worker that starts them.

        They are given as (step, index); *failures* are given as (step, index)
        and the number of runs that fail.
        """
        job_id = f'{len(self.models):016x}'
        plans = steps or (StepPlan(task_count=4, processor_millis=1_000),)
        self.steps[job_id] = plans
        self.models[job_id] = [
            standin.TaskModel(
                work_ms=work_ms,
                is_lasting=step.is_lasting,
                processor_millis=step.processor_millis,
                image=step.image,
                tail_ms=20 if step.is_lasting else 0,
                is_filling=step.is_filling,
            )
            for step in plans
        ]
        self.checker.crashing_tasks.update(
            f'{job_id}.0.{step}.{index}' for step, index in crashing_tasks
        )
        self.checker.long_running_tasks.update(
            f'{job_id}.0.{number}.{index}'
            for number, step in enumerate(plans)
            for index in range(step.task_count)
            if step.is_lasting
        )
        self.failures.update(
            (f'{job_id}.0.{step}.{index}', count)
            for (step, index), count in failures
        )
        if not any(step.is_lasting for step in plans):
            self.checker.max_attempts[job_id] = max_attempts
        if any(step.may_run_copies for step in plans):
            self.checker.speculative_jobs.add(job_id)
        return JobPlan(
            job_id=job_id,
            payload='payload',
            steps=plans,
            queue=dataclasses.replace(queue, max_attempts=max_attempts),
            submitted_ms=self.clock.wall_ms(),
            **options,
        )

    async def wait_first_owner(self):
        await self.run_for(1_500)
        assert self.owner() is not None

    async def submit(self, plan):
        """
        Submit a job of one task once the first owner is ready; return its key.
        """
        await self.wait_first_owner()
        await self.any_node().entry.submit(plan)
        return f'{plan.job_id}.0.0.0'

    async def run_for(self, duration_ms):
        await asyncio.sleep(duration_ms / 1000)

    def has_logged(self, kind):
        return any(logged == kind for _, logged, _ in self.log_lines)

    async def wait_phase(self, job_id, expected, *, limit_ms=20_000):
        is_one = isinstance(expected, JobPhase)
        phases = {expected} if is_one else expected
        end_s = asyncio.get_running_loop().time() + limit_ms / 1000
        while asyncio.get_running_loop().time() < end_s:
            node = self.any_node()
            try:
                if await node.entry.show(job_id) in phases:
                    return
            except fleet.NotStoredError:
                pass
            await asyncio.sleep(0.05)
        raise AssertionError(f'{job_id} did not reach phase {expected}')

    async def wait_until(self, is_met, *, limit_ms=60_000):
        end_s = asyncio.get_running_loop().time() + limit_ms / 1000
        while not is_met():
            assert asyncio.get_running_loop().time() < end_s, 'waited in vain'
            await asyncio.sleep(0.02)

    async def wait_starts(self, count):
        await self.wait_until(lambda: self.checker.started_count >= count)

    async def wait_crashes(self, task, count):
        await self.wait_until(lambda: self.checker.crash_counts[task] >= count)

    def workers_of(self, task_key):
        """
        Return the workers on which a task is running.
        """
        return [
            self.workers[worker_id]
            for (running_key, _), worker_id in self.checker.running.items()
            if running_key == task_key
        ]

    def any_node(self):
        return next(
            node
            for node in self.nodes.values()
            if not node.is_dead and not node.is_partitioned
        )

    def finish(self):
        for node in self.nodes.values():
            self.kill(node)
        for task in self._tasks:
            task.cancel()
        assert not self.checker.violations

    def _spawn(self, coroutine):
        self._tasks.append(asyncio.ensure_future(coroutine))

    def _record(self, kind, **fields):
        self.log_lines.append((self.clock.monotonic_ms(), kind, fields))

    async def _send_heartbeats(self):
        while True:
            for worker in dict.fromkeys(self.workers.values()):
                if worker.is_up and worker not in self.silent_workers:
                    self.store.put(
                        REGISTRY,
                        worker.entry.worker_id,
                        encode_entry(worker.entry),
                    )
            await asyncio.sleep(HEARTBEAT_MS / 1000)
