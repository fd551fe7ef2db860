"""
Property tests: arbitrary events, checked by an independent ledger.
"""

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
)

from hawthornpier.messages import (
    LatencySample,
    Resources,
    TaskResult,
    WorkerReport,
)
from hawthornpier.policy import (
    EvictTask,
    Headroom,
    Health,
    Interference,
    Mitigation,
    Placement,
    PlaceRequest,
    PlaceTask,
    PolicySettings,
    QueueOrder,
    RejectTask,
    RequestDemand,
    RequestResult,
    Scheduler,
    Shedding,
    ShedRequest,
    SizeEstimate,
    TaskDemand,
    ThrottleTask,
    WorkerInfo,
    WorkloadLimits,
)

_WORKERS = st.sampled_from(['w0', 'w1', 'w2', 'w3'])
_DEMANDS = st.builds(
    Resources,
    processor_millis=st.integers(0, 2000),
    memory_bytes=st.integers(0, 60),
    accelerator_count=st.integers(0, 1),
    slot_count=st.integers(0, 2),
)
_SETTINGS = st.builds(
    PolicySettings,
    placement=st.sampled_from(Placement),
    queue_order=st.sampled_from(QueueOrder),
    size_estimate=st.sampled_from(SizeEstimate),
    interference=st.sampled_from(Interference),
    shedding=st.sampled_from(Shedding),
    headroom=st.sampled_from(Headroom),
    mitigation=st.sampled_from(Mitigation),
    health=st.sampled_from(Health),
)


def charged_resources(work: RequestDemand | TaskDemand) -> Resources:
    """
    Return the resources that work occupies: its demand, at least one slot.
    """
    slots = Resources(slot_count=0 if work.demand.slot_count else 1)
    return work.demand + slots


class SchedulerMachine(RuleBasedStateMachine):
    """
    Guarantees G1 and G2 hold for any order of events and any settings.

    G1: no worker is overcommitted.  G2: no task runs in two places at once.
    """

    @initialize(choices=_SETTINGS, seed=st.integers(0, 9))
    def start(self, choices: PolicySettings, seed: int) -> None:
        """
        Start with an empty shard and a limit on one workload.
        """
        self.scheduler = Scheduler(settings=choices, seed=seed)
        self.scheduler.set_limits(
            [
                WorkloadLimits(name='b1', member='m', max_running_count=2),
            ]
        )
        self.now_ms = 0
        self.count = 0
        self.capacity: dict[str, Resources] = {}
        self.open: set[str] = set()
        self.queued: dict[str, RequestDemand | TaskDemand] = {}
        self.placed: dict[
            str, tuple[str, RequestDemand | TaskDemand, Resources]
        ] = {}

    @rule(name=_WORKERS, scale=st.integers(1, 2))
    def add_worker(self, name: str, scale: int) -> None:
        """
        Add, reopen or enlarge a worker.
        """
        scale = max(scale, 2 if name in self.capacity else 1)
        self.capacity[name] = Resources(
            processor_millis=2000 * scale,
            memory_bytes=50 * scale,
            accelerator_count=1,
            slot_count=2 * scale,
        )
        self.open.add(name)
        info = WorkerInfo(
            worker_id=name,
            region='r',
            failure_domain='f',
            rack='k',
            capacity=self.capacity[name],
        )
        self.scheduler.add_worker(info, self.now_ms)

    @rule(name=_WORKERS)
    def close_worker(self, name: str) -> None:
        """
        Close a worker, which may be unknown.
        """
        self.open.discard(name)
        self.scheduler.close_worker(name, self.now_ms)

    @rule(name=_WORKERS)
    def remove_worker(self, name: str) -> None:
        """
        Remove a worker, which may be unknown, with the work placed on it.
        """
        self.open.discard(name)
        self.capacity.pop(name, None)
        for key, entry in tuple(self.placed.items()):
            if entry[0] == name:
                self.placed.pop(key)
        self.scheduler.remove_worker(name, self.now_ms)

    @rule(
        service=st.sampled_from(['s0', 's1']),
        demand=_DEMANDS,
        patience_ms=st.integers(-10, 3000),
    )
    def add_request(
        self, service: str, demand: Resources, patience_ms: int
    ) -> None:
        """
        Queue a request, whose deadline may have passed already.
        """
        self.count += 1
        request = RequestDemand(
            request_id=f'r{self.count}',
            member='m',
            service=service,
            demand=demand,
            deadline_ms=self.now_ms + patience_ms,
        )
        self.queued[request.request_id] = request
        self.scheduler.add_request(request, self.now_ms)

    @rule(
        workload=st.sampled_from(['b0', 'b1']),
        demand=_DEMANDS,
        is_urgent=st.booleans(),
        done_work_ms=st.sampled_from([0, 400, 90_000]),
    )
    def add_task(
        self,
        workload: str,
        demand: Resources,
        is_urgent: bool,
        done_work_ms: int,
    ) -> None:
        """
        Queue a task.
        """
        self.count += 1
        task = TaskDemand(
            task_id=f'j{self.count // 3}/{self.count}',
            member='m',
            workload=workload,
            demand=demand,
            declared_work_ms=100,
            done_work_ms=done_work_ms,
            is_urgent=is_urgent,
        )
        self.queued[task.task_id] = task
        self.scheduler.add_task(task, self.now_ms)

    @precondition(lambda machine: machine.queued)
    @rule(pick=st.integers(0, 99))
    def cancel(self, pick: int) -> None:
        """
        Cancel queued work.
        """
        key = sorted(self.queued)[pick % len(self.queued)]
        if isinstance(self.queued.pop(key), RequestDemand):
            self.scheduler.cancel_request(key, self.now_ms)
        else:
            self.scheduler.cancel_task(key, self.now_ms)

    @precondition(lambda machine: machine.placed)
    @rule(
        pick=st.integers(0, 99),
        request_result=st.sampled_from(RequestResult),
        task_result=st.sampled_from(TaskResult),
        is_repeated=st.booleans(),
    )
    def end(
        self,
        pick: int,
        request_result: RequestResult,
        task_result: TaskResult,
        is_repeated: bool,
    ) -> None:
        """
        End placed work, possibly with a repeated report.

        Tasks that are not done are queued again.
        """
        key = sorted(self.placed)[pick % len(self.placed)]
        _, work, _ = self.placed.pop(key)
        for _ in range(1 + is_repeated):
            if isinstance(work, RequestDemand):
                self.scheduler.end_request(key, request_result, 50, self.now_ms)
            else:
                self.scheduler.end_task(key, task_result, self.now_ms)
        if isinstance(work, TaskDemand) and task_result != TaskResult.DONE:
            self.queued[key] = work
            self.scheduler.add_task(work, self.now_ms)

    @precondition(lambda machine: machine.queued and machine.capacity)
    @rule(pick=st.integers(0, 99))
    def adopt(self, pick: int) -> None:
        """
        Adopt queued work on a worker with enough free resources.
        """
        key = sorted(self.queued)[pick % len(self.queued)]
        name = sorted(self.capacity)[pick % len(self.capacity)]
        work = self.queued[key]
        if not charged_resources(work).fits_in(self.free_of(name)):
            return
        self.queued.pop(key)
        self.placed[key] = (name, work, charged_resources(work))
        if isinstance(work, RequestDemand):
            self.scheduler.adopt_request(work, name, self.now_ms)
        else:
            self.scheduler.adopt_task(work, name, self.now_ms)

    @rule(name=_WORKERS, duration_ms=st.floats(0, 5000))
    def observe(self, name: str, duration_ms: float) -> None:
        """
        Report latencies that were measured two seconds ago.
        """
        sample = LatencySample(
            service='s0',
            duration_ms=duration_ms,
            ended_ms=self.now_ms - 2000,
        )
        report = WorkerReport(
            worker_id=name,
            measured_ms=self.now_ms - 2000,
            usage=Resources(processor_millis=10**9),
            samples=(sample,) * 20,
        )
        self.scheduler.observe(report, self.now_ms)

    @rule(elapsed_ms=st.sampled_from([0, 1, 500, 3000, 60_000]))
    def decide(self, elapsed_ms: int) -> None:
        """
        Apply the scheduler's decisions to the independent ledger.
        """
        self.now_ms += elapsed_ms
        for decision in self.scheduler.decide(self.now_ms):
            match decision:
                case PlaceRequest(request_id=key, worker_id=name):
                    self.place(key, name)
                case PlaceTask(task_id=key, worker_id=name):
                    self.place(key, name)
                case ShedRequest(request_id=key) | RejectTask(task_id=key):
                    self.queued.pop(key)
                case EvictTask(task_id=key, worker_id=name):
                    assert self.placed[key][0] == name
                    assert not self.placed[key][1].is_urgent
                case ThrottleTask(task_id=key, worker_id=name):
                    assert self.placed[key][0] == name

    def place(self, key: str, name: str) -> None:
        """
        Move work from the queue to an open worker.
        """
        assert key not in self.placed
        assert name in self.open
        work = self.queued.pop(key)
        self.placed[key] = (name, work, charged_resources(work))

    def free_of(self, name: str) -> Resources:
        """
        Return a worker's free resources by the independent ledger.
        """
        free = self.capacity[name]
        for worker_id, _, demand in self.placed.values():
            if worker_id == name:
                free -= demand
        return free

    @invariant()
    def no_worker_is_overcommitted(self) -> None:
        """
        G1: the admitted demands fit within the capacity of each worker.
        """
        free = Resources()
        for name in self.capacity:
            assert Resources().fits_in(self.free_of(name))
            if name in self.open:
                free += self.free_of(name)
        assert self.scheduler.free() == free

    @invariant()
    def nothing_is_lost(self) -> None:
        """
        No request or task is lost: the numbers of queued ones are as expected,
        and the scheduler can explain why each queued task waits.
        """
        is_request = [
            isinstance(work, RequestDemand) for work in self.queued.values()
        ]
        assert self.scheduler.queued_counts() == (
            sum(is_request),
            len(is_request) - sum(is_request),
        )
        for key, work in self.queued.items():
            if isinstance(work, TaskDemand):
                assert self.scheduler.explain(key)


SchedulerMachine.TestCase.settings = settings(
    derandomize=True,
    deadline=None,
    max_examples=150,
    stateful_step_count=50,
)
TestScheduler = SchedulerMachine.TestCase
