"""
Choice of a shard for a request of a service.
"""

import random
from collections.abc import Collection, Iterable
from dataclasses import dataclass

from hawthornpier.messages import ShardLoad

_CROSS_REGION = 2


@dataclass(frozen=True, slots=True, kw_only=True)
class ShardSite:
    """
    Where the workers of a shard are.
    """

    shard: str
    failure_domain: str
    region: str


@dataclass(frozen=True, slots=True, kw_only=True)
class RoutingSettings:
    """
    Delays of the network and the budget of the cross-region link.

    *link_bytes_per_s* is this process's part of the shared link; what is not
    used is saved up for *link_burst_ms*.  *slot_ms* is the time that a request
    is expected to hold a slot.
    """

    domain_delay_ms: float = 1.5
    region_delay_ms: float = 12
    link_bytes_per_s: float = 100_000
    link_burst_ms: int = 2_000
    slot_ms: float = 200


class ShardRouter:
    """
    Prefers near shards, and far ones only if that saves more than it costs.

    Loads are stale, so the choice within one distance is between two random
    shards; always taking the best would send a herd to it.

    Args:
        site: Where the entry process runs.
        settings: Delays and budget of the network.
        seed: Seed of the random choices.
    """

    def __init__(
        self,
        *,
        site: ShardSite,
        settings: RoutingSettings,
        seed: int,
    ) -> None:
        self._site = site
        self._settings = settings
        self._random = random.Random(seed)
        self._sites: dict[str, ShardSite] = {}
        self._available_link_bytes = self._max_link_bytes
        self._link_updated_ms = 0

    def replace_sites(self, sites: Iterable[ShardSite]) -> None:
        """
        Replace what is known of where shards are.
        """
        self._sites = {site.shard: site for site in sites}

    def choose(
        self,
        loads: Iterable[ShardLoad],
        *,
        service: str,
        body_bytes: int,
        now_ms: int,
        tried: Collection[str] = (),
    ) -> str | None:
        """
        Return the shard for a request, or None if there is none.

        Args:
            loads: The latest known loads.
            service: The service that the shard must offer.
            body_bytes: Bytes that would cross the link, both ways.
            now_ms: Monotonic time.
            tried: Shards that are not to be used again.
        """
        tiers: dict[int, list[ShardLoad]] = {}
        for load in loads:
            is_offered = not load.services or service in load.services
            if is_offered and load.shard not in tried and load.slot_count:
                distance = self._distance(load.shard)
                tiers.setdefault(distance, []).append(load)
        if not self._has_link_budget(body_bytes, now_ms):
            tiers.pop(_CROSS_REGION, None)
        # The nearest shard wins a tie.
        picks = [
            self._pick_less_loaded(tier) for _, tier in sorted(tiers.items())
        ]
        best = min(picks, key=self._cost_ms, default=None)
        if best is None:
            return None
        if self._distance(best.shard) == _CROSS_REGION:
            self._available_link_bytes -= body_bytes
        return best.shard

    def _pick_less_loaded(self, tier: list[ShardLoad]) -> ShardLoad:
        pair = self._random.sample(tier, min(len(tier), 2))
        return min(pair, key=self._wait_ms)

    def _wait_ms(self, load: ShardLoad) -> float:
        queued = load.queued_request_count - load.free_slot_count
        # A request beyond the free slots waits for one to become free, even
        # if nobody is queued.
        waiting = max(queued + 1, 0)
        used = 1 - load.free_slot_count / load.slot_count
        return self._settings.slot_ms * waiting / load.slot_count + used

    def _cost_ms(self, load: ShardLoad) -> float:
        delays_ms = (
            0,
            self._settings.domain_delay_ms,
            self._settings.region_delay_ms,
        )
        delay_ms = delays_ms[self._distance(load.shard)]
        return self._wait_ms(load) + 2 * delay_ms

    def _distance(self, shard: str) -> int:
        site = self._sites.get(shard)
        if site is None or site.region != self._site.region:
            return _CROSS_REGION
        return int(site.failure_domain != self._site.failure_domain)

    def _has_link_budget(self, body_bytes: int, now_ms: int) -> bool:
        earned = self._settings.link_bytes_per_s * (
            now_ms - self._link_updated_ms
        )
        self._available_link_bytes = min(
            self._available_link_bytes + earned / 1000,
            self._max_link_bytes,
        )
        self._link_updated_ms = now_ms
        return self._available_link_bytes >= body_bytes

    @property
    def _max_link_bytes(self) -> float:
        settings = self._settings
        return settings.link_bytes_per_s * settings.link_burst_ms / 1000
