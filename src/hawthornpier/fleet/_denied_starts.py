"""
Services on whose workers the owner may not start runs, and since when.
"""

from hawthornpier.fleet._permits import OwnerPermits
from hawthornpier.fleet._shard import Shard

# A denial that lasts longer is logged by itself.
_LONG_MS = 3_000.0


def missing_permission(permits: OwnerPermits) -> str:
    """
    Return which permission to start runs is missing.
    """
    checks = (
        ('no write confirmed since a pause', permits.writes.is_valid),
        ('no read of the registry since a pause', permits.registry.is_valid),
        ('may be claimed', permits.is_unclaimed),
    )
    return next(
        (why for why, is_valid in checks if not is_valid),
        'capacity read too long ago',
    )


class DeniedStarts:
    """
    Logs each time that runs may not be started on a service for over 3 s.

    Args:
        shard: The state of the shard.
    """

    def __init__(self, shard: Shard) -> None:
        self._shard = shard
        self._since_ms: dict[str, float] = {}
        self._reported: set[str] = set()

    def run_pass(self) -> None:
        """
        Follow the permissions.
        """
        shard = self._shard
        now_ms = shard.now_ms
        services = {worker.entry.service for worker in shard.workers.values()}
        self._since_ms = {
            service: self._since_ms.get(service, now_ms)
            for service in services
            if not shard.permits.may_start_on(service)
        }
        self._reported &= self._since_ms.keys()
        for service, age_ms in self.ages_ms().items():
            if age_ms > _LONG_MS and service not in self._reported:
                self._reported.add(service)
                self._log(service, age_ms)

    def ages_ms(self) -> dict[str, int]:
        """
        Return for how long starts have been denied, by service.
        """
        now_ms = self._shard.now_ms
        return {
            service: int(now_ms - since_ms)
            for service, since_ms in self._since_ms.items()
        }

    def _log(self, service: str, age_ms: int) -> None:
        shard = self._shard
        shard.log.record(
            'starts_denied',
            shard=shard.name,
            epoch=shard.epoch,
            service=service,
            denied_ms=age_ms,
            why=missing_permission(shard.permits),
            writes_age_ms=int(shard.permits.writes.age_ms),
            registry_age_ms=int(shard.permits.registry.age_ms),
        )
