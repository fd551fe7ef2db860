"""
The daemon that every entry host runs.
"""

from hawthornpier.daemon._process import EntryProcess
from hawthornpier.daemon._run import run

__all__ = ['EntryProcess', 'run']
