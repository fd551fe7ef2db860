"""
Messages of the platform's table service and host list.
"""

import enum
from dataclasses import dataclass

from hawthornpier.messages._resources import Resources

# A `RowCheck` with this version requires that the row does not exist.
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
    A precondition of a transaction: the current version of a row.

    With `ABSENT_VERSION`, the row must not exist.
    """

    key: str
    version: int


@dataclass(frozen=True, slots=True, kw_only=True)
class RowPut:
    """
    A write within a transaction that creates or replaces a row.
    """

    key: str
    text: str


@dataclass(frozen=True, slots=True, kw_only=True)
class Transaction:
    """
    An atomic set of writes that commits only if every check holds.

    *deletes* holds the keys of rows.  To a repeated *transaction_id*, the
    service replies with the first result, so a transaction whose reply was
    lost can be sent again.
    """

    transaction_id: str
    checks: tuple[RowCheck, ...] = ()
    puts: tuple[RowPut, ...] = ()
    deletes: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True, kw_only=True)
class TransactionResult:
    """
    The outcome of a transaction.

    After a commit, *rows* holds the written rows.  After a conflict, it holds
    the current rows whose checks failed, without those that do not exist.
    """

    is_committed: bool
    rows: tuple[Row, ...] = ()


class HostState(enum.StrEnum):
    """
    The state of a host according to the platform's host list.
    """

    LIVE = 'live'
    LEAVING = 'leaving'


@dataclass(frozen=True, slots=True, kw_only=True)
class HostRecord:
    """
    The entry for one worker in the platform's host list.

    The list may be outdated: it can lack a new worker, or name one that has
    already left or crashed.
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
    A snapshot of the platform's host list.
    """

    hosts: tuple[HostRecord, ...]
