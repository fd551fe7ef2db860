"""
Runs of the benchmark, distributed over several processes.
"""

import itertools
from collections.abc import Iterable
from concurrent.futures import ProcessPoolExecutor
from dataclasses import replace

from tools.bench.scenario import Scenario
from tools.bench.scenarios import SCENARIOS
from tools.bench.simulation import Simulation
from tools.bench.variants import OURS, VARIANTS

SEEDS = (1, 2, 3)
SERVICE_ALONE = 'service_alone'
BATCH_ALONE = 'batch_alone'
VARIANT_NAMES = (SERVICE_ALONE, BATCH_ALONE, *VARIANTS)
_PROCESS_COUNT = 8

# Metrics by scenario, variant and run; the runs are in the order of SEEDS.
Results = dict[str, dict[str, list[dict[str, float]]]]


def run_one(run: tuple[str, str, int]) -> dict[str, float]:
    """
    Run one scenario and return its metrics.

    Args:
        run: Names of the scenario and the variant, and the seed.
    """
    name, variant, seed = run
    scenario = find_scenario(name)
    if variant == SERVICE_ALONE:
        scenario = replace(scenario, batches=())
    if variant == BATCH_ALONE:
        scenario = replace(scenario, services=())
    settings = VARIANTS.get(variant, OURS)
    return Simulation(scenario=scenario, settings=settings, seed=seed).run()


def find_scenario(name: str) -> Scenario:
    """
    Return the scenario called *name*.
    """
    return next(scenario for scenario in SCENARIOS if scenario.name == name)


def run_all(names: Iterable[str]) -> Results:
    """
    Run the named scenarios with all variants and seeds.
    """
    runs = list(itertools.product(names, VARIANT_NAMES, SEEDS))
    results: Results = {}
    with ProcessPoolExecutor(_PROCESS_COUNT) as pool:
        for run, metrics in zip(runs, pool.map(run_one, runs), strict=True):
            variants = results.setdefault(run[0], {})
            variants.setdefault(run[1], []).append(metrics)
    return results
