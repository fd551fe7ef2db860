"""
Start an entry process of the fleet scheduler on the platform.

The platform runs this file in the source tree.  Python then puts its directory
first on the module search path, so that the package is imported from there.
"""

import sys

from hawthornpier.platform import main

if __name__ == '__main__':
    sys.exit(main())
