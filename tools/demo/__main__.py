"""
Command line of the demo.
"""

import argparse
import sys

from demo.processes import DemoError
from demo.run import Options, run_demo


def main() -> int:
    """
    Run the demo and return 0 if every guarantee held, else 1.
    """
    parser = argparse.ArgumentParser(prog='demo', description=__doc__)
    parser.add_argument('--seconds', type=float, default=20)
    parser.add_argument('--seed', type=int, default=1)
    parser.add_argument(
        '--kill',
        action='store_true',
        help='kill an entry process halfway through',
    )
    parser.add_argument(
        '--roll',
        action='store_true',
        help='restart the entry processes gracefully, one after the other',
    )
    parser.add_argument(
        '--keep', default='', help='new folder that keeps all files of the run'
    )
    arguments = parser.parse_args()
    options = Options(
        duration_s=arguments.seconds,
        seed=arguments.seed,
        kills_entry=arguments.kill,
        restarts_entries=arguments.roll,
    )
    try:
        return 0 if run_demo(options, arguments.keep) else 1
    except DemoError as error:
        sys.stderr.write(f'demo: {error}\n')
        return 1


if __name__ == '__main__':
    sys.exit(main())
