"""
Shards without an owner, and the order in which processes claim them.
"""

from collections import Counter
from collections.abc import Container, Iterable, Mapping

from hawthornpier.coordination._claims import (
    Claimant,
    Vacancy,
    rank_claimants,
)
from hawthornpier.coordination._directory import ProcessDirectory
from hawthornpier.coordination._lease import ProcessLease
from hawthornpier.coordination._owner_rows import ShardOwner
from hawthornpier.coordination._rows import failure_domain_of
from hawthornpier.coordination._timings import OwnershipTimings
from hawthornpier.ports import Clock


class VacancyTracker:
    """
    Track which shards have no owner, from the rows that were last read.

    Args:
        shards: The ids of all shards.
        lease: The lease of this process.
        directory: The process rows of all processes.
        clock: The clock of this process.
        timings: The delays before a vacant shard is claimed.
    """

    def __init__(
        self,
        shards: Iterable[str],
        lease: ProcessLease,
        directory: ProcessDirectory,
        clock: Clock,
        timings: OwnershipTimings,
    ) -> None:
        self._shards = tuple(sorted(shards))
        self._lease = lease
        self._directory = directory
        self._clock = clock
        self._timings = timings
        self._vacant_since_ms: dict[str, int] = {}
        self._domain_empty_since_ms: dict[str, int] = {}
        self._regions: dict[str, str] = {}
        self._claims_from_ms: int | None = None

    def successor_candidates(self) -> tuple[Claimant, ...]:
        """
        Return the processes that a shard may be handed over to.
        """
        return tuple(
            claimant
            for claimant in self.claimants()
            if self._directory.has_recent_renewal(claimant.process_id)
        )

    def claimants(self) -> tuple[Claimant, ...]:
        """
        Return the live processes that are not leaving.
        """
        return tuple(
            Claimant(
                process_id=process_id,
                region=observed.row.region,
                failure_domain=observed.row.failure_domain,
            )
            for process_id, observed in self._directory.processes.items()
            if not observed.row.is_leaving
            and self._directory.is_live(process_id)
        )

    def owned_counts(
        self,
        owners: Mapping[str, ShardOwner],
    ) -> Counter[str]:
        """
        Return how many shards each process owns.
        """
        return Counter(
            owner.row.process_id
            for owner in owners.values()
            if not self.is_vacant(owner)
        )

    def claimable(
        self,
        owners: Mapping[str, ShardOwner],
        held: Container[str],
    ) -> tuple[str, ...]:
        """
        Return the vacant shards that this process should claim now.

        Args:
            owners: The owner rows, by shard id.
            held: The shards that this process owns or is handing over.
        """
        now_ms = self._clock.monotonic_ms()
        if self._claims_from_ms is None:
            # Without this delay, the first of several processes that start
            # together would claim all shards.
            self._claims_from_ms = now_ms + self._timings.claim_settle_ms
        claimants = self.claimants()
        self._update_domains(claimants, now_ms)
        vacant = [
            shard
            for shard in self._shards
            if shard not in held and self._is_ownerless(owners.get(shard))
        ]
        self._vacant_since_ms = {
            shard: self._vacant_since_ms.get(shard, now_ms) for shard in vacant
        }
        vacancies = [self._vacancy(name, owners.get(name)) for name in vacant]
        ranking = rank_claimants(
            vacancies,
            claimants,
            self.owned_counts(owners),
        )
        assigned = {
            vacancy.shard
            for vacancy in vacancies
            if vacancy.successor == self._lease.process_id
        }
        return tuple(
            shard
            for shard, ranked in ranking.items()
            if shard in assigned
            or self._is_stale_own_row(owners.get(shard))
            or self._is_own_turn(shard, ranked)
        )

    def choose_successors(
        self,
        shards: Iterable[str],
        owners: Mapping[str, ShardOwner],
    ) -> dict[str, str]:
        """
        Return the id of the best successor for each shard, or ''.
        """
        claimants = [
            claimant
            for claimant in self.successor_candidates()
            if claimant.process_id != self._lease.process_id
        ]
        ranking = rank_claimants(
            [
                Vacancy(
                    shard=shard,
                    region=self._regions.get(failure_domain_of(shard), ''),
                    is_foreign_allowed=True,
                )
                for shard in shards
            ],
            claimants,
            self.owned_counts(owners),
        )
        return {
            shard: ranked[0] if ranked else ''
            for shard, ranked in ranking.items()
        }

    def is_vacant(self, owner: ShardOwner) -> bool:
        """
        Return whether the owner in the row certainly has no lease.
        """
        process_id = owner.row.process_id
        observed = self._directory.processes.get(process_id)
        if not process_id or observed is None:
            return True
        if observed.row.incarnation != owner.row.incarnation:
            return True
        return self._directory.is_expired(process_id)

    def _is_ownerless(self, owner: ShardOwner | None) -> bool:
        return (
            owner is None
            or self.is_vacant(owner)
            or self._is_stale_own_row(owner)
        )

    def _is_stale_own_row(self, owner: ShardOwner | None) -> bool:
        """
        Return whether the row names this incarnation of this process.

        Called for shards that this process does not hold.  Such a row is left
        by a claim or a handover whose outcome is unknown.  Only this process
        can claim the shard, since others see an owner with a valid lease.
        """
        if owner is None:
            return False
        return owner.row.incarnation == self._lease.incarnation

    def _is_own_turn(self, shard: str, ranked: tuple[str, ...]) -> bool:
        if self._lease.process_id not in ranked:
            return False
        since_ms = max(self._claims_from_ms or 0, self._vacant_since_ms[shard])
        rank = ranked.index(self._lease.process_id)
        due_ms = since_ms + rank * self._timings.claim_rank_delay_ms
        return self._clock.monotonic_ms() >= due_ms

    def _vacancy(self, shard: str, owner: ShardOwner | None) -> Vacancy:
        now_ms = self._clock.monotonic_ms()
        domain = failure_domain_of(shard)
        empty_since_ms = self._domain_empty_since_ms.get(domain, now_ms)
        return Vacancy(
            shard=shard,
            region=self._regions.get(domain, ''),
            successor='' if owner is None else owner.row.successor,
            # An owner that names a successor has released the shard, so there
            # is no need to wait for a process of the shard's domain.
            is_foreign_allowed=(
                bool(owner and owner.row.successor)
                or now_ms - empty_since_ms >= self._timings.foreign_grace_ms
            ),
        )

    def _update_domains(
        self,
        claimants: Iterable[Claimant],
        now_ms: int,
    ) -> None:
        self._regions.update(
            (entry.failure_domain, entry.region) for entry in claimants
        )
        empty = {failure_domain_of(shard) for shard in self._shards}
        empty.difference_update(entry.failure_domain for entry in claimants)
        self._domain_empty_since_ms = {
            domain: self._domain_empty_since_ms.get(domain, now_ms)
            for domain in empty
        }
