"""
Run the benchmark of the scheduling policy from the command line.
"""

import argparse
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path

from tools.bench import placement_cost
from tools.bench.plots import draw_all
from tools.bench.report import write_json, write_page
from tools.bench.runs import run_all
from tools.bench.scenarios import SCENARIOS

_DOCS = Path(__file__).resolve().parents[2] / 'docs'


def main() -> None:
    """
    Run all scenarios and write bench.json, bench.md and the plots.
    """
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument(
        '--docs',
        type=Path,
        default=_DOCS,
        help='directory of bench.md, bench.json and the plots',
    )
    arguments = parser.parse_args()
    with ProcessPoolExecutor(1) as pool:
        costs = pool.submit(placement_cost.measure)
        results = run_all(scenario.name for scenario in SCENARIOS)
        placement_us = costs.result()
    write_json(arguments.docs / 'bench.json', results, placement_us)
    write_page(arguments.docs / 'bench.md', results, placement_us)
    draw_all(arguments.docs, results)


if __name__ == '__main__':
    main()
