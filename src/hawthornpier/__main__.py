"""
Runs the command ``hawthornpier`` as ``python -m hawthornpier``.
"""

import sys

from hawthornpier.cli import main

if __name__ == '__main__':
    sys.exit(main())
