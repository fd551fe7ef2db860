"""
The decision to hand a shard over to a process on another host.

The claim of a vacant shard is decided within a second, possibly while all large
hosts are down.  The owner keeps the shard afterwards, so a host that cannot
carry it has to give it up.
"""

import enum
import types
from collections.abc import Iterable
from dataclasses import dataclass

from hawthornpier.fleet._host_size import effective_cores
from hawthornpier.fleet._relay_assignment import needs_relays
from hawthornpier.fleet._writer import ProcessCard

# Only a host that is larger by this factor is worth the change of the owner.
_LARGER_RATIO = 1.5


class MoveReason(enum.StrEnum):
    """
    Why a shard has to move to another host.
    """

    OVERLOAD = 'the owner is overloaded'
    SMALL_HOST = 'the host is too small for the shard'
    LARGER_HOST = 'a larger host is there'


# How long an owner has had the shard, and another process has been in touch,
# before the shard moves.
_MIN_STAY_MS = types.MappingProxyType(
    {
        MoveReason.OVERLOAD: 1_000.0,
        MoveReason.SMALL_HOST: 1_000.0,
        MoveReason.LARGER_HOST: 3_000.0,
    }
)


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


def move_reason(status: OwnerStatus) -> MoveReason:
    """
    Return why a shard moves if a larger host is there.

    It answers a shard with more workers than the owner's host can contact, and
    an owner that is behind its work for another reason.  These are urgent; a
    host that carries the shard only leaves less room for growth.
    """
    if status.is_overloaded:
        return MoveReason.OVERLOAD
    if needs_relays(status.worker_count, effective_cores(status.card)):
        return MoveReason.SMALL_HOST
    return MoveReason.LARGER_HOST


def find_successors(
    status: OwnerStatus, candidates: Iterable[Candidate]
) -> list[ProcessCard]:
    """
    Return the hosts to which a shard may move.

    Args:
        status: The state of the owner.
        candidates: The other processes.

    Returns:
        The processes on larger hosts, the largest first, or nothing if the
        shard stays.
    """
    stay_ms = _MIN_STAY_MS[move_reason(status)]
    if status.tenure_ms < stay_ms:
        return []
    least_cores = effective_cores(status.card) * _LARGER_RATIO
    cards = [
        candidate.card
        for candidate in candidates
        if candidate.contact_ms >= stay_ms
        and effective_cores(candidate.card) >= least_cores
    ]
    return sorted(cards, key=effective_cores, reverse=True)
