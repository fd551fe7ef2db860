"""
Runs the demo: processes, load, faults and the check of the history.
"""

import asyncio
import contextlib
import functools
import pathlib
import signal
import sys
import tempfile
import time
from collections.abc import Callable, Sequence
from dataclasses import dataclass

from demo import deployment, report
from demo.operators import (
    CONFLICT,
    UNAVAILABLE,
    Operators,
    Reply,
    accepted_version,
    call,
)
from demo.processes import DemoError, Processes, free_ports

from hawthornpier.adapters import SystemClock
from hawthornpier.messages import JobView, TaskState
from hawthornpier_standin.callers import (
    CallResult,
    EntryCall,
    EntryReply,
    HttpEntry,
    LoadGenerator,
    Summary,
)
from hawthornpier_standin.history import (
    EXIT_KILLED,
    TABLE_UNCONFIRMED,
    Record,
    RecordKind,
    check_history,
    load_history,
)

_READY_TIMEOUT_S = 20
_JOBS_TIMEOUT_S = 60
_EDIT_RETRIES = 20
_PROBE_INTERVAL_S = 0.2
# An accepted edit of the table is in force everywhere after this time (G9).
_EDIT_IN_FORCE_MS = 5_000.0
_FINAL_STATES = frozenset(
    (
        TaskState.DONE,
        TaskState.FAILED,
        TaskState.CANCELLED,
        TaskState.UNKNOWN,
    )
)


@dataclass(frozen=True, slots=True)
class BalancedEntry:
    """
    An entry process behind a simulated load balancer.

    The load balancer skips the process while *is_ready* returns False.
    """

    entry: HttpEntry
    is_ready: Callable[[], bool]

    async def send(self, request: EntryCall) -> EntryReply:
        """
        Send a request, or report `UNREACHABLE` if the process is not ready.
        """
        if not self.is_ready():
            return EntryReply(ended=CallResult.UNREACHABLE)
        return await self.entry.send(request)


@dataclass(frozen=True, slots=True, kw_only=True)
class Options:
    """
    Options of the demo.

    Args:
        duration_s: Time during which callers send requests.
        seed: Seed of the stand-ins and of the load.
        kills_entry: Whether one entry process is killed halfway through.
        restarts_entries: Whether the entry processes are restarted gracefully,
            one after the other.
    """

    duration_s: float
    seed: int
    kills_entry: bool = False
    restarts_entries: bool = False


class Demo:
    """
    One run of the demo.

    It starts the stand-ins and entry processes, sends load, injects the faults
    that the options request and checks the recorded history.
    """

    def __init__(self, options: Options, folder: pathlib.Path) -> None:
        self._options = options
        self._folder = folder
        self._processes = Processes(folder)
        self._clock = SystemClock()
        self._records: list[Record] = []
        self._summaries: list[Summary] = []
        self._views: list[JobView] = []
        self._limit_window_ms: tuple[float, float] = (0, 0)
        self._stopping_entries: set[str] = set()
        self._ready_entries: set[str] = set()
        domains = list(deployment.REGIONS)
        self._entry_addresses = dict(
            zip(
                (f'{domain}-entry' for domain in domains),
                (f'127.0.0.1:{port}' for port in free_ports(len(domains))),
                strict=True,
            ),
        )
        self._operators = Operators(tuple(self._entry_addresses.values()))

    async def run(self) -> bool:
        """
        Run the demo and return whether every guarantee held.
        """
        try:
            duration_s = await self._run_processes()
        finally:
            self._processes.terminate_all()
        return self._check_and_report(duration_s)

    async def _run_processes(self) -> float:
        """
        Run all processes under load until the jobs have ended or timed out.

        Returns:
            The time in seconds that the load and the jobs took.
        """
        self._start_stand_ins()
        for name in self._entry_addresses:
            self._start_entry(name)
        await self._wait_ready(tuple(self._entry_addresses))
        await self._create_table()
        started_s = time.monotonic()
        await self._send_load()
        await self._wait_for_jobs()
        duration_s = time.monotonic() - started_s
        await self._stop_entries(tuple(self._entry_addresses))
        return duration_s

    # Start.

    def _start_stand_ins(self) -> None:
        self._processes.start('platform', 'standin-platform')
        platform = str(self._processes.wait_until_ready('platform')['address'])
        self._platform = platform
        for number, (domain, region) in enumerate(deployment.REGIONS.items()):
            self._processes.start(
                f'{domain}-workers',
                'standin-workers',
                f'--name={domain}',
                f'--region={region}',
                f'--failure-domain={domain}',
                f'--count={deployment.WORKERS_PER_DOMAIN}',
                f'--seed={self._options.seed + number}',
                f'--platform={platform}',
                f'--history={self._folder / domain}.jsonl',
            )
        for domain in deployment.REGIONS:
            self._processes.wait_until_ready(f'{domain}-workers')

    def _start_entry(self, name: str) -> None:
        path = self._folder / f'{name}.ini'
        path.write_text(self._settings_text(name))
        self._processes.start(name, 'daemon', str(path))

    def _settings_text(self, name: str) -> str:
        domain = name.removesuffix('-entry')
        address, _, port = self._entry_addresses[name].partition(':')
        domains = '\n'.join(
            f'    {known}: {region}'
            for known, region in deployment.REGIONS.items()
        )
        first_member = deployment.initial_edits()[0].row
        return (
            f'[process]\nprocess_id = {name}\n'
            f'region = {deployment.REGIONS[domain]}\n'
            f'failure_domain = {domain}\n'
            f'listen_address = {address}\nlisten_port = {port}\n'
            f'[platform]\nstore_address = {self._platform}\n'
            f'host_list_address = {self._platform}\n'
            f'[cluster]\nfailure_domains =\n{domains}\n'
            f'[security]\npeer_key_id = demo\n'
            f'peer_key = demo-key-for-loopback-only-0123456789\n'
            f'bootstrap_operators =\n'
            f'    {deployment.FIRST_MEMBER}: '
            f'{first_member.operator_key_hash[0]}\n'
        )

    async def _wait_ready(self, names: Sequence[str]) -> None:
        for _ in range(_READY_TIMEOUT_S * 10):
            for ended in names:
                if not self._processes.is_alive(ended):
                    raise DemoError(self._processes.stderr_tail(ended))
            replies = await asyncio.gather(
                *(self._probe(name) for name in names),
            )
            if all(replies):
                return
            await asyncio.sleep(0.1)
        raise DemoError('not all entry processes became ready in time')

    async def _probe(self, name: str) -> bool:
        """
        Return whether a process is ready, and record it for the load balancer.
        """
        reply = await call(
            self._entry_addresses[name],
            'GET',
            '/readyz',
            member=deployment.FIRST_MEMBER,
        )
        if reply.is_ok:
            self._ready_entries.add(name)
        else:
            self._ready_entries.discard(name)
        return reply.is_ok

    async def _probe_periodically(self) -> None:
        while True:
            await asyncio.gather(*map(self._probe, self._entry_addresses))
            await asyncio.sleep(_PROBE_INTERVAL_S)

    async def _create_table(self) -> None:
        """
        Create the table, and add and approve the second member.
        """
        version = await self._edit(
            deployment.initial_edits(), deployment.FIRST_MEMBER, 0
        )
        version = await self._edit(
            [deployment.proposal_edit()],
            deployment.FIRST_MEMBER,
            version,
        )
        version = await self._operators.approve(
            deployment.SECOND_MEMBER,
            member=deployment.FIRST_MEMBER,
            version=version,
        )
        await self._edit(
            deployment.second_member_edits(), deployment.SECOND_MEMBER, version
        )
        sys.stdout.write('the table has both members and their workloads\n')

    async def _edit(
        self,
        edits: Sequence[object],
        member: str,
        base_version: int,
    ) -> int:
        reply = await self._recorded_edit(edits, member, base_version)
        for _ in range(_EDIT_RETRIES):
            if reply.status != UNAVAILABLE:
                break
            # A process that has just started rejects edits until a majority of
            # the processes has replied to its heartbeats.
            await asyncio.sleep(0.2)
            reply = await self._recorded_edit(edits, member, base_version)
        return accepted_version(reply)

    async def _recorded_edit(
        self,
        edits: Sequence[object],
        member: str,
        base_version: int,
    ) -> Reply:
        operation = f'edit-{member}-{base_version}-{len(self._records)}'
        self._record(
            RecordKind.TABLE_EDIT_INVOKED,
            operation=operation,
            version=base_version,
        )
        reply = await self._operators.edit(
            edits,
            member=member,
            base_version=base_version,
        )
        if reply.is_ok:
            self._record(
                RecordKind.TABLE_EDIT_ACCEPTED,
                operation=operation,
                version=accepted_version(reply),
            )
        elif reply.status == CONFLICT:
            self._record(RecordKind.TABLE_EDIT_CONFLICT, operation=operation)
        return reply

    # Load.

    async def _send_load(self) -> None:
        duration_s = self._options.duration_s
        async with asyncio.TaskGroup() as group:
            watch_task = group.create_task(self._watch_status())
            probe_task = group.create_task(self._probe_periodically())
            member_plans = deployment.member_plans(duration_s)
            callers = [
                group.create_task(self._call_services(plan))
                for plan in member_plans
            ]
            for plan in member_plans:
                for spec in plan.jobs:
                    await self._submit(spec)
            group.create_task(self._limit_batch_workload())
            if self._options.kills_entry:
                group.create_task(self._kill_entry())
            if self._options.restarts_entries:
                group.create_task(self._rolling_restart())
            for caller in callers:
                await caller
            watch_task.cancel()
            probe_task.cancel()

    async def _call_services(self, plan: deployment.MemberPlan) -> None:
        entries = [
            BalancedEntry(
                HttpEntry(
                    name=name,
                    address=address,
                    headers={'X-Member': plan.member},
                ),
                functools.partial(self._ready_entries.__contains__, name),
            )
            for name, address in self._entry_addresses.items()
        ]
        generator = LoadGenerator(
            entries,
            clock=self._clock,
            recorder=self._records.append,
            name=plan.member,
            seed=self._options.seed,
        )
        self._summaries.extend(
            await generator.run(
                plan.loads,
                duration_ms=self._options.duration_s * 1000,
            ),
        )
        for balanced in entries:
            balanced.entry.close()

    async def _submit(self, spec: object) -> None:
        view = await self._operators.submit(spec)
        self._views.append(view)
        self._record(
            RecordKind.JOB_ACCEPTED,
            operation=view.job_id,
            task_ids=tuple(task.task_id for task in view.tasks),
        )

    async def _limit_batch_workload(self) -> None:
        """
        Limit the runs of one workload for two fifths of the duration.

        The limit is checked from the moment on at which an accepted edit must
        be in force everywhere.

        Another operator edits the same table version at the same time, so that
        one of the two edits gets a conflict.
        """
        step_s = self._options.duration_s / 5
        await asyncio.sleep(step_s)
        base_version = await self._table_version()
        replies = await asyncio.gather(
            self._recorded_edit(
                [deployment.limit_edit(deployment.LIMITED_RUNNING_COUNT)],
                deployment.FIRST_MEMBER,
                base_version,
            ),
            self._recorded_edit(
                [deployment.weight_edit(2)],
                deployment.SECOND_MEMBER,
                base_version,
            ),
        )
        statuses = sorted(reply.status for reply in replies)
        sys.stdout.write(f'two concurrent edits: HTTP statuses {statuses}\n')
        if not replies[0].is_ok:
            await self._edit(
                [deployment.limit_edit(deployment.LIMITED_RUNNING_COUNT)],
                deployment.FIRST_MEMBER,
                await self._table_version(),
            )
        from_ms = self._clock.monotonic_ms() + _EDIT_IN_FORCE_MS
        await asyncio.sleep(step_s * 2 + _EDIT_IN_FORCE_MS / 1000)
        self._limit_window_ms = (from_ms, self._clock.monotonic_ms())
        await self._edit(
            [deployment.limit_edit(None)],
            deployment.FIRST_MEMBER,
            await self._table_version(),
        )

    async def _table_version(self) -> int:
        reply = await self._operators.send_request(
            'GET',
            '/v1/table',
            member=deployment.FIRST_MEMBER,
        )
        return accepted_version(reply)

    async def _kill_entry(self) -> None:
        await asyncio.sleep(self._options.duration_s / 2)
        name = next(iter(self._entry_addresses))
        self._stopping_entries.add(name)
        self._record(
            RecordKind.PROCESS_EXITED,
            process_id=name,
            detail=EXIT_KILLED,
        )
        self._processes.signal(name, signal.SIGKILL)
        sys.stdout.write(f'{name} was killed\n')

    async def _rolling_restart(self) -> None:
        await asyncio.sleep(self._options.duration_s / 4)
        for name in self._entry_addresses:
            await self._stop_entries((name,))
            self._start_entry(name)
            await self._wait_ready((name,))
            self._stopping_entries.discard(name)
            sys.stdout.write(f'{name} was restarted\n')

    # Progress.

    async def _watch_status(self) -> None:
        started_s = time.monotonic()
        printed_s = 0
        while True:
            for name in tuple(self._entry_addresses):
                await self._record_version(name)
            elapsed_s = int(time.monotonic() - started_s)
            if elapsed_s > printed_s:
                printed_s = elapsed_s
                self._print_progress(elapsed_s)
            await asyncio.sleep(0.2)

    async def _record_version(self, name: str) -> None:
        if name in self._stopping_entries or not self._processes.is_alive(name):
            return
        reply = await call(
            self._entry_addresses[name],
            'GET',
            '/v1/status',
            member=deployment.FIRST_MEMBER,
        )
        if reply.is_ok and name not in self._stopping_entries:
            is_admitting = reply.document['may_admit']
            self._record(
                RecordKind.TABLE_VERSION_SEEN,
                process_id=name,
                version=int(reply.document['table_version']),
                detail='' if is_admitting else TABLE_UNCONFIRMED,
            )

    def _print_progress(self, elapsed_s: int) -> None:
        counts = {
            kind: sum(record.kind is kind for record in self._records)
            for kind in (
                RecordKind.REQUEST_INVOKED,
                RecordKind.REQUEST_ANSWERED,
                RecordKind.REQUEST_NOT_RUN,
                RecordKind.REQUEST_UNKNOWN,
            )
        }
        alive = sum(map(self._processes.is_alive, self._entry_addresses))
        version = max(record.version for record in self._records)
        sys.stdout.write(
            f'{elapsed_s:>3} s  entries {alive}  table version {version}'
            f'  requests {counts[RecordKind.REQUEST_INVOKED]}'
            f'  answered {counts[RecordKind.REQUEST_ANSWERED]}'
            f'  not run {counts[RecordKind.REQUEST_NOT_RUN]}'
            f'  unknown {counts[RecordKind.REQUEST_UNKNOWN]}\n',
        )

    # End.

    async def _wait_for_jobs(self) -> None:
        deadline_s = time.monotonic() + _JOBS_TIMEOUT_S
        unfinished_jobs = list(self._views)
        while unfinished_jobs and time.monotonic() < deadline_s:
            unfinished_jobs = [
                view
                for view in unfinished_jobs
                if not await self._record_if_ended(view)
            ]
            await asyncio.sleep(0.3)
        for view in unfinished_jobs:
            sys.stdout.write(f'job {view.job_id} did not end in time\n')

    async def _record_if_ended(self, view: JobView) -> bool:
        current = await self._operators.show(view)
        if current is None:
            return False
        if any(task.state not in _FINAL_STATES for task in current.tasks):
            return False
        for task in current.tasks:
            self._record(
                RecordKind.TASK_SETTLED,
                task_id=task.task_id,
                detail=task.state.value,
            )
        return True

    async def _stop_entries(self, names: Sequence[str]) -> None:
        running = [name for name in names if self._processes.is_alive(name)]
        for name in running:
            self._stopping_entries.add(name)
            self._record(RecordKind.STOP_REQUESTED, process_id=name)
            self._processes.signal(name, signal.SIGTERM)
        for name in running:
            code = await asyncio.to_thread(self._processes.wait, name)
            self._record(
                RecordKind.PROCESS_EXITED,
                process_id=name,
                detail=str(code),
            )
            if code:
                raise DemoError(
                    f'{name} exited with code {code}:'
                    f' {self._processes.stderr_tail(name)}',
                )

    def _check_and_report(self, duration_s: float) -> bool:
        files = [
            self._folder / f'{domain}.jsonl' for domain in deployment.REGIONS
        ]
        records = [*self._records, *load_history(files)]
        by_workload = {
            view.spec.workload: [task.task_id for task in view.tasks]
            for view in self._views
        }
        summaries = sorted(
            self._summaries,
            key=lambda each: (each.service, each.phase),
        )
        max_running = report.max_concurrent_runs(
            records,
            by_workload[deployment.LIMITED_WORKLOAD],
            from_ms=self._limit_window_ms[0],
            to_ms=self._limit_window_ms[1],
        )
        findings = check_history(records)
        lines = [
            *report.service_lines(summaries),
            *report.batch_lines(
                records,
                short_workload_tasks=by_workload['row-photos'],
                duration_s=duration_s,
            ),
            report.limit_line(max_running),
            *map(str, findings.violations),
            f'guarantees               {findings.summary()}',
        ]
        for line in lines:
            sys.stdout.write(f'{line}\n')
        return (
            not findings.violations
            and max_running <= deployment.LIMITED_RUNNING_COUNT
        )

    def _record(self, kind: RecordKind, **fields: object) -> None:
        self._records.append(
            Record(
                at_ms=self._clock.monotonic_ms(),
                kind=kind,
                source='demo',
                **fields,
            ),
        )


def run_demo(options: Options, keep: str = '') -> bool:
    """
    Run the demo in a temporary folder, or in the new folder *keep*.
    """
    with contextlib.ExitStack() as stack:
        if keep:
            # An existing folder is rejected, since the stand-ins would append
            # to the history files of an earlier run.
            pathlib.Path(keep).mkdir(parents=True, exist_ok=False)
        folder = keep or stack.enter_context(tempfile.TemporaryDirectory())
        demo = Demo(options, pathlib.Path(folder))
        return asyncio.run(demo.run())
