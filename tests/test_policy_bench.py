"""
Tests of the worker model and the simulation of the benchmark.

G1 is a guarantee listed in README.md.
"""

from dataclasses import replace

from policy_builders import SLOT, make_worker

from hawthornpier.messages import Resources
from tools.bench.runs import find_scenario
from tools.bench.simulation import Simulation
from tools.bench.variants import OURS
from tools.bench.worker_model import Job, WorkerModel


def make_job(job_id: str, *, is_request: bool, remaining_work_ms: float) -> Job:
    """
    Return a task or request that uses half a core.
    """
    return Job(
        job_id=job_id,
        name='s' if is_request else 'hostile',
        is_request=is_request,
        demand=SLOT,
        usage_millis=500,
        remaining_work_ms=remaining_work_ms,
        started_ms=0,
        work_ms=remaining_work_ms,
        on_end=lambda worker, job: None,
    )


class TestWorkerModel:
    """
    Interference and capacity of the modelled worker.
    """

    def test_hostile_task_lengthens_a_request(self) -> None:
        """
        A task slows a request by the factor of the pair, less if throttled.
        """
        worker = WorkerModel(make_worker('w0'), {('s', 'hostile'): 0.5})
        task = make_job('t', is_request=False, remaining_work_ms=1000)
        worker.add_job(make_job('r', is_request=True, remaining_work_ms=100), 0)
        worker.add_job(task, 0)
        assert worker.next_completion() == (150, 'r')
        worker.set_flags(task, 0, is_throttled=True)
        end_ms, _ = worker.next_completion() or (0, '')
        assert round(end_ms) == 110

    def test_overcommit_is_reported(self) -> None:
        """
        G1: a job that exceeds the capacity of the worker is reported.
        """
        worker = WorkerModel(make_worker('w0', 1), {})
        assert worker.add_job(
            make_job('a', is_request=True, remaining_work_ms=9), 0
        )
        assert not worker.add_job(
            make_job('b', is_request=True, remaining_work_ms=9), 0
        )
        worker.remove_job('a', 1)
        worker.remove_job('b', 1)
        assert worker.add_job(
            make_job('c', is_request=True, remaining_work_ms=9), 2
        )
        assert worker.info.capacity == Resources(
            processor_millis=1000, memory_bytes=10, slot_count=1
        )


class TestSimulation:
    """
    Reproducibility of a run.
    """

    def test_same_seed_gives_the_same_measures(self) -> None:
        """
        Runs with equal seeds have equal metrics; other seeds differ.
        """
        scenario = replace(
            find_scenario('failing_worker'),
            warmup_ms=0,
            duration_ms=6_000,
            faults=(),
        )
        runs = [
            Simulation(scenario=scenario, settings=OURS, seed=seed).run()
            for seed in (1, 1, 2)
        ]
        assert runs[0] == runs[1]
        assert runs[0] != runs[2]
        assert runs[0]['overcommits'] == 0
        assert runs[0]['arrived'] > 50
