"""
Runs every measurement and writes the results as JSON.
"""

import argparse
import json
import pathlib
import platform
import sys

from capacity import codec, decisions, http, memory, observing, state

_SUITES = (
    memory.measure,
    codec.measure,
    http.measure,
    observing.measure,
    state.measure,
    decisions.measure,
)


def main() -> None:
    """
    Measure, print each result as it arrives and write the file.
    """
    parser = argparse.ArgumentParser(description=main.__doc__)
    parser.add_argument('output', type=pathlib.Path)
    options = parser.parse_args()
    measured = {}
    for suite in _SUITES:
        for measurement in suite():
            measured[measurement.name] = {
                'amount': round(measurement.amount, 2),
                'unit': measurement.unit,
            }
            sys.stdout.write(
                f'{measurement.name}: {measurement.amount:.2f}'
                f' {measurement.unit}\n',
            )
    document = {
        'python': platform.python_version(),
        'processor': _processor(),
        'measured': measured,
    }
    options.output.write_text(f'{json.dumps(document, indent=2)}\n')


def _processor() -> str:
    for line in pathlib.Path('/proc/cpuinfo').read_text().splitlines():
        name, _, model = line.partition(':')
        if name.strip() == 'model name':
            return model.strip()
    return platform.machine()


if __name__ == '__main__':
    main()
