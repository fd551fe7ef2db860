"""
Command line of the benchmark.
"""

import argparse
import json
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path

from tools.bench import placement_cost
from tools.bench.plots import draw_all
from tools.bench.report import write_page
from tools.bench.runs import run_all
from tools.bench.scenarios import SCENARIOS

_DOCS = Path(__file__).resolve().parents[2] / 'docs'


def main() -> None:
    """
    Run the benchmark and write its results.
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
        report = {'results': results, 'placement_us': costs.result()}
    text = json.dumps(report, indent=1, sort_keys=True)
    (arguments.docs / 'bench.json').write_text(f'{text}\n', encoding='utf-8')
    write_page(arguments.docs / 'bench.md', results, report['placement_us'])
    draw_all(arguments.docs, results)


if __name__ == '__main__':
    main()
