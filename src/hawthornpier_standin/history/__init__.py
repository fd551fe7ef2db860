"""
Histories of runs and the checkers of the guarantees.
"""

from hawthornpier_standin.history._records import Record, RecordKind

__all__ = ['Record', 'RecordKind']
