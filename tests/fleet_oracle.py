"""
Compares the state of a shard's owner with that of the simulated workers.

The differences tell a fault of the owner's ledger from a worker without room.
"""

import collections

from hawthornpier_standin.fleet import WorkerFault

SAMPLE_MS = 100
# What the owner knows has to agree with the workers after this time of calm.
SETTLED_MS = 3_000
# A difference that is seen for this long is not one that is on its way.
PERSISTENT_MS = 1_000
# A wait counts after this time of calm, and breaks the rule if it lasts longer
# than the time below beside room.
JUDGED_MS = 4_000
LONGEST_WAIT_MS = 3_000


class Ledger:
    """
    The resources of the runs and reservations on one worker, counted anew.
    """

    def __init__(self, worker, reserved_steps):
        held = [run.task.step for run in worker.runs.values()]
        held.extend(reserved_steps)
        plans = [step.plan for step in held]
        firm = [plan for plan in plans if not plan.is_filling]
        lasting = [plan for plan in firm if plan.is_lasting]
        filling = [plan for plan in plans if plan.is_filling]
        self.figures = {
            'reserved_millis': _millis(firm),
            'long_running_millis': _millis(lasting),
            'best_effort_millis': _millis(filling),
            'long_running_count': len(lasting),
            'best_effort_count': len(filling),
            'memory_mb': sum(plan.memory_mb for plan in plans),
            'accelerator_count': sum(plan.accelerator_count for plan in plans),
            'step_counts': _counts(step.key for step in held),
            '_image_counts': _counts(plan.image for plan in lasting),
        }


class FleetOracle:
    """
    Checks a simulated installation, most of it while it is calm.

    *is_wanted* tells of a job whether it was accepted and is not cancelled.
    """

    def __init__(self, world, is_wanted):
        self.violations = []
        self._world = world
        self._is_wanted = is_wanted
        self._seen = set()

    async def watch_calm(self, duration_ms):
        """
        Check the installation for a time without faults, which begins now.
        """
        differences = collections.Counter()
        waits = collections.Counter()
        for elapsed_ms in range(0, duration_ms, SAMPLE_MS):
            await self._world.run_for(SAMPLE_MS)
            self.check_counters()
            if elapsed_ms >= SETTLED_MS:
                found = self.differences()
                differences = _extend(differences, found)
                self._report(found, differences, PERSISTENT_MS)
            if elapsed_ms >= JUDGED_MS:
                found = self.waits_beside_room()
                waits = _extend(waits, found)
                self._report(found, waits, LONGEST_WAIT_MS)

    def check_counters(self):
        """
        Compare what the owner counts by increments with a new count.

        They agree at any time, calm or not.
        """
        owner = self._world.owner()
        if owner is not None:
            for key, detail in _counter_differences(owner):
                self._add(key, detail)

    def differences(self):
        """
        Return in what the owner and the workers differ, by subject.
        """
        owner = self._world.owner()
        if owner is None:
            return {'no owner': ''}
        shard = owner.local_shard()
        found = dict(self._worker_differences(shard))
        found.update(self._task_differences(owner, shard))
        return found

    def waits_beside_room(self):
        """
        Return the long-running tasks without a run, by worker with room.

        Only the state of the workers counts, not that of the owner.
        """
        workers = self._workers()
        running = self._running_tasks()
        available = [worker for worker in workers if _is_available(worker)]
        return {
            f'{task_key} waits beside {worker.entry.worker_id}': self._explain(
                task_key
            )
            for task_key, step_key, plan in self._long_running_tasks()
            if task_key not in running
            for worker in available
            if self._has_room(worker, step_key, plan)
        }

    def _workers(self):
        return [
            worker
            for worker_id, worker in self._world.workers.items()
            if worker.is_up and worker.entry.worker_id == worker_id
        ]

    def _long_running_tasks(self):
        for job_id, plans in self._world.steps.items():
            if not self._is_wanted(job_id):
                continue
            for number, plan in enumerate(plans):
                step_key = f'{job_id}.0.{number}'
                for index in range(plan.task_count if plan.is_lasting else 0):
                    yield f'{step_key}.{index}', step_key, plan

    def _has_room(self, worker, step_key, plan):
        plans = [self._plan_of(key) for key, _ in worker.runs]
        used_millis = _millis(each for each in plans if not each.is_filling)
        used_mb = sum(each.memory_mb for each in plans)
        of_step = [key for key, _ in worker.runs if _step_of(key) == step_key]
        entry = worker.entry
        label = plan.required_label
        limit = plan.per_worker_limit
        return (
            used_millis + plan.processor_millis <= entry.processor_millis
            and used_mb + plan.memory_mb <= entry.memory_mb
            and (not limit or len(of_step) < limit)
            and (not label or label in entry.labels)
        )

    def _plan_of(self, task_key):
        job_id, _, step, _ = task_key.split('.')
        return self._world.steps[job_id][int(step)]

    def _worker_differences(self, shard):
        workers = {each.entry.worker_id: each for each in self._workers()}
        for worker_id, state in shard.workers.items():
            if worker_id not in workers and state.runs:
                yield f'{worker_id} has runs but is gone', _keys(state.runs)
        for up_id, worker in workers.items():
            known = shard.workers.get(up_id)
            if known is None:
                yield f'{up_id} is not known to the owner', ''
            else:
                yield from self._run_differences(known, worker)
                yield from self._state_differences(known, worker)

    def _run_differences(self, known, worker):
        for key in known.runs.keys() ^ worker.runs.keys():
            side = 'the owner' if key in known.runs else 'the worker'
            yield f'{known.worker_id} runs {key} by {side} only', ''

    def _state_differences(self, known, worker):
        worker_id = worker.entry.worker_id
        fields = ('processor_millis', 'memory_mb', 'labels', 'is_draining')
        for field in fields:
            pair = (getattr(known.entry, field), getattr(worker.entry, field))
            if pair[0] != pair[1]:
                yield f'{worker_id} differs in {field}', pair
        if _is_available(worker) and not known.is_usable:
            yield f'{worker_id} is not usable', _usability(known)

    def _task_differences(self, owner, shard):
        placed = collections.defaultdict(dict)
        for state in shard.workers.values():
            for task_key, attempt in state.runs:
                placed[task_key][attempt] = state.worker_id
        running = self._running_tasks()
        active_jobs = set(shard.active_jobs())
        for key, _, _ in self._long_running_tasks():
            task = shard.find_task(key)
            if task is None:
                yield f'{key} is not known to the owner', ''
                continue
            runs = {run.attempt: run.worker_id for run in task.runs}
            is_active = task.step.job in active_jobs and not task.is_done
            checks = (
                ('is not active', is_active),
                ('has other runs than its workers', runs == placed[key]),
                (
                    'neither runs nor waits',
                    running[key] or key in _waits(owner),
                ),
                ('runs twice', running[key] < 2),
            )
            yield from (
                (f'{key} {what}', self._explain(key))
                for what, holds in checks
                if not holds
            )

    def _running_tasks(self):
        return collections.Counter(
            key for worker in self._workers() for key, _ in worker.runs
        )

    def _explain(self, task_key):
        """
        Return how the owner sees a task.
        """
        owner = self._world.owner()
        task = owner and owner.local_shard().find_task(task_key)
        if not task:
            return 'not known to an owner'
        wait = _waits(owner).get(task_key)
        reason = wait and (wait.reason, wait.room_ms)
        runs = [(run.attempt, run.worker_id, run.phase) for run in task.runs]
        free_millis = {
            worker_id: state.free_millis
            for worker_id, state in owner.local_shard().workers.items()
        }
        return f'wait={reason} runs={runs} free={free_millis}'

    def _report(self, found, durations_ms, limit_ms):
        for key, duration_ms in durations_ms.items():
            if duration_ms > limit_ms:
                self._add(key, found[key])

    def _add(self, key, detail):
        if key not in self._seen:
            self._seen.add(key)
            now_ms = self._world.clock.monotonic_ms()
            self.violations.append(f'{now_ms}: {key}: {detail}')


class RoomWaits:
    """
    Follows how long long-running tasks wait beside a worker with room.

    A wait counts for as long as one and the same worker has had room, by the
    state of the workers only.
    """

    def __init__(self, oracle):
        # By task, the longest wait so far.
        self.longest_ms = collections.Counter()
        self._oracle = oracle
        self._waiting_since_ms = {}
        self._room_since_ms = {}

    @property
    def waiting_count(self):
        """
        Return how many tasks had no run at the last observation.
        """
        return len(self._waiting_since_ms)

    def observe(self, now_ms):
        """
        Take the state of all workers into account.
        """
        running = self._oracle._running_tasks()
        waiting = [
            found
            for found in self._oracle._long_running_tasks()
            if found[0] not in running
        ]
        self._waiting_since_ms = {
            key: self._waiting_since_ms.get(key, now_ms)
            for key, _, _ in waiting
        }
        needs = {_needs(*found): found for found in waiting}
        self._room_since_ms = {
            need: self._observe_room(need, found, now_ms)
            for need, found in needs.items()
        }
        since_ms = {
            need: min(room.values(), default=None)
            for need, room in self._room_since_ms.items()
        }
        for found in waiting:
            room_since_ms = since_ms[_needs(*found)]
            if room_since_ms is not None:
                self._extend_wait(found[0], room_since_ms, now_ms)

    def _observe_room(self, need, found, now_ms):
        _, step_key, plan = found
        earlier = self._room_since_ms.get(need, {})
        return {
            worker.entry.worker_id: earlier.get(worker.entry.worker_id, now_ms)
            for worker in self._oracle._workers()
            if _is_available(worker)
            and self._oracle._has_room(worker, step_key, plan)
        }

    def _extend_wait(self, task_key, room_since_ms, now_ms):
        since_ms = max(self._waiting_since_ms[task_key], room_since_ms)
        self.longest_ms[task_key] = max(
            self.longest_ms[task_key], now_ms - since_ms
        )


def _counter_differences(owner):
    """
    Yield the counters of an owner that differ from a new count.
    """
    shard = owner.local_shard()
    reservations = shard.reservations.values()
    for state in shard.workers.values():
        reserved = [
            each.task.step for each in reservations if each.destination is state
        ]
        ledger = Ledger(state, reserved)
        for name, counted in ledger.figures.items():
            kept = getattr(state, name)
            if kept != counted:
                yield f'{state.worker_id} counts {name}', (kept, counted)
    for job in shard.jobs.values():
        for occurrence in job.occurrences:
            for step in occurrence.steps:
                yield from _step_differences(step)


def _step_differences(step):
    counts = {
        'busy_count': sum(not task.is_waiting for task in step.tasks),
        'done_count': sum(task.is_done for task in step.tasks),
    }
    for name, counted in counts.items():
        kept = getattr(step, name)
        if kept != counted:
            yield f'{step.key} counts {name}', (kept, counted)


def _waits(owner):
    return owner.cycle.owner._scheduling._scheduler._long_running_waits._waits


def _extend(durations_ms, found):
    return collections.Counter(
        {key: durations_ms[key] + SAMPLE_MS for key in found}
    )


def _is_available(worker):
    return (
        worker.is_up
        and worker.fault is WorkerFault.NONE
        and not worker.entry.is_draining
    )


def _usability(state):
    names = (
        'is_listed',
        'is_recorded',
        'is_unresponsive',
        'is_deregistered',
        'has_entry',
    )
    return {name: getattr(state, name) for name in names}


def _millis(plans):
    return sum(plan.processor_millis for plan in plans)


def _counts(keys):
    return dict(collections.Counter(keys))


def _keys(runs):
    return [f'{task_key} {attempt}' for task_key, attempt in runs]


def _needs(task_key, step_key, plan):
    """
    Return what decides which workers have room for a task.
    """
    return (
        plan.processor_millis,
        plan.memory_mb,
        plan.required_label,
        plan.per_worker_limit and step_key,
    )


def _step_of(task_key):
    return task_key.rpartition('.')[0]
