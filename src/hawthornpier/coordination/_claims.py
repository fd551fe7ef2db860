"""
Pure functions that choose the process that should own each shard.
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

    *successor* is the id of the process that the previous owner named as its
    successor, if any.  *is_foreign_allowed* lets processes of other failure
    domains claim the shard: the previous owner named a successor, or no
    process of the shard's domain has been live for the grace time.
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
    Rank the processes that may claim each vacant shard, the best first.

    The result depends only on the arguments, so processes that read the same
    rows compute the same ranking and claim different shards.  The criteria
    are, in order: the named successor, the failure domain of the shard, its
    region, the fewest shards, and a rendezvous hash.

    Args:
        vacancies: The shards without owners.
        claimants: The live processes.
        owned_counts: How many shards each process owns now.

    Returns:
        For each shard, the process ids in order of preference.
    """
    counts = Counter(owned_counts)
    ranking: dict[str, tuple[str, ...]] = {}
    for vacancy in sorted(vacancies, key=_shard_key):
        ranked = _rank(vacancy, claimants, counts)
        ranking[vacancy.shard] = ranked
        counts.update(ranked[:1])
    return ranking


def choose_handover(
    own: Claimant,
    owned_shards: Iterable[str],
    claimants: Sequence[Claimant],
    owned_counts: Mapping[str, int],
) -> tuple[str, str] | None:
    """
    Choose a shard that this process should hand over, and its successor.

    A shard of another failure domain is returned to a process of that domain.
    A shard of the failure domain of this process goes to the process with the
    fewest shards, but only if that one owns at least two shards fewer than
    this process; otherwise the shard would move back and forth.

    Args:
        own: This process.
        owned_shards: The shards that this process owns.
        claimants: The processes that may become the successor.
        owned_counts: How many shards each process owns now.

    Returns:
        The shard and the id of its successor, or None if nothing should move.
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
