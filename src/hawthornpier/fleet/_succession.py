"""
The decision to hand a shard over to a process on another host.

The claim of a vacant shard is decided within a second, possibly while all large
hosts are down.  The owner keeps the shard afterwards, so a host that cannot
carry it has to give it up.
"""

import enum
from collections.abc import Iterable
from dataclasses import dataclass

from hawthornpier.fleet._host_size import effective_cores
from hawthornpier.fleet._relay_assignment import needs_relays
from hawthornpier.fleet._writer import ProcessCard

# Only a host that is larger by this factor is worth the change of the owner.
_LARGER_RATIO = 1.5
# Of the larger hosts, those down to this part of the largest one are equal.
_EQUAL_RATIO = 0.9
# An owner keeps the shard for at least this long after it has loaded it.
_MIN_TENURE_MS = 1_000.0
# Another process must have been in touch for this long.
_MIN_CONTACT_MS = 1_000.0


class MoveReason(enum.StrEnum):
    """
    Why a shard has to move to another host.
    """

    SMALL_HOST = 'the host is too small for the shard'
    OVERLOAD = 'the owner is overloaded'


@dataclass(frozen=True, slots=True, kw_only=True)
class OwnerStatus:
    """
    The state of an owner that decides about a move.

    *tenure_ms* is the time since the owner has loaded the shard.
    """

    card: ProcessCard
    worker_count: int
    tenure_ms: float
    is_overloaded: bool = False


@dataclass(frozen=True, slots=True, kw_only=True)
class Candidate:
    """
    Another process, and for how long it has been in touch with the owner.
    """

    card: ProcessCard
    contact_ms: float


def move_reason(status: OwnerStatus) -> MoveReason | None:
    """
    Return why a shard has to move, or None if its owner may keep it.

    It answers a shard with more workers than the owner's host can contact, and
    an owner that is behind its work for another reason.
    """
    if status.tenure_ms < _MIN_TENURE_MS:
        return None
    if status.is_overloaded:
        return MoveReason.OVERLOAD
    if needs_relays(status.worker_count, effective_cores(status.card)):
        return MoveReason.SMALL_HOST
    return None


def find_successors(
    status: OwnerStatus, candidates: Iterable[Candidate]
) -> list[ProcessCard]:
    """
    Return the largest hosts to which a shard may move.

    Args:
        status: The state of the owner.
        candidates: The other processes.

    Returns:
        Processes on hosts of about the same size, or nothing if the shard
        stays.
    """
    if move_reason(status) is None:
        return []
    least_cores = effective_cores(status.card) * _LARGER_RATIO
    cards = [
        candidate.card
        for candidate in candidates
        if candidate.contact_ms >= _MIN_CONTACT_MS
        and effective_cores(candidate.card) >= least_cores
    ]
    largest = max(map(effective_cores, cards), default=0)
    return [
        card
        for card in cards
        if effective_cores(card) >= largest * _EQUAL_RATIO
    ]
