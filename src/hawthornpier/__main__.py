"""
Entry point of ``python -m hawthornpier``.
"""

import sys

from hawthornpier.cli import main

if __name__ == '__main__':
    sys.exit(main())
