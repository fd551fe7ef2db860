"""
Messages of the platform's table service, object store and host list.
"""

import enum
from dataclasses import dataclass

from hawthornpier.messages._resources import Resources

# The version that a check names for a row that must not exist.
ABSENT_VERSION = 0


@dataclass(frozen=True, slots=True, kw_only=True)
class Row:
    """
    One row of the table service; *text* is a JSON document.
    """

    key: str
    version: int
    text: str


@dataclass(frozen=True, slots=True, kw_only=True)
class RowCheck:
    """
    A precondition: the row has this version, or `ABSENT_VERSION`.
    """

    key: str
    version: int


@dataclass(frozen=True, slots=True, kw_only=True)
class RowPut:
    """
    A write of one row within a transaction.
    """

    key: str
    text: str


@dataclass(frozen=True, slots=True, kw_only=True)
class Transaction:
    """
    An atomic set of writes that commits only if every check holds.

    The service answers a repeated *transaction_id* with the first result, so
    that a transaction whose answer was lost can be sent again.
    """

    transaction_id: str
    checks: tuple[RowCheck, ...] = ()
    puts: tuple[RowPut, ...] = ()
    deletes: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True, kw_only=True)
class TransactionResult:
    """
    The outcome of a transaction.

    *rows* holds the written rows after a commit and the rows whose check
    failed after a conflict (absent rows are left out).
    """

    is_committed: bool
    rows: tuple[Row, ...] = ()


class HostState(enum.StrEnum):
    """
    What the platform's host list says of a host.
    """

    LIVE = 'live'
    LEAVING = 'leaving'


@dataclass(frozen=True, slots=True, kw_only=True)
class HostRecord:
    """
    One worker in the platform's host list, which lags behind reality.
    """

    worker_id: str
    address: str
    region: str
    failure_domain: str
    rack: str
    capacity: Resources
    state: HostState = HostState.LIVE


@dataclass(frozen=True, slots=True, kw_only=True)
class HostListing:
    """
    The platform's host list as read at one moment.
    """

    hosts: tuple[HostRecord, ...]
