"""
Recorded histories and the checkers of the guarantees of the scheduler.
"""

from hawthornpier_standin.history._check import check_history
from hawthornpier_standin.history._files import (
    HistoryError,
    HistoryWriter,
    load_history,
)
from hawthornpier_standin.history._records import (
    EXIT_KILLED,
    TABLE_UNCONFIRMED,
    WORKER_DEAD,
    Record,
    RecordKind,
)
from hawthornpier_standin.history._report import (
    Finding,
    Guarantee,
    Report,
    Violation,
)

__all__ = [
    'EXIT_KILLED',
    'TABLE_UNCONFIRMED',
    'WORKER_DEAD',
    'Finding',
    'Guarantee',
    'HistoryError',
    'HistoryWriter',
    'Record',
    'RecordKind',
    'Report',
    'Violation',
    'check_history',
    'load_history',
]
