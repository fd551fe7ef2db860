"""
Simulation of job submission and of the shard owner's handling of tasks.
"""

from dataclasses import replace

from hawthornpier.messages import TaskResult
from hawthornpier.policy import EvictTask, PlaceTask, RejectTask, ThrottleTask
from tools.bench.arrivals import TaskArrival
from tools.bench.scenario import BatchLoad
from tools.bench.shard import SimulatedShard
from tools.bench.worker_model import Job, WorkerModel

# A checkpoint takes this long and fails with this probability.  A resumed task
# first repeats some work.
_CHECKPOINT_MS = 200
_CHECKPOINT_FAILURE = 0.05
_RESUME_MS = 500
# Tasks on a failing worker fail after at most this time.
_FAILURE_MS = 50


class TaskSimulator:
    """
    Submit tasks, apply the decisions on them and count the outcomes.

    Args:
        shard: The simulated shard.
    """

    def __init__(self, shard: SimulatedShard) -> None:
        self._shard = shard
        self._engine = shard.engine
        self._tasks: dict[str, TaskArrival] = {}
        self._batches = {
            batch.workload: batch for batch in shard.scenario.batches
        }

    def schedule(self) -> None:
        """
        Schedule the arrivals of all jobs and fill the backlogs.
        """
        for task in self._shard.arrivals.job_tasks():
            self._engine.call_at(task.at_ms, self._arrive, task)
        for batch in self._batches.values():
            self._fill_backlog(batch)

    def cancel(self, workload: str) -> None:
        """
        Cancel all queued tasks of a workload and fill its backlog again.
        """
        batch = self._batches.get(workload)
        if batch is None:
            return
        running: set[str] = set()
        for worker in self._shard.workers.values():
            running.update(worker.jobs)
        for task_id, task in tuple(self._tasks.items()):
            if task.demand.workload == workload and task_id not in running:
                self._shard.scheduler.cancel_task(task_id, self._engine.now)
                self._tasks.pop(task_id)
        self._fill_backlog(batch)

    def place(self, decision: PlaceTask) -> None:
        """
        Start a task on the worker that it was placed on.

        When a task of a backlog starts for the first time, a new task is
        queued in its place.
        """
        task = self._tasks[decision.task_id]
        is_resumed = task.demand.eviction_count > 0
        is_measured = task.is_short and self._shard.is_measured(task.at_ms)
        if is_measured and not is_resumed:
            wait_ms = self._engine.now_ms - task.at_ms
            self._shard.statistics.short_waits_ms.append(wait_ms)
        remaining_work_ms = task.work_ms - task.demand.done_work_ms
        remaining_work_ms += _RESUME_MS * is_resumed
        self._count_lost_work(_RESUME_MS * is_resumed, task)
        worker = self._shard.workers[decision.worker_id]
        if worker.is_failing:
            remaining_work_ms = min(remaining_work_ms, _FAILURE_MS)
        job = Job(
            job_id=decision.task_id,
            name=task.demand.workload,
            is_request=False,
            demand=task.demand.demand,
            usage_millis=task.usage_millis,
            remaining_work_ms=remaining_work_ms,
            started_ms=self._engine.now_ms,
            work_ms=remaining_work_ms,
            on_end=self._end,
        )
        if not worker.is_lost:
            self._shard.start_job(worker, job)
        batch = self._batches[task.demand.workload]
        if batch.backlog_count and not is_resumed:
            self._arrive(
                self._shard.arrivals.next_task(batch, self._engine.now_ms)
            )

    def evict(self, decision: EvictTask) -> None:
        """
        Freeze a task for its checkpoint; it keeps its slot until the end.
        """
        self._shard.statistics.count('evictions')
        worker = self._shard.workers[decision.worker_id]
        job = worker.jobs.get(decision.task_id)
        if job is not None:
            worker.set_flags(job, self._engine.now_ms, is_frozen=True)
            self._shard.schedule_next_completion(worker)
            self._engine.call_after(
                _CHECKPOINT_MS,
                self._end_eviction,
                worker,
                job,
            )

    def throttle(self, decision: ThrottleTask) -> None:
        """
        Throttle a task or lift its throttling.
        """
        self._shard.statistics.count('throttles', decision.is_throttled)
        worker = self._shard.workers[decision.worker_id]
        job = worker.jobs.get(decision.task_id)
        if job is not None:
            worker.set_flags(
                job,
                self._engine.now_ms,
                is_throttled=decision.is_throttled,
            )
            self._shard.schedule_next_completion(worker)

    def reject(self, decision: RejectTask) -> None:
        """
        Drop a rejected task and count it.
        """
        self._shard.statistics.count('rejected_tasks')
        self._tasks.pop(decision.task_id)

    def handle_loss(self, job: Job) -> None:
        """
        Count the work of a task on a lost worker as lost.
        """
        self._count_lost_work(
            job.work_ms - job.remaining_work_ms, self._tasks[job.job_id]
        )

    def requeue(self, task_id: str, progress_ms: float) -> None:
        """
        Queue a task again after its eviction or the loss of its worker.

        Args:
            task_id: Id of the task.
            progress_ms: Work of the last run that its checkpoint preserved; 0
                if the worker was lost or the checkpoint failed.
        """
        task = self._tasks[task_id]
        done_ms = task.demand.done_work_ms + int(progress_ms)
        demand = replace(
            task.demand,
            done_work_ms=min(done_ms, int(task.work_ms)),
            eviction_count=task.demand.eviction_count + 1,
        )
        self._arrive(replace(task, demand=demand))

    def _fill_backlog(self, batch: BatchLoad) -> None:
        for _ in range(batch.backlog_count):
            self._arrive(
                self._shard.arrivals.next_task(batch, self._engine.now_ms)
            )

    def _arrive(self, task: TaskArrival) -> None:
        self._tasks[task.demand.task_id] = task
        self._shard.scheduler.add_task(task.demand, self._engine.now)
        self._engine.request_decision()

    def _end(self, worker: WorkerModel, job: Job) -> None:
        task = self._tasks.pop(job.job_id)
        result = TaskResult.DONE
        if worker.is_failing:
            self._shard.statistics.count('failed_tasks')
            result = TaskResult.FAILED
        elif task.is_short and self._shard.is_measured(task.at_ms):
            run_ms = self._engine.now_ms - job.started_ms
            self._shard.statistics.short_service_ms.append(run_ms)
        self._shard.scheduler.end_task(job.job_id, result, self._engine.now)
        if result is TaskResult.FAILED:
            self._arrive(task)

    def _end_eviction(self, worker: WorkerModel, job: Job) -> None:
        if worker.jobs.get(job.job_id) is not job:
            return
        worker.remove_job(job.job_id, self._engine.now_ms)
        self._shard.schedule_next_completion(worker)
        progress_ms = job.work_ms - job.remaining_work_ms
        if self._shard.random.random() < _CHECKPOINT_FAILURE:
            self._count_lost_work(progress_ms, self._tasks[job.job_id])
            progress_ms = 0
        self._shard.scheduler.end_task(
            job.job_id,
            TaskResult.EVICTED,
            self._engine.now,
        )
        self.requeue(job.job_id, progress_ms)

    def _count_lost_work(self, lost_ms: float, task: TaskArrival) -> None:
        lost_core_ms = lost_ms * task.usage_millis / 1000
        self._shard.statistics.count('lost_core_ms', lost_core_ms)
