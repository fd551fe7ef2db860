"""
Run all capacity measurements and write the results as JSON.
"""

import argparse
import json
import pathlib
import platform
import sys
from collections.abc import Sequence

from capacity import (
    codec,
    decisions,
    http,
    idle,
    memory,
    observability,
    state,
)
from capacity.extrapolate import extrapolate
from capacity.measurement import Measurement

_SUITES = (
    memory.measure,
    codec.measure,
    http.measure,
    observability.measure,
    state.measure,
    decisions.measure,
    idle.measure,
)


def main() -> None:
    """
    Run all measurements, print each result and write them as JSON.
    """
    parser = argparse.ArgumentParser(description=main.__doc__)
    parser.add_argument('output', type=pathlib.Path)
    options = parser.parse_args()
    measurements = []
    for suite in _SUITES:
        for measurement in suite():
            measurements.append(measurement)
            sys.stdout.write(f'{measurement}\n')
    document = _document(measurements)
    options.output.write_text(f'{json.dumps(document, indent=2)}\n')


def _document(measurements: Sequence[Measurement]) -> dict[str, object]:
    amounts = {
        measurement.name: round(measurement.amount, 2)
        for measurement in measurements
    }
    return {
        'python': platform.python_version(),
        'processor': _processor(),
        'measured': {
            measurement.name: {
                'amount': amounts[measurement.name],
                'unit': measurement.unit,
            }
            for measurement in measurements
        },
        'extrapolated': {
            scale: {name: round(amount, 2) for name, amount in figures.items()}
            for scale, figures in extrapolate(amounts).items()
        },
    }


def _processor() -> str:
    for line in pathlib.Path('/proc/cpuinfo').read_text().splitlines():
        name, _, model = line.partition(':')
        if name.strip() == 'model name':
            return model.strip()
    return platform.machine()


if __name__ == '__main__':
    main()
