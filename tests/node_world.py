"""
Entry processes, stand-ins and callers in one event loop on virtual time.

The processes use the real ports.  A process can be killed, or paused for
longer than its leases.  The network can block, delay, lose and duplicate
messages.  The stand-ins of the store and the workers have faults of their own.
"""

import asyncio
import random
from collections.abc import Awaitable, Callable, Coroutine, Iterable
from dataclasses import dataclass, field
from types import MappingProxyType
from typing import Any

from fake_store import PausableClock
from virtual_time import VirtualClock

from hawthornpier.daemon import Node, PeerService
from hawthornpier.entry import CallerRequest, EntryError
from hawthornpier.messages import (
    Answer,
    HostRecord,
    JobSpec,
    JobView,
    NotRun,
    Outcome,
    Resources,
    TaskState,
)
from hawthornpier.metrics import Metrics
from hawthornpier.ports import (
    PeerReplyLostError,
    PeerUnreachableError,
    StoreReplyLostError,
    StoreUnavailableError,
    WorkerReplyLostError,
    WorkerUnreachableError,
)
from hawthornpier.settings import Settings, parse_settings
from hawthornpier.table import (
    EditConflictError,
    MemberRow,
    PutRow,
    TableError,
    WorkloadClass,
    WorkloadRow,
    hash_operator_key,
)
from hawthornpier_standin.history import (
    EXIT_KILLED,
    TABLE_UNCONFIRMED,
    Record,
    RecordKind,
    Report,
    check_history,
)
from hawthornpier_standin.platform import MemoryStore
from hawthornpier_standin.workers import MemoryWorker, WorkerModel

MEMBER = 'yayasan'
IDEMPOTENT = 'stock-check'
ORDER = 'order'
REGIONS = MappingProxyType(
    {
        'ipoh': 'semenanjung',
        'melaka': 'semenanjung',
        'kuching': 'borneo',
    }
)
CAPACITY = Resources(
    processor_millis=32_000,
    memory_bytes=125_000_000_000,
    slot_count=8,
)
_KEY_HASH = hash_operator_key('operator-key-of-the-tests')
# Time after which the sender of a lost message gets an error.
LOSS_TIMEOUT_MS = 1_000
FINAL_STATES = frozenset(
    (
        TaskState.DONE,
        TaskState.FAILED,
        TaskState.CANCELLED,
        TaskState.UNKNOWN,
    )
)


@dataclass(slots=True)
class Network:
    """
    The network between processes, workers and the store.

    Args:
        rng: Source of randomness for losses and duplicates.
        delay_ms: Delay before each call is sent.
        loss_percent: Probability that a request or a reply is lost.
        duplicate_percent: Probability that a request is delivered twice.
        blocked_pairs: Pairs of names between which all messages are lost.
    """

    rng: random.Random
    delay_ms: float = 1
    loss_percent: int = 0
    duplicate_percent: int = 0
    blocked_pairs: set[frozenset[str]] = field(default_factory=set)

    def is_blocked(self, source: str, target: str) -> bool:
        """
        Return whether all messages between the two are lost.
        """
        return frozenset((source, target)) in self.blocked_pairs

    def fault_occurs(self, percent: int) -> bool:
        """
        Return whether a fault of this probability occurs, at random.
        """
        return self.rng.randrange(100) < percent


class Channel:
    """
    Carries one process's calls to one target over the network.

    *unreachable_error* and *reply_lost_error* are raised as the port that
    uses the channel defines them.
    """

    def __init__(
        self,
        world: 'World',
        source: str,
        target: str,
        unreachable_error: type[Exception],
        reply_lost_error: type[Exception],
    ) -> None:
        self._world = world
        self._source = source
        self._target = target
        self._unreachable_error = unreachable_error
        self._reply_lost_error = reply_lost_error

    async def call(
        self,
        action: Callable[[], Awaitable[Any]],
        *,
        timeout_ms: float = LOSS_TIMEOUT_MS,
    ) -> Any:
        """
        Deliver a call to the target and return its result.

        Raises:
            Exception: The channel's error for an unreachable target or for a
                lost reply, or the error that the call itself raised.
        """
        network = self._world.network
        clock = self._world.clock_of(self._source)
        await clock.sleep_ms(network.delay_ms)
        if self._loses_message():
            await clock.sleep_ms(timeout_ms)
            raise self._reply_lost_error('the request was lost')
        if network.fault_occurs(network.duplicate_percent):
            self._world.spawn(self._deliver(action))
        delivery = self._world.spawn(self._deliver(action))
        await asyncio.wait({delivery}, timeout=timeout_ms / 1000)
        await clock.wait_until_running()
        if not delivery.done() or self._loses_message():
            raise self._reply_lost_error('no reply was received in time')
        return delivery.result()

    def _loses_message(self) -> bool:
        network = self._world.network
        if network.is_blocked(self._source, self._target):
            return True
        return network.fault_occurs(network.loss_percent)

    async def _deliver(self, action: Callable[[], Awaitable[Any]]) -> Any:
        process = self._world.processes.get(self._target)
        if process is None:
            return await action()
        if process.node is None:
            raise self._unreachable_error(f'{self._target} is not running')
        # A paused process handles the message when it resumes.
        await process.clock.wait_until_running()
        node = process.node
        reply = await action()
        await process.clock.wait_until_running()
        if node is None or process.node is not node:
            raise self._reply_lost_error(
                f'{self._target} was killed before it replied'
            )
        return reply


class StorePort:
    """
    The store, called by one process over a channel.
    """

    def __init__(self, channel: Channel, store: MemoryStore) -> None:
        self._channel = channel
        self._store = store

    def __getattr__(self, name: str) -> Callable[..., Coroutine[Any, Any, Any]]:
        method = getattr(self._store, name)

        async def call(*arguments: Any) -> Any:
            return await self._channel.call(lambda: method(*arguments))

        return call


class WorkerChannel(StorePort):
    """
    A worker, called by one process over a channel.
    """

    async def request(self, request: Any) -> Any:
        """
        Send a caller's request, with its deadline as the timeout.
        """
        return await self._channel.call(
            lambda: self._store.request(request),
            timeout_ms=request.deadline_ms,
        )


class PeerChannel(StorePort):
    """
    A peer, called by one process over a channel.
    """

    def __init__(self, channel: Channel, process: 'Process') -> None:
        self._channel = channel
        self._process = process

    def __getattr__(self, name: str) -> Callable[..., Coroutine[Any, Any, Any]]:
        async def call(*arguments: Any) -> Any:
            return await self._channel.call(
                lambda: getattr(self._process.peer_service(), name)(
                    *arguments,
                ),
            )

        return call

    async def forward(self, request: Any) -> Any:
        """
        Forward a request, with its remaining time as the timeout.
        """
        return await self._channel.call(
            lambda: self._process.peer_service().forward(request),
            timeout_ms=request.remaining_ms,
        )


class Process:
    """
    One entry process, which can be started, killed, paused and stopped.
    """

    def __init__(self, world: 'World', name: str, rate: float) -> None:
        self.world = world
        self.name = name
        self.clock = PausableClock(rate=rate)
        self.node: Node | None = None
        self.signing_keys = ()
        self.is_stopping = False

    @property
    def is_running(self) -> bool:
        """
        Return whether the process accepts requests from callers.
        """
        return self.node is not None and not self.is_stopping

    def peer_service(self) -> PeerService:
        """
        Return the handler of requests from peers.

        Raises:
            PeerUnreachableError: The process is not running.
        """
        if self.node is None:
            raise PeerUnreachableError(f'{self.name} is not running')
        return PeerService(self.node.services)

    async def start(self) -> None:
        """
        Start a new incarnation of the process, without any earlier state.
        """
        # The checkers order exits and starts by time, so the two times must
        # differ.
        await self.clock.sleep_ms(2)
        if self.node is not None:
            # Another fault has started it meanwhile.
            return
        self.is_stopping = False
        self.node = Node(
            self.world.settings_of(self.name),
            self,
            Metrics(self.name),
            rng=self.world.rng,
        )
        if self.world.ignores_confirmation:
            # A deliberate defect: the process admits work although its table
            # is not confirmed.
            self.node.services.confirmation.may_admit = _always_true
        await self.node.start()

    async def kill(self) -> None:
        """
        Kill the process: it hands over no shard and releases no lease.
        """
        node = self.node
        if node is None:
            return
        self.node = None
        self.world.record(
            RecordKind.PROCESS_EXITED,
            process_id=self.name,
            detail=EXIT_KILLED,
        )
        self.clock.resume()
        await node.close()

    async def stop(self) -> None:
        """
        Stop the process gracefully.
        """
        node = self.node
        if node is None or self.is_stopping:
            return
        self.is_stopping = True
        self.world.record(RecordKind.STOP_REQUESTED, process_id=self.name)
        await node.leave()
        while node.activity.open_request_count and self.node is node:
            await self.clock.sleep_ms(20)
        if self.node is not node:
            return
        self.node = None
        self.world.record(RecordKind.PROCESS_EXITED, process_id=self.name)
        await node.close()

    # Implementation of `Connections`.

    def store(self) -> Any:
        """
        Return a port to the store.
        """
        channel = Channel(
            self.world,
            self.name,
            'store',
            StoreUnavailableError,
            StoreReplyLostError,
        )
        return StorePort(channel, self.world.store)

    def host_list(self) -> Any:
        """
        Return a port to the host list.
        """
        return self.store()

    def worker(self, host: HostRecord) -> Any:
        """
        Return a port to a worker.
        """
        channel = Channel(
            self.world,
            self.name,
            host.worker_id,
            WorkerUnreachableError,
            WorkerReplyLostError,
        )
        return WorkerChannel(channel, self.world.workers[host.worker_id])

    def peer(self, address: str) -> Any:
        """
        Return a port to the peer that listens at *address*.
        """
        name = self.world.name_at(address)
        channel = Channel(
            self.world,
            self.name,
            name,
            PeerUnreachableError,
            PeerReplyLostError,
        )
        return PeerChannel(channel, self.world.processes[name])


class World:
    """
    All processes, the platform, the workers, the callers and the operators.

    Args:
        seed: Seed of all random choices.
        processes_per_domain: Number of entry processes per failure domain.
        workers_per_domain: Number of workers per failure domain.
        has_guards: Whether the workers reject lower epochs and work above
            their capacity.
        ignores_confirmation: Whether processes admit work although their
            table is not confirmed, which is a deliberate defect.
        expects_guards: The setting `has_worker_guards` of the processes.
    """

    def __init__(
        self,
        *,
        seed: int,
        processes_per_domain: int = 1,
        workers_per_domain: int = 2,
        has_guards: bool = True,
        ignores_confirmation: bool = False,
        expects_guards: bool = True,
    ) -> None:
        self.expects_guards = expects_guards
        self.has_guards = has_guards
        self.ignores_confirmation = ignores_confirmation
        self.rng = random.Random(seed)
        self.network = Network(random.Random(seed + 1))
        self.clock = VirtualClock()
        self.store = MemoryStore(clock=self.clock)
        self.history: list[Record] = []
        self.views: list[JobView] = []
        self._tasks: set[asyncio.Task[Any]] = set()
        self._call_count = 0
        self.workers: dict[str, MemoryWorker] = {}
        self.processes: dict[str, Process] = {}
        for domain in REGIONS:
            for number in range(workers_per_domain):
                self._add_worker(domain, f'{domain}-w{number}', seed)
            for number in range(processes_per_domain):
                name = f'{domain}-{number}'
                # The rates of two clocks differ by up to 0.1 %.
                rate = 1 + self.rng.uniform(-0.0005, 0.0005)
                self.processes[name] = Process(self, name, rate)

    async def start(self) -> None:
        """
        Start all processes and create the table.
        """
        await asyncio.gather(
            *(process.start() for process in self.processes.values()),
        )
        await self.clock.sleep_ms(3_000)
        assert await self.edit(_initial_rows(), base_version=0)
        await self.clock.sleep_ms(2_000)

    async def finish(self, limit_ms: int = 180_000) -> Report:
        """
        Wait until all jobs have ended and check the history.
        """
        unfinished_jobs = list(self.views)
        for _ in range(limit_ms // 500):
            unfinished_jobs = [
                view
                for view in unfinished_jobs
                if not await self._record_if_ended(view)
            ]
            if not unfinished_jobs:
                break
            await self.clock.sleep_ms(500)
        # The history must contain the ends of the runs that are still on
        # workers.
        await self.clock.sleep_ms(2_000)
        for process in self.processes.values():
            await process.kill()
        # With a limit, a call that never ends fails the test; without one, the
        # loop would idle.
        async with asyncio.timeout(limit_ms / 1000):
            await asyncio.gather(*self._tasks, return_exceptions=True)
        return check_history(self.history)

    def spawn(
        self,
        coroutine: Coroutine[Any, Any, Any],
    ) -> 'asyncio.Task[Any]':
        """
        Run a coroutine as a task that `finish` waits for.
        """
        task = asyncio.ensure_future(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._on_task_done)
        return task

    def clock_of(self, name: str) -> PausableClock:
        """
        Return the clock of a process.
        """
        return self.processes[name].clock

    def running(self) -> list[Process]:
        """
        Return the processes that accept requests from callers.
        """
        return [each for each in self.processes.values() if each.is_running]

    def record(self, kind: RecordKind, **fields: Any) -> None:
        """
        Add a record to the history.
        """
        self.history.append(
            Record(
                at_ms=self.clock.monotonic_ms(),
                kind=kind,
                source=fields.pop('source', 'world'),
                **fields,
            ),
        )

    def name_at(self, address: str) -> str:
        """
        Return the name of the process that listens at *address*.
        """
        port = int(address.rpartition(':')[2])
        return list(self.processes)[port - 10_000]

    # Callers.

    def call(
        self,
        process: Process,
        service: str,
        *,
        key: str = '',
        deadline_ms: int = 2_000,
    ) -> 'asyncio.Task[None]':
        """
        Start a task in which a caller sends a request and records the outcome.
        """
        self._call_count += 1
        operation = f'op-{self._call_count}'
        request = CallerRequest(
            request_id=operation,
            member=MEMBER,
            service=service,
            body=f'{{"operation": "{operation}"}}',
            deadline_ms=deadline_ms,
            idempotency_key=key,
        )
        return self.spawn(self._call(process, request))

    async def _call(self, process: Process, request: CallerRequest) -> None:
        node = process.node
        if node is None:
            return
        fields = {
            'source': f'caller-{request.request_id}',
            'operation': request.request_id,
            'idempotency_key': request.idempotency_key,
            'is_idempotent': not request.idempotency_key,
        }
        self.record(
            RecordKind.REQUEST_INVOKED,
            content=request.body,
            **fields,
        )
        await process.clock.wait_until_running()
        node.activity.open_request_count += 1
        try:
            outcome = await node.services.entry.serve(request)
        finally:
            node.activity.open_request_count -= 1
        await process.clock.wait_until_running()
        if process.node is not node:
            kind = RecordKind.CONNECTION_CUT
            self.record(kind, process_id=process.name, **fields)
            return
        kind, content = _outcome_record(outcome)
        self.record(kind, content=content, **fields)

    # Operators.

    async def submit(
        self,
        spec: JobSpec,
        process: Process,
    ) -> JobView | None:
        """
        Submit a job and return its view, or None if it was not accepted.
        """
        if process.node is None:
            return None
        try:
            view = await process.node.services.jobs.submit(spec)
        except EntryError:
            return None
        self.views.append(view)
        self.record(
            RecordKind.JOB_ACCEPTED,
            operation=view.job_id,
            is_idempotent=spec.is_idempotent,
            task_ids=tuple(task.task_id for task in view.tasks),
        )
        return view

    async def edit(
        self,
        rows: Iterable[MemberRow | WorkloadRow],
        *,
        base_version: int,
        process: Process | None = None,
    ) -> bool:
        """
        Edit the table and return whether the edit was accepted.
        """
        process = process or self.running()[0]
        self._call_count += 1
        operation = f'edit-{self._call_count}'
        self.record(
            RecordKind.TABLE_EDIT_INVOKED,
            operation=operation,
            version=base_version,
        )
        if process.node is None:
            return False
        try:
            delta = await process.node.services.table_sync.edit(
                [PutRow(row=row) for row in rows],
                member=MEMBER,
                base_version=base_version,
            )
        except EditConflictError:
            self.record(RecordKind.TABLE_EDIT_CONFLICT, operation=operation)
            return False
        except TableError:
            return False
        self.record(
            RecordKind.TABLE_EDIT_ACCEPTED,
            operation=operation,
            version=delta.version,
        )
        return True

    def record_versions(self) -> None:
        """
        Record the table version of each process and whether it is confirmed.
        """
        for process in self.processes.values():
            if process.node is None:
                continue
            services = process.node.services
            # A paused process cannot admit work.
            may_admit = (
                process.clock.is_running and services.confirmation.may_admit()
            )
            self.record(
                RecordKind.TABLE_VERSION_SEEN,
                process_id=process.name,
                version=services.table.version,
                detail='' if may_admit else TABLE_UNCONFIRMED,
            )

    # Internals.

    async def _record_if_ended(self, view: JobView) -> bool:
        for process in self.running():
            assert process.node is not None
            try:
                current = await process.node.services.jobs.show(view.job_id)
            except EntryError:
                continue
            if current is None:
                continue
            if any(task.state not in FINAL_STATES for task in current.tasks):
                return False
            for task in current.tasks:
                self.record(
                    RecordKind.TASK_SETTLED,
                    task_id=task.task_id,
                    detail=task.state.value,
                )
            return True
        return False

    def settings_of(self, name: str) -> Settings:
        """
        Return the settings of a process.
        """
        domain = name.rpartition('-')[0]
        port = 10_000 + list(self.processes).index(name)
        domains = '\n'.join(f'    {each}: {REGIONS[each]}' for each in REGIONS)
        return parse_settings(
            f'[process]\nprocess_id = {name}\nregion = {REGIONS[domain]}\n'
            f'failure_domain = {domain}\nlisten_port = {port}\n'
            f'[platform]\nstore_address = 127.0.0.1:9\n'
            f'host_list_address = 127.0.0.1:9\n'
            f'has_worker_guards = {"yes" if self.expects_guards else "no"}\n'
            f'[cluster]\nfailure_domains =\n{domains}\n'
            f'[security]\nbootstrap_operators =\n    {MEMBER}: {_KEY_HASH}\n',
            path=f'{name}.ini',
        )

    def _add_worker(self, domain: str, worker_id: str, seed: int) -> None:
        self.workers[worker_id] = MemoryWorker(
            worker_id=worker_id,
            capacity=CAPACITY,
            clock=self.clock,
            seed=seed,
            has_guards=self.has_guards,
            model=WorkerModel(seed=seed),
            recorder=self.history.append,
        )
        self.store.hosts.put(
            HostRecord(
                worker_id=worker_id,
                address=worker_id,
                region=REGIONS[domain],
                failure_domain=domain,
                rack=f'{domain}-rack',
                capacity=CAPACITY,
            ),
        )

    def _on_task_done(self, task: 'asyncio.Task[Any]') -> None:
        self._tasks.discard(task)
        if not task.cancelled():
            # Retrieves the exception, so that asyncio does not log it: the
            # faults make calls fail, and each caller handles its own error.
            task.exception()


def _always_true() -> bool:
    return True


def _initial_rows() -> list[MemberRow | WorkloadRow]:
    return [
        MemberRow(member=MEMBER, operator_key_hash=(_KEY_HASH,)),
        *(
            WorkloadRow(
                member=MEMBER,
                name=name,
                workload_class=WorkloadClass.SERVICE,
                latency_target_ms=500,
                is_idempotent=name == IDEMPOTENT,
                processor_millis=1_000,
                memory_bytes=100_000_000,
            )
            for name in (IDEMPOTENT, ORDER)
        ),
        batch_row(weight=1),
    ]


def batch_row(weight: float) -> WorkloadRow:
    """
    Return the row of the batch workload.
    """
    return WorkloadRow(
        member=MEMBER,
        name='carving-plan',
        workload_class=WorkloadClass.BATCH,
        weight=weight,
    )


def _outcome_record(outcome: Outcome) -> tuple[RecordKind, str]:
    if isinstance(outcome, Answer):
        return RecordKind.REQUEST_ANSWERED, outcome.body
    if isinstance(outcome, NotRun):
        return RecordKind.REQUEST_NOT_RUN, ''
    return RecordKind.REQUEST_UNKNOWN, ''
