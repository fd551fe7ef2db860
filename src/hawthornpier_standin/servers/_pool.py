"""
Runs many simulated workers in one process, each on its own port.
"""

from dataclasses import dataclass
from http import HTTPStatus

from tornado.web import Application, HTTPError

from hawthornpier.messages import HostRecord, HostState, Resources
from hawthornpier.ports import Clock
from hawthornpier_standin.servers._http import (
    LimitedServer,
    MessageHandler,
    listen,
)
from hawthornpier_standin.servers._platform import skip_request_log
from hawthornpier_standin.servers._worker import WorkerServer
from hawthornpier_standin.workers import (
    MemoryWorker,
    Recorder,
    WorkerFaults,
    WorkerModel,
)

# Longer than the deadline of any client, so that the client always gives up
# first.
_DEADLINE_MS = 3_600_000

_ALL_WORKERS = 'all'


@dataclass(frozen=True, slots=True, kw_only=True)
class WorkerPoolOptions:
    """
    Options of the workers of one process.

    Args:
        name: Prefix of the worker ids.
        host: Address to listen on.
        first_port: Port of the first worker; the others get the ports that
            follow. If 0, every worker gets a free port.
        worker_count: Number of workers.
        region: Region of all workers.
        failure_domain: Failure domain of all workers.
        rack: Rack of all workers; if empty, workers are divided into numbered
            racks.
        rack_size: Number of workers in a numbered rack.
        capacity: Resources of each worker.
        seed: Seed of the random service times.
        has_guards: Whether the workers reject lower epochs and demands
            beyond their capacity.
        model: Parameters of all workers.
    """

    name: str
    host: str = '127.0.0.1'
    first_port: int = 0
    worker_count: int = 1
    region: str = ''
    failure_domain: str = ''
    rack: str = ''
    rack_size: int = 8
    capacity: Resources = Resources()
    seed: int = 0
    has_guards: bool = True
    model: WorkerModel = WorkerModel()


class WorkerPool:
    """
    Runs the servers of all workers of one process.

    A control server lists the workers and sets their faults.

    Args:
        options: Options of the workers.
        clock: Time source of the workers.
        recorder: Receives the history records of all workers.
    """

    def __init__(
        self,
        options: WorkerPoolOptions,
        *,
        clock: Clock,
        recorder: Recorder,
    ) -> None:
        self._options = options
        self._clock = clock
        self._recorder = recorder
        self._worker_servers = {
            worker_server.worker.worker_id: worker_server
            for worker_server in map(
                self._start_worker_server, range(options.worker_count)
            )
        }
        context = {'pool': self}
        self._control = LimitedServer(
            Application(
                [
                    ('/control/v1/workers', _HostsHandler, context),
                    (
                        '/control/v1/workers/([^/]+)/faults',
                        _FaultsHandler,
                        context,
                    ),
                    ('/control/v1/workers/([^/]+)/hang', _HangHandler, context),
                ],
                log_function=skip_request_log,
            ),
        )

    def listen(self, port: int = 0) -> int:
        """
        Start the control server and return its port, a free one if *port* is 0.
        """
        return listen(self._control, self._options.host, port)

    def hosts(self) -> tuple[HostRecord, ...]:
        """
        Return the host records of the workers that are not dead.
        """
        return tuple(
            self._host_record(number, worker_server)
            for number, worker_server in enumerate(
                self._worker_servers.values()
            )
            if not worker_server.worker.faults.is_dead
        )

    def worker_servers(self, worker_id: str) -> tuple[WorkerServer, ...]:
        """
        Return the server of one worker, or those of all for the id ``all``.

        Raises:
            KeyError: There is no such worker.
        """
        if worker_id == _ALL_WORKERS:
            return tuple(self._worker_servers.values())
        return (self._worker_servers[worker_id],)

    async def close(self) -> None:
        """
        Stop all servers.
        """
        self._control.stop()
        await self._control.close_all_connections()
        for worker_server in self._worker_servers.values():
            await worker_server.close()

    def _start_worker_server(self, number: int) -> WorkerServer:
        options = self._options
        worker = MemoryWorker(
            worker_id=f'{options.name}-{number}',
            capacity=options.capacity,
            clock=self._clock,
            seed=options.seed,
            has_guards=options.has_guards,
            model=options.model,
            recorder=self._recorder,
            deadline_ms=_DEADLINE_MS,
        )
        return WorkerServer(
            worker,
            host=options.host,
            port=options.first_port and options.first_port + number,
        )

    def _host_record(
        self, number: int, worker_server: WorkerServer
    ) -> HostRecord:
        options = self._options
        rack_number = number // options.rack_size
        is_leaving = worker_server.worker.faults.is_leaving
        return HostRecord(
            worker_id=worker_server.worker.worker_id,
            address=worker_server.address,
            region=options.region,
            failure_domain=options.failure_domain,
            rack=options.rack or f'{options.name}-rack-{rack_number}',
            capacity=options.capacity,
            state=HostState.LEAVING if is_leaving else HostState.LIVE,
        )


class _PoolHandler(MessageHandler):
    def initialize(self, pool: WorkerPool) -> None:
        self.pool = pool

    def selected_servers(self, worker_id: str) -> tuple[WorkerServer, ...]:
        """
        Return the servers of the worker id in a path.

        Raises:
            HTTPError: There is no such worker (status 404).
        """
        try:
            return self.pool.worker_servers(worker_id)
        except KeyError as error:
            raise HTTPError(HTTPStatus.NOT_FOUND) from error


class _HostsHandler(_PoolHandler):
    def get(self) -> None:
        self.reply(self.pool.hosts())


class _FaultsHandler(_PoolHandler):
    def get(self, worker_id: str) -> None:
        self.reply(
            [
                worker_server.worker.faults
                for worker_server in self.selected_servers(worker_id)
            ]
        )

    async def put(self, worker_id: str) -> None:
        faults = self.message(WorkerFaults)
        for worker_server in self.selected_servers(worker_id):
            try:
                await worker_server.apply_faults(faults)
            except ValueError as error:
                raise HTTPError(
                    HTTPStatus.CONFLICT,
                    log_message=str(error),
                ) from error
        self.reply(faults)


class _HangHandler(_PoolHandler):
    def post(self, worker_id: str) -> None:
        for worker_server in self.selected_servers(worker_id):
            worker_server.server.hang_open_connections()
