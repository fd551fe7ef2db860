"""
Runs all checkers on one history.
"""

from collections.abc import Iterable

from hawthornpier_standin.history._completeness import check_nothing_lost
from hawthornpier_standin.history._index import History
from hawthornpier_standin.history._placement import (
    check_capacity,
    check_leaving_endpoint,
    check_resume_once,
    check_single_placement,
)
from hawthornpier_standin.history._processes import (
    check_planned_stop,
    check_table,
)
from hawthornpier_standin.history._records import Record
from hawthornpier_standin.history._report import Report
from hawthornpier_standin.history._requests import (
    check_at_most_once,
    check_not_run,
    check_own_answer,
)

_CHECKERS = (
    check_capacity,
    check_single_placement,
    check_resume_once,
    check_own_answer,
    check_not_run,
    check_at_most_once,
    check_leaving_endpoint,
    check_planned_stop,
    check_table,
    check_nothing_lost,
)


def check_history(records: Iterable[Record]) -> Report:
    """
    Check every guarantee on the records of one complete test run.

    The checkers depend only on the records, which the stand-ins and the
    callers write.  Of the code under test they use nothing but the message
    types.
    """
    history = History(records)
    return Report(
        record_count=len(history.records),
        findings=tuple(checker(history) for checker in _CHECKERS),
    )
