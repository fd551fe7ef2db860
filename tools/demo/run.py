"""
The course of the demo.
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

from demo import circle, report
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
_ENDED = frozenset(
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
    An entry address behind a balancer that skips processes not ready.
    """

    entry: HttpEntry
    is_ready: Callable[[], bool]

    async def send(self, request: EntryCall) -> EntryReply:
        """
        Send a request unless the process is not ready.
        """
        if not self.is_ready():
            return EntryReply(ended=CallResult.UNREACHABLE)
        return await self.entry.send(request)


@dataclass(frozen=True, slots=True, kw_only=True)
class Options:
    """
    How the demo runs.

    *is_killing* kills an entry process in the middle; *is_rolling* restarts
    one after the other gracefully.
    """

    duration_s: float
    seed: int
    is_killing: bool = False
    is_rolling: bool = False


class Demo:
    """
    Starts everything, sends the load, disturbs it and checks the history.
    """

    def __init__(self, options: Options, folder: pathlib.Path) -> None:
        self._options = options
        self._folder = folder
        self._processes = Processes(folder)
        self._clock = SystemClock()
        self._records: list[Record] = []
        self._summaries: list[Summary] = []
        self._views: list[JobView] = []
        self._limit_ms: tuple[float, float] = (0, 0)
        self._stopping: set[str] = set()
        self._ready: set[str] = set()
        domains = list(circle.REGIONS)
        self._entries = dict(
            zip(
                (f'{domain}-entry' for domain in domains),
                (f'127.0.0.1:{port}' for port in free_ports(len(domains))),
                strict=True,
            ),
        )
        self._operators = Operators(tuple(self._entries.values()))

    async def run(self) -> bool:
        """
        Run the demo; returns whether every guarantee held.
        """
        try:
            duration_s = await self._run_processes()
        finally:
            self._processes.end_all()
        return self._judge(duration_s)

    async def _run_processes(self) -> float:
        """
        Run everything; returns how long load and jobs took.
        """
        self._start_stand_ins()
        for name in self._entries:
            self._start_entry(name)
        await self._wait_ready(tuple(self._entries))
        await self._found_circle()
        started_s = time.monotonic()
        await self._load()
        await self._finish_jobs()
        duration_s = time.monotonic() - started_s
        await self._stop_entries(tuple(self._entries))
        return duration_s

    # Start.

    def _start_stand_ins(self) -> None:
        self._processes.start('platform', 'standin-platform')
        platform = str(self._processes.ready('platform')['address'])
        self._platform = platform
        for number, (domain, region) in enumerate(circle.REGIONS.items()):
            self._processes.start(
                f'{domain}-workers',
                'standin-workers',
                f'--name={domain}',
                f'--region={region}',
                f'--failure-domain={domain}',
                f'--count={circle.WORKERS_PER_DOMAIN}',
                f'--seed={self._options.seed + number}',
                f'--platform={platform}',
                f'--history={self._folder / domain}.jsonl',
            )
        for domain in circle.REGIONS:
            self._processes.ready(f'{domain}-workers')

    def _start_entry(self, name: str) -> None:
        path = self._folder / f'{name}.ini'
        path.write_text(self._settings(name))
        self._processes.start(name, 'daemon', str(path))

    def _settings(self, name: str) -> str:
        domain = name.removesuffix('-entry')
        address, _, port = self._entries[name].partition(':')
        domains = '\n'.join(
            f'    {known}: {region}' for known, region in circle.REGIONS.items()
        )
        founder = circle.founding_edits()[0].row
        return (
            f'[process]\nprocess_id = {name}\n'
            f'region = {circle.REGIONS[domain]}\nfailure_domain = {domain}\n'
            f'listen_address = {address}\nlisten_port = {port}\n'
            f'[platform]\nstore_address = {self._platform}\n'
            f'host_list_address = {self._platform}\n'
            f'[cluster]\nfailure_domains =\n{domains}\n'
            f'[security]\npeer_key_id = demo\n'
            f'peer_key = demo-key-for-loopback-only-0123456789\n'
            f'bootstrap_operators =\n'
            f'    {circle.FOUNDER}: {founder.operator_key_hash[0]}\n'
        )

    async def _wait_ready(self, names: Sequence[str]) -> None:
        for _ in range(_READY_TIMEOUT_S * 10):
            for ended in names:
                if not self._processes.is_alive(ended):
                    raise DemoError(self._processes.last_error(ended))
            replies = await asyncio.gather(
                *(self._probe(name) for name in names),
            )
            if all(replies):
                return
            await asyncio.sleep(0.1)
        raise DemoError('an entry process did not get ready')

    async def _probe(self, name: str) -> bool:
        """
        Ask for readiness, as the platform's balancer does.
        """
        reply = await call(
            self._entries[name],
            'GET',
            '/readyz',
            member=circle.FOUNDER,
        )
        if reply.is_ok:
            self._ready.add(name)
        else:
            self._ready.discard(name)
        return reply.is_ok

    async def _balance(self) -> None:
        while True:
            await asyncio.gather(*map(self._probe, self._entries))
            await asyncio.sleep(_PROBE_INTERVAL_S)

    async def _found_circle(self) -> None:
        """
        Found the table, and take the second member in.
        """
        version = await self._edit(circle.founding_edits(), circle.FOUNDER, 0)
        version = await self._edit(
            [circle.proposal_edit()],
            circle.FOUNDER,
            version,
        )
        version = await self._operators.approve(
            circle.NEWCOMER,
            member=circle.FOUNDER,
            version=version,
        )
        await self._edit(circle.newcomer_edits(), circle.NEWCOMER, version)
        sys.stdout.write('both members are in the circle\n')

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
            # Right after the start a process has not heard a majority yet.
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

    async def _load(self) -> None:
        duration_s = self._options.duration_s
        async with asyncio.TaskGroup() as group:
            watching = group.create_task(self._watch())
            balancing = group.create_task(self._balance())
            plans = circle.plans(duration_s)
            callers = [
                group.create_task(self._call_services(plan)) for plan in plans
            ]
            for plan in plans:
                for spec in plan.jobs:
                    await self._submit(spec)
            group.create_task(self._limit_carving())
            if self._options.is_killing:
                group.create_task(self._kill_one())
            if self._options.is_rolling:
                group.create_task(self._roll())
            for caller in callers:
                await caller
            watching.cancel()
            balancing.cancel()

    async def _call_services(self, plan: circle.MemberPlan) -> None:
        entries = [
            BalancedEntry(
                HttpEntry(
                    name=name,
                    address=address,
                    headers={'X-Member': plan.member},
                ),
                functools.partial(self._ready.__contains__, name),
            )
            for name, address in self._entries.items()
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

    async def _limit_carving(self) -> None:
        """
        Limit the carving plans for a while; another edit races with it.
        """
        step_s = self._options.duration_s / 5
        await asyncio.sleep(step_s)
        base_version = await self._table_version()
        replies = await asyncio.gather(
            self._recorded_edit(
                [circle.limit_edit(circle.LIMITED_RUNNING_COUNT)],
                circle.FOUNDER,
                base_version,
            ),
            self._recorded_edit(
                [circle.weight_edit(2)],
                circle.NEWCOMER,
                base_version,
            ),
        )
        statuses = sorted(reply.status for reply in replies)
        sys.stdout.write(f'two racing edits: statuses {statuses}\n')
        if not replies[0].is_ok:
            await self._edit(
                [circle.limit_edit(circle.LIMITED_RUNNING_COUNT)],
                circle.FOUNDER,
                await self._table_version(),
            )
        from_ms = self._clock.monotonic_ms()
        await asyncio.sleep(step_s * 2)
        self._limit_ms = (from_ms, self._clock.monotonic_ms())
        await self._edit(
            [circle.limit_edit(None)],
            circle.FOUNDER,
            await self._table_version(),
        )

    async def _table_version(self) -> int:
        reply = await self._operators.ask(
            'GET',
            '/v1/table',
            member=circle.FOUNDER,
        )
        return accepted_version(reply)

    async def _kill_one(self) -> None:
        await asyncio.sleep(self._options.duration_s / 2)
        name = next(iter(self._entries))
        self._stopping.add(name)
        self._record(
            RecordKind.PROCESS_EXITED,
            process_id=name,
            detail=EXIT_KILLED,
        )
        self._processes.signal(name, signal.SIGKILL)
        sys.stdout.write(f'{name} was killed\n')

    async def _roll(self) -> None:
        await asyncio.sleep(self._options.duration_s / 4)
        for name in self._entries:
            await self._stop_entries((name,))
            self._start_entry(name)
            await self._wait_ready((name,))
            self._stopping.discard(name)
            sys.stdout.write(f'{name} was restarted\n')

    # Progress.

    async def _watch(self) -> None:
        started_s = time.monotonic()
        printed_s = 0
        while True:
            for name in tuple(self._entries):
                await self._note_version(name)
            elapsed_s = int(time.monotonic() - started_s)
            if elapsed_s > printed_s:
                printed_s = elapsed_s
                self._print_progress(elapsed_s)
            await asyncio.sleep(0.2)

    async def _note_version(self, name: str) -> None:
        if name in self._stopping or not self._processes.is_alive(name):
            return
        reply = await call(
            self._entries[name],
            'GET',
            '/v1/status',
            member=circle.FOUNDER,
        )
        if reply.is_ok and name not in self._stopping:
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
        alive = sum(map(self._processes.is_alive, self._entries))
        version = max(record.version for record in self._records)
        sys.stdout.write(
            f'{elapsed_s:>3} s  entries {alive}  table {version}  requests'
            f' {counts[RecordKind.REQUEST_INVOKED]}'
            f'  answered {counts[RecordKind.REQUEST_ANSWERED]}'
            f'  not run {counts[RecordKind.REQUEST_NOT_RUN]}'
            f'  unknown {counts[RecordKind.REQUEST_UNKNOWN]}\n',
        )

    # End.

    async def _finish_jobs(self) -> None:
        limit_s = time.monotonic() + _JOBS_TIMEOUT_S
        open_views = list(self._views)
        while open_views and time.monotonic() < limit_s:
            open_views = [
                view for view in open_views if not await self._settle(view)
            ]
            await asyncio.sleep(0.3)
        for view in open_views:
            sys.stdout.write(f'job {view.job_id} did not end\n')

    async def _settle(self, view: JobView) -> bool:
        current = await self._operators.show(view)
        if current is None:
            return False
        if any(task.state not in _ENDED for task in current.tasks):
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
            self._stopping.add(name)
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
                    f'{name} ended with {code}:'
                    f' {self._processes.last_error(name)}',
                )

    def _judge(self, duration_s: float) -> bool:
        files = [self._folder / f'{domain}.jsonl' for domain in circle.REGIONS]
        records = [*self._records, *load_history(files)]
        by_workload = {
            view.spec.workload: [task.task_id for task in view.tasks]
            for view in self._views
        }
        summaries = sorted(
            self._summaries,
            key=lambda each: (each.service, each.phase),
        )
        most = report.most_running(
            records,
            by_workload[circle.LIMITED_WORKLOAD],
            from_ms=self._limit_ms[0],
            to_ms=self._limit_ms[1],
        )
        findings = check_history(records)
        lines = [
            *report.service_lines(summaries),
            *report.batch_lines(
                records,
                short_workload_tasks=by_workload['row-photos'],
                duration_s=duration_s,
            ),
            report.limit_line(most),
            *map(str, findings.violations),
            f'guarantees               {findings.summary()}',
        ]
        for line in lines:
            sys.stdout.write(f'{line}\n')
        return not findings.violations and most <= circle.LIMITED_RUNNING_COUNT

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
            # Histories of two runs must not get into one file.
            pathlib.Path(keep).mkdir(parents=True, exist_ok=False)
        folder = keep or stack.enter_context(tempfile.TemporaryDirectory())
        demo = Demo(options, pathlib.Path(folder))
        return asyncio.run(demo.run())
