"""
Which process should claim which ownerless shard; plain functions.
"""

from collections import Counter
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass

from hawthornpier.coordination._rows import failure_domain_of, hash_text


@dataclass(frozen=True, slots=True, kw_only=True)
class Claimant:
    """
    A live process that may own shards.
    """

    process_id: str
    region: str
    failure_domain: str


@dataclass(frozen=True, slots=True, kw_only=True)
class Vacancy:
    """
    A shard without an owner.

    *is_foreign_allowed* says that no process of its failure domain has been
    live for the grace time.
    """

    shard: str
    region: str
    successor: str = ''
    is_foreign_allowed: bool = False


def rank_claimants(
    vacancies: Iterable[Vacancy],
    claimants: Sequence[Claimant],
    owned_counts: Mapping[str, int],
) -> dict[str, tuple[str, ...]]:
    """
    Rank for each vacancy the processes that may claim it, the best first.

    All processes that see the same rows get the same ranking, so that each
    claims other shards.  The process with the fewest shards is the best; a
    rendezvous hash decides between equals.

    Args:
        vacancies: The shards without owners.
        claimants: The live processes.
        owned_counts: How many shards each process owns now.

    Returns:
        The process ids in order, by shard.
    """
    counts = Counter(owned_counts)
    ranking: dict[str, tuple[str, ...]] = {}
    for vacancy in sorted(vacancies, key=_shard_key):
        ranked = _rank(vacancy, claimants, counts)
        ranking[vacancy.shard] = ranked
        counts.update(ranked[:1])
    return ranking


def pick_hand_over(
    own: Claimant,
    owned_shards: Iterable[str],
    claimants: Sequence[Claimant],
    owned_counts: Mapping[str, int],
) -> tuple[str, str] | None:
    """
    Pick a shard that this process should hand over, and its successor.

    A shard of another failure domain goes back to it.  A shard of the own
    domain goes to the process with the fewest shards if that differs by two
    or more, so that a shard never moves back and forth.

    Args:
        own: This process.
        owned_shards: The shards that it owns.
        claimants: The processes that may get one.
        owned_counts: How many shards each process owns now.

    Returns:
        The shard and the id of its successor, or None if all is balanced.
    """
    for shard in sorted(owned_shards):
        domain = failure_domain_of(shard)
        best_count, best = _least_loaded(
            (
                entry.process_id
                for entry in claimants
                if entry.failure_domain == domain and entry != own
            ),
            owned_counts,
        )
        excess = owned_counts.get(own.process_id, 0) - best_count
        is_foreign = own.failure_domain != domain
        if best and (excess >= 2 or is_foreign):
            return shard, best
    return None


def _least_loaded(
    process_ids: Iterable[str],
    owned_counts: Mapping[str, int],
) -> tuple[int, str]:
    loads = ((owned_counts.get(entry, 0), entry) for entry in process_ids)
    return min(loads, default=(0, ''))


def _rank(
    vacancy: Vacancy,
    claimants: Iterable[Claimant],
    counts: Mapping[str, int],
) -> tuple[str, ...]:
    preferences = sorted(
        (_preference(claimant, vacancy, counts), claimant.process_id)
        for claimant in claimants
        if _may_claim(claimant, vacancy)
    )
    return tuple(process_id for _, process_id in preferences)


def _shard_key(vacancy: Vacancy) -> str:
    return vacancy.shard


def _may_claim(claimant: Claimant, vacancy: Vacancy) -> bool:
    if vacancy.is_foreign_allowed:
        return True
    return claimant.failure_domain == failure_domain_of(vacancy.shard)


def _preference(
    claimant: Claimant,
    vacancy: Vacancy,
    counts: Mapping[str, int],
) -> tuple[bool, bool, bool, int, int]:
    domain = failure_domain_of(vacancy.shard)
    score = hash_text(f'{vacancy.shard}|{claimant.process_id}')
    return (
        claimant.process_id != vacancy.successor,
        claimant.failure_domain != domain,
        claimant.region != vacancy.region,
        counts.get(claimant.process_id, 0),
        score,
    )
