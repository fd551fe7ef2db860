"""
Tests of the choice of workers for the tasks of a step, and of its cost.
"""

import random

from hypothesis import given, settings
from hypothesis import strategies as st

from hawthornpier.fleet._candidates import CandidatePool
from hawthornpier.fleet._pass_gap import pass_gap_ms, slice_gap_ms
from hawthornpier.fleet._placement import Placement, begin_search
from hawthornpier.fleet._ports import WorkerEntry
from hawthornpier.fleet._worker_state import WorkerState
from hawthornpier.steps import Job, JobPlan, QueuePolicy, Run, StepPlan

WORKER_COUNT = 270


class NoInterference:
    """
    An interference model without harmful images.
    """

    change_count = 0

    def effect(self, long_running_image, best_effort_image):
        return 0

    def pressure(self, run):
        return 0

    def limit(self, plan):
        return 1


class SomeInterference:
    """
    An interference model whose effects and pressures vary by name and load.
    """

    change_count = 0

    def effect(self, long_running_image, best_effort_image):
        return (len(long_running_image) * len(best_effort_image)) % 5 / 8

    def pressure(self, run):
        return run.cpu_or_tail / 100

    def limit(self, plan):
        return plan.tail_target_ms / 100


class CountingPlacement(Placement):
    """
    Counts how many workers were ranked.
    """

    ranked_count = 0

    def rank(self, worker, task, now_ms):
        self.ranked_count += 1
        return super().rank(worker, task, now_ms)


def usable_workers(count, rng):
    workers = []
    for number in range(count):
        worker = WorkerState(
            WorkerEntry(
                worker_id=f'w{number}',
                service='desk',
                address=f'w{number}',
                failure_domain='z',
                processor_millis=rng.choice((16_000, 32_000)),
                memory_mb=64_000,
                accelerator_count=0,
                incarnation_ms=1,
            ),
        )
        worker.is_listed = True
        worker.is_recorded = True
        workers.append(worker)
    return workers


def step_of(number=0, **options):
    plan = JobPlan(
        job_id=f'{number:016x}',
        payload='',
        steps=(StepPlan(**options),),
        queue=QueuePolicy(name='orders', service='desk'),
    )
    return Job(plan, 0).occurrences[0].steps[0]


def place(task, worker):
    worker.charge(Run(task, 1, worker.worker_id, 0))


def random_steps(rng):
    return [
        step_of(
            number,
            task_count=rng.randrange(1, 40),
            processor_millis=rng.randrange(500, 9_000),
            memory_mb=rng.randrange(100, 9_000),
            per_worker_limit=rng.choice((0, 0, 2)),
            is_filling=rng.choice((False, True)),
        )
        for number in range(20)
    ]


class TestStepRanking:
    """
    Ranking the workers once a step chooses as ranking them for each task does.
    """

    def test_chooses_the_same_workers(self):
        """
        Guards against tasks on workers that have become worse or full.
        """
        for seed in range(10):
            self._compare(seed)

    def test_ranks_each_worker_once(self):
        """
        Guards against a pass whose cost grows with workers times tasks.
        """
        placement = CountingPlacement(NoInterference())
        step = step_of(task_count=160, processor_millis=1_000)
        workers = usable_workers(WORKER_COUNT, random.Random(1))
        ranking = placement.ranking(step, workers, 0)
        for task in step.tasks:
            place(task, ranking.choose(task))
        assert placement.ranked_count <= WORKER_COUNT + 3 * len(step.tasks)

    @settings(deadline=None, max_examples=30)
    @given(st.integers(0, 2**32))
    def test_chooses_the_same_workers_beside_long_running_tasks(self, seed):
        """
        Guards against best-effort tasks where they are under more pressure.
        """
        placement = Placement(SomeInterference())
        once, each = (
            self._shared_workers(random.Random(seed)) for _ in range(2)
        )
        step = step_of(
            task_count=40,
            processor_millis=1_500,
            is_filling=True,
            image='i' * (seed % 5),
        )
        ranking = placement.ranking(step, once, seed % 9_000)
        for task in step.tasks:
            chosen = ranking.choose(task)
            expected = placement.choose(task, each, seed % 9_000)
            assert (chosen is None) == (expected is None)
            if chosen is None:
                return
            assert chosen.worker_id == expected.worker_id
            place(task, chosen)
            place(task, expected)

    @settings(deadline=None, max_examples=30)
    @given(st.integers(0, 2**32))
    def test_chooses_the_lowest_rank(self, seed):
        """
        Guards against a copy of a task on a worker that is not the best.
        """
        placement = Placement(SomeInterference())
        workers = self._shared_workers(random.Random(seed))
        for step in random_steps(random.Random(seed)):
            task = step.tasks[0]
            task.avoided_workers.add(f'w{seed % 12}')
            ranks = {
                worker.worker_id: rank
                for worker in workers[1:]
                if (rank := placement.rank(worker, task, 1)) is not None
            }
            chosen = placement.choose(task, workers, 1, excluded='w0')
            chosen_id = chosen.worker_id if chosen else None
            assert chosen_id == min(ranks, key=ranks.get, default=None)
            if chosen is not None:
                place(task, chosen)

    def _shared_workers(self, rng):
        workers = usable_workers(12, rng)
        for number in range(20):
            lasting = step_of(
                number,
                task_count=1,
                processor_millis=rng.randrange(2_000, 6_000),
                image='i' * rng.randrange(1, 4),
                tail_target_ms=rng.choice((0, 80, 95)),
                is_lasting=True,
            )
            worker = rng.choice(workers)
            if worker.fits(lasting):
                run = Run(lasting.tasks[0], 1, worker.worker_id, 0)
                run.cpu_or_tail = rng.randrange(90)
                worker.charge(run)
        return workers

    def _compare(self, seed):
        placement = Placement(NoInterference())
        once = usable_workers(30, random.Random(seed))
        each = usable_workers(30, random.Random(seed))
        avoiding = random.Random(seed)
        for step in random_steps(random.Random(seed)):
            ranking = placement.ranking(step, once, 0)
            for task in step.tasks:
                if not avoiding.randrange(5):
                    task.avoided_workers.add(f'w{avoiding.randrange(30)}')
                chosen = ranking.choose(task)
                expected = placement.choose(task, each, 0)
                assert (chosen is None) == (expected is None)
                if chosen is None:
                    break
                assert chosen.worker_id == expected.worker_id
                place(task, chosen)
                place(task, expected)


class TestBacklog:
    """
    A step that found no worker is tried on the workers that have changed.
    """

    def test_unchanged_workers_are_skipped(self):
        """
        Guards against a backlog that costs steps times workers in each pass.
        """
        step, workers = self._rejected_step()
        workers[3].changed_ms = 120
        assert self._search(step, workers, 130) == [workers[3]]

    def test_all_workers_are_tried_again_later(self):
        """
        Guards against a step that waits although a quarantine has ended.
        """
        step, workers = self._rejected_step()
        assert self._search(step, workers, 600) == workers

    def _rejected_step(self):
        workers = usable_workers(5, random.Random(1))
        step = step_of(task_count=2, processor_millis=1_000)
        assert self._search(step, workers, 100) == workers
        step.searched_ms = 100
        return step, workers

    def _search(self, step, workers, now_ms):
        since_ms = begin_search(step, now_ms)
        pool = CandidatePool(workers, now_ms)
        return pool.with_room(step, changed_since_ms=since_ms)


class TestCandidatePool:
    """
    Workers without the processors that a step needs cost a search nothing.
    """

    @settings(deadline=None, max_examples=30)
    @given(st.integers(0, 2**32))
    def test_leaves_out_only_workers_that_are_not_eligible(self, seed):
        """
        Guards against a step that waits although a worker could take it.

        Its workers are loaded before the pool is made and after.
        """
        rng = random.Random(seed)
        placement = Placement(NoInterference())
        workers = usable_workers(20, rng)
        for worker in workers:
            worker.refused_until_ms = rng.choice((0, 0, 0, 9))
        self._load(workers, rng)
        pool = CandidatePool(workers, 1)
        for step in random_steps(rng):
            self._load(workers[:3], rng)
            eligible = [
                worker
                for worker in workers
                if placement.rank(worker, step.tasks[0], 1) is not None
            ]
            found = [
                worker for worker in pool.with_room(step) if worker in eligible
            ]
            assert found == eligible

    def test_full_workers_are_not_checked(self, monkeypatch):
        """
        Guards against a backlog that costs steps times workers in each pass.
        """
        checked = []
        monkeypatch.setattr(
            WorkerState,
            'fits',
            lambda worker, _step: checked.append(worker) or True,
        )
        workers = usable_workers(WORKER_COUNT, random.Random(1))
        for worker in workers[2:]:
            worker.reserved_millis = worker.entry.processor_millis - 500
        pool = CandidatePool(workers, 0)
        step = step_of(task_count=1, processor_millis=1_000)
        assert pool.with_room(step) == checked == workers[:2]

    def _load(self, workers, rng):
        for number, step in enumerate(random_steps(rng)):
            worker = rng.choice(workers)
            if worker.fits(step):
                worker.charge(Run(step.tasks[0], number, worker.worker_id, 0))


class TestPassGap:
    """
    Scheduling passes take a bounded share of the process's time.
    """

    def test_long_passes_are_rarer(self):
        """
        Guards against renewals that wait behind passes over a long backlog.
        """
        assert pass_gap_ms(60) >= 2 * 60

    def test_short_passes_follow_soon(self):
        """
        Guards against short tasks that wait for the next pass.
        """
        assert pass_gap_ms(0.2) <= 10

    def test_a_suspension_in_a_pass(self):
        """
        Guards against tasks that wait for twice the time of the suspension.
        """
        assert pass_gap_ms(9_000) <= 500
        assert slice_gap_ms(9_000) <= 500

    def test_gaps_between_slices_count(self):
        """
        Guards against a backlog that waits longer because of its slices.
        """
        assert pass_gap_ms(60, 60) >= 60
        assert pass_gap_ms(60, 60) < pass_gap_ms(60)
        assert pass_gap_ms(60, 200) <= 10
