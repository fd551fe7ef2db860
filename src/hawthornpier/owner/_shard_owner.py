"""
The owner of a shard, the sole authority for admission to its workers.
"""

import contextlib
from collections.abc import Callable, Iterable, Mapping

from hawthornpier.messages import (
    EventKind,
    FenceReply,
    ForwardedRequest,
    HostRecord,
    HostState,
    JobSpec,
    JobView,
    Outcome,
    ShardLoad,
    StartVerdict,
    TaskAction,
    TaskOutcome,
    WorkerReport,
)
from hawthornpier.owner._adopted_requests import AdoptedRequestTracker
from hawthornpier.owner._background_tasks import BackgroundTasks
from hawthornpier.owner._context import ShardContext
from hawthornpier.owner._dispatch import Dispatcher, TaskDecision
from hawthornpier.owner._errors import OwnerError, ShardClosedError
from hawthornpier.owner._exclusions import (
    ExclusionReason,
    WorkerExclusions,
    worker_info_of,
)
from hawthornpier.owner._interfaces import (
    AdmissionGate,
    Committer,
    ServiceCatalog,
)
from hawthornpier.owner._jobs import JobRegistry
from hawthornpier.owner._keyed_requests import KeyedRequestServer
from hawthornpier.owner._link import LeasedRun, LinkState, WorkerLink
from hawthornpier.owner._records import WorkerSet, put, worker_set_key
from hawthornpier.owner._recovery import load_records
from hawthornpier.owner._requests import RequestServer
from hawthornpier.owner._timing import OwnerTiming
from hawthornpier.policy import (
    EvictTask,
    PlaceTask,
    RejectTask,
    SchedulingPolicy,
    ThrottleTask,
)
from hawthornpier.ports import Clock, EventSink, TableStore, WorkerPort


class ShardOwner:
    """
    Admits requests and batch tasks to the workers of one shard.

    The scheduling policy makes the decisions.  Each worker has a `WorkerLink`,
    which runs as a background task.
    """

    def __init__(
        self,
        *,
        shard: str,
        epoch: int,
        policy: SchedulingPolicy,
        committer: Committer,
        store: TableStore,
        connect: Callable[[HostRecord], WorkerPort],
        catalog: ServiceCatalog,
        gate: AdmissionGate,
        clock: Clock,
        timing: OwnerTiming,
        events: EventSink,
    ) -> None:
        self.shard = shard
        self.epoch = epoch
        self._policy = policy
        self._committer = committer
        self._store = store
        self._connect = connect
        self._catalog = catalog
        self._gate = gate
        self._clock = clock
        self._timing = timing
        self._events = events
        self._links: dict[str, WorkerLink] = {}
        self._tasks = BackgroundTasks(
            clock=clock,
            restart_delay_ms=timing.retry_delay_ms,
            on_error=self._record_error,
        )
        self._is_open = False
        self._is_recovered = False
        self._opened_ms = clock.monotonic_ms()
        self._unfenced_worker_ids: set[str] = set()
        self._recorded_worker_ids: set[str] = set()
        self._in_flight_count = 0
        context = ShardContext(
            shard=shard,
            epoch=epoch,
            policy=policy,
            links=self._links,
            committer=committer,
            catalog=catalog,
            clock=clock,
            timing=timing,
            tasks=self._tasks,
            events=events,
        )
        self.jobs = JobRegistry(context)
        runner = self.jobs.runner
        self._task_handlers: Mapping[type, Callable[..., None]] = {
            PlaceTask: runner.place,
            ThrottleTask: runner.throttle,
            EvictTask: runner.evict,
            RejectTask: runner.reject,
        }
        self._dispatcher = Dispatcher(
            policy=policy,
            clock=clock,
            gate=gate,
            on_task_decision=self._on_task_decision,
        )
        self._exclusions = WorkerExclusions(context)
        self._adopted_requests = AdoptedRequestTracker(
            context, self._dispatcher
        )
        self._requests = RequestServer(context, self._dispatcher)
        self._keyed_requests = KeyedRequestServer(context, self._dispatcher)

    # Life cycle.

    async def open(
        self,
        list_hosts: Callable[[], Iterable[HostRecord]],
        *,
        wait_until_ms: int = 0,
    ) -> None:
        """
        Load the durable records, then start to fence workers and admit work.

        Args:
            list_hosts: Returns the workers of the shard.
            wait_until_ms: Monotonic time before which no work may start,
                because workers that do not check epochs may still accept
                messages of the previous owner.
        """
        records = await load_records(
            self.shard,
            store=self._store,
            clock=self._clock,
            on_unreadable=self._record_unreadable,
        )
        remaining_ms = wait_until_ms - self._clock.monotonic_ms()
        if remaining_ms > 0:
            await self._clock.sleep_ms(remaining_ms)
        self._opened_ms = self._clock.monotonic_ms()
        self.jobs.load(records.jobs, records.chunks)
        self._recorded_worker_ids = set(records.workers.worker_ids)
        self._unfenced_worker_ids = set(records.workers.worker_ids)
        self._policy.set_limits(self._catalog.limits(self.shard))
        self._keyed_requests.load(records.intents)
        self._is_open = True
        await self.set_hosts(list_hosts())
        self._tasks.keep_running(self._tick)
        self._tasks.keep_running(self._purge)

    async def set_hosts(self, hosts: Iterable[HostRecord]) -> None:
        """
        Apply a host list: fence new workers and exclude leaving ones.
        """
        if not self._is_open:
            return
        listed = {host.worker_id: host for host in hosts}
        if not await self._record_workers(listed.keys()):
            self._tasks.spawn(self._retry_set_hosts(tuple(listed.values())))
        for host in listed.values():
            self._apply_host_record(host)
        for worker_id, link in self._links.items():
            if worker_id not in listed:
                self._exclusions.exclude(
                    link, ExclusionReason.LISTED_AS_LEAVING
                )

    def refresh_limits(self) -> None:
        """
        Pass the weights and limits in force to the policy.
        """
        self._policy.set_limits(self._catalog.limits(self.shard))

    async def drain(self) -> None:
        """
        Reject new work and wait until all requests in flight have ended.
        """
        self._is_open = False
        self.jobs.runner.close()
        self._dispatcher.close()
        while self._in_flight_count:
            await self._clock.sleep_ms(self._timing.tick_interval_ms)

    async def close(self) -> None:
        """
        Stop immediately, after a handover or the loss of the shard.
        """
        self._is_open = False
        self.jobs.runner.close()
        self._dispatcher.close()
        await self._tasks.cancel()

    # Work.

    async def serve(self, request: ForwardedRequest) -> Outcome:
        """
        Run a caller's request and return its outcome.

        Raises:
            ShardClosedError: The request was not run, because this process
                accepts no work for the shard.
        """
        self._check_open()
        self._in_flight_count += 1
        try:
            if request.idempotency_key:
                return await self._keyed_requests.serve(request)
            return await self._requests.serve(request)
        finally:
            self._in_flight_count -= 1

    async def submit_job(self, job_id: str, spec: JobSpec) -> JobView:
        """
        Accept a job durably.

        Raises:
            OwnerError: The job was not accepted, or it is unknown whether it
                was.
        """
        self._check_open()
        view = await self.jobs.submit(job_id, spec)
        self._dispatcher.apply_decisions()
        return view

    async def cancel_job(self, job_id: str) -> JobView | None:
        """
        Cancel a job durably.

        Returns:
            The job, or None if the shard has no such job.

        Raises:
            OwnerError: The cancellation was not recorded, or it is unknown
                whether it was.
        """
        if not self._is_open:
            raise ShardClosedError('shard_moved')
        view = await self.jobs.cancel(job_id)
        self._dispatcher.apply_decisions()
        return view

    def load(self) -> ShardLoad:
        """
        Return the free slots and queue lengths of the shard.
        """
        request_count, task_count = self._policy.queued_counts()
        open_links = [
            link
            for link in self._links.values()
            if link.state is LinkState.OPEN
        ]
        return ShardLoad(
            shard=self.shard,
            epoch=self.epoch,
            free_slot_count=self._policy.free().slot_count,
            slot_count=sum(
                link.host.capacity.slot_count for link in open_links
            ),
            queued_request_count=request_count,
            queued_task_count=task_count,
        )

    @property
    def is_open(self) -> bool:
        """
        Return whether the shard accepts work in this process.
        """
        return self._is_open

    # Callbacks of the links; see `LinkListener`.

    def on_fenced(
        self,
        link: WorkerLink,
        reply: FenceReply,
        report: WorkerReport,
    ) -> None:
        """
        Adopt the worker's runs and requests and readmit it to placement.

        A worker that reports that it is leaving stays excluded.
        Runs that belong to no task that may run are stopped.
        """
        self._unfenced_worker_ids.discard(link.worker_id)
        now_ms = self._clock.monotonic_ms()
        self._policy.add_worker(worker_info_of(link.host), now_ms)
        self._apply_report(link, report)
        for running in reply.running:
            if not self.jobs.adopt_run(link, running.run_id, running.task_id):
                link.control(running.run_id, TaskAction.STOP)
        self._exclusions.readmit(
            link, ExclusionReason.UNREACHABLE, ExclusionReason.DEPOSED
        )
        for open_request in reply.open_requests:
            self._adopted_requests.adopt(link, open_request)
        self._record(EventKind.WORKER_JOINED, link)
        self._dispatcher.apply_decisions()

    def on_closed(self, link: WorkerLink) -> None:
        """
        Exclude a worker that does not reply from placement.
        """
        self._exclusions.exclude(link, ExclusionReason.UNREACHABLE)

    def on_lost(self, link: WorkerLink, runs: Iterable[LeasedRun]) -> None:
        """
        Remove a worker whose leases have expired and queue its tasks again.
        """
        self._unfenced_worker_ids.discard(link.worker_id)
        for run in runs:
            self.jobs.runner.handle_missing_run(run)
        self._policy.remove_worker(link.worker_id, self._clock.monotonic_ms())
        self._record(EventKind.WORKER_LOST, link)
        self._dispatcher.apply_decisions()

    def on_start_refused(
        self,
        link: WorkerLink,
        run: LeasedRun,
        verdict: StartVerdict | None,
    ) -> None:
        """
        Queue the task again; exclude the worker if it is leaving.
        """
        if verdict is StartVerdict.REFUSED_LEAVING:
            self._exclusions.exclude(link, ExclusionReason.REPORTED_LEAVING)
        self.jobs.runner.handle_refused_start(run)

    def on_outcome(self, link: WorkerLink, outcome: TaskOutcome) -> None:
        """
        Record the outcome of a run.
        """
        self.jobs.runner.handle_run_end(link, outcome)
        self._dispatcher.apply_decisions()

    def on_run_missing(self, link: WorkerLink, run: LeasedRun) -> None:
        """
        Handle a run of which the worker has no record.
        """
        self.jobs.runner.handle_missing_run(run)

    def on_report(self, link: WorkerLink, report: WorkerReport) -> None:
        """
        Pass a usage report to the policy; exclude a leaving worker.
        """
        self._apply_report(link, report)
        self._dispatcher.apply_decisions()

    def on_deposed(self, link: WorkerLink, highest_epoch: int) -> None:
        """
        Exclude a worker that rejects the messages of this owner.
        """
        self._exclusions.exclude(
            link, ExclusionReason.DEPOSED, f'epoch {highest_epoch}'
        )

    # Internals.

    def _apply_report(self, link: WorkerLink, report: WorkerReport) -> None:
        if report.is_leaving:
            self._exclusions.exclude(link, ExclusionReason.REPORTED_LEAVING)
        self._policy.observe(report, self._clock.monotonic_ms())

    def _check_open(self) -> None:
        if not self._is_open:
            raise ShardClosedError(
                'this process does not own the shard or is handing it over'
            )
        if not self._gate.may_admit():
            raise ShardClosedError(
                'this process has not confirmed its table version'
            )

    def _apply_host_record(self, host: HostRecord) -> None:
        link = self._links.get(host.worker_id)
        if host.state is HostState.LEAVING:
            if link is not None:
                self._exclusions.exclude(
                    link, ExclusionReason.LISTED_AS_LEAVING
                )
            return
        if link is None:
            self._add_link(host)
        elif self._exclusions.is_excluded_for(
            host.worker_id, ExclusionReason.LISTED_AS_LEAVING
        ):
            # The host list marks a worker as live again only after its
            # departure is certainly off, which also overrides the worker's
            # own report.
            self._exclusions.readmit(
                link,
                ExclusionReason.LISTED_AS_LEAVING,
                ExclusionReason.REPORTED_LEAVING,
            )

    def _add_link(self, host: HostRecord) -> None:
        if host.worker_id not in self._recorded_worker_ids:
            return
        link = WorkerLink(
            host=host,
            port=self._connect(host),
            shard=self.shard,
            epoch=self.epoch,
            clock=self._clock,
            timing=self._timing,
            listener=self,
        )
        self._links[host.worker_id] = link
        self._tasks.keep_running(link.run)

    async def _record_workers(self, worker_ids: Iterable[str]) -> bool:
        """
        Record workers durably before any work is started on them.

        A later owner reads from the record which workers it must fence.

        Returns:
            False if the commit failed.
        """
        recorded = self._recorded_worker_ids.union(worker_ids)
        if recorded == self._recorded_worker_ids:
            return True
        row = put(
            worker_set_key(self.shard),
            WorkerSet(worker_ids=tuple(sorted(recorded))),
        )
        try:
            await self._committer.commit(
                (row,),
                timeout_ms=self._timing.commit_deadline_ms,
            )
        except OwnerError:
            return False
        self._recorded_worker_ids = recorded
        return True

    async def _retry_set_hosts(self, hosts: tuple[HostRecord, ...]) -> None:
        await self._clock.sleep_ms(self._timing.retry_delay_ms)
        await self.set_hosts(hosts)

    def _on_task_decision(self, decision: TaskDecision) -> None:
        self._task_handlers[type(decision)](decision)

    def _record_unreadable(self, reason: str) -> None:
        self._events.record(
            EventKind.ROW_UNREADABLE,
            shard=self.shard,
            detail=reason,
        )

    def _record_error(self, error: BaseException) -> None:
        self._events.record(
            EventKind.PART_FAILED,
            shard=self.shard,
            detail=repr(error),
        )

    async def _tick(self) -> None:
        """
        Query the policy regularly, so that it also acts on deadlines.
        """
        while True:
            self._queue_recovered_tasks()
            self._dispatcher.apply_decisions()
            await self._clock.sleep_ms(self._timing.tick_interval_ms)

    async def _purge(self) -> None:
        """
        Delete ended work regularly, to bound memory and stored rows.
        """
        while True:
            await self._clock.sleep_ms(self._timing.purge_interval_ms)
            # After an error, the deletion is retried in the next interval.
            with contextlib.suppress(OwnerError):
                await self._keyed_requests.purge()
                await self.jobs.purge()

    def _queue_recovered_tasks(self) -> None:
        """
        Queue recovered tasks once no worker can hold an unreported run.

        That is the case when all workers on record are fenced or lost, or when
        all leases granted by earlier owners have expired.
        """
        if self._is_recovered:
            return
        age_ms = self._clock.monotonic_ms() - self._opened_ms
        if self._unfenced_worker_ids and age_ms <= self._timing.lease_expiry_ms:
            return
        self._is_recovered = True
        self.jobs.queue_waiting_tasks()
        self._events.record(EventKind.SHARD_RECOVERED, shard=self.shard)

    def _record(
        self,
        kind: EventKind,
        link: WorkerLink,
        detail: str = '',
    ) -> None:
        self._events.record(
            kind,
            shard=self.shard,
            worker_id=link.worker_id,
            detail=detail,
        )
