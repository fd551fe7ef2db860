"""
Routing of requests to shards.
"""

import random
from collections.abc import Collection, Iterable
from dataclasses import dataclass

from hawthornpier.messages import ShardLoad

# Distance of a shard in another region.  It is 0 within the entry process's
# failure domain and 1 in another failure domain of its region.
_CROSS_REGION = 2


@dataclass(frozen=True, slots=True, kw_only=True)
class ShardSite:
    """
    The failure domain and region of a shard's workers.
    """

    shard: str
    failure_domain: str
    region: str


@dataclass(frozen=True, slots=True, kw_only=True)
class RoutingSettings:
    """
    Network delays and the byte budget of the cross-region link.

    Args:
        domain_delay_ms: One-way delay to another failure domain of the region.
        region_delay_ms: One-way delay to another region.
        link_bytes_per_s: This process's share of the cross-region link.
        link_burst_ms: Time for which unused bytes of the share accumulate.
        slot_ms: Expected time that a request occupies a slot.
    """

    domain_delay_ms: float = 1.5
    region_delay_ms: float = 12
    link_bytes_per_s: float = 100_000
    link_burst_ms: int = 2_000
    slot_ms: float = 200


class ShardRouter:
    """
    Routes each request to the shard with the shortest expected delay.

    The delay is the expected wait for a slot plus the network round trip, so a
    distant shard is used only if its shorter wait makes up for the distance.
    Reported loads are stale.  Of all shards at the same distance, two random
    ones are therefore compared: always choosing the least loaded shard would
    send all requests there until its next report.

    Args:
        site: The location of the entry process.
        settings: Network delays and the budget of the cross-region link.
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
        Replace the known locations of shards.

        A shard without a known location counts as being in another region.
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
        Return the shard for a request, or None if no shard is eligible.

        If the shard is in another region, *body_bytes* are charged to the
        budget of the link.

        Args:
            loads: The latest known loads.
            service: The service that the shard must offer.
            body_bytes: Number of bytes that would cross the link, both ways.
            now_ms: Monotonic time.
            tried: Shards that were already tried and are not eligible.
        """
        tiers: dict[int, list[ShardLoad]] = {}
        for load in loads:
            is_offered = not load.services or service in load.services
            if is_offered and load.shard not in tried and load.slot_count:
                distance = self._distance(load.shard)
                tiers.setdefault(distance, []).append(load)
        if not self._has_link_budget(body_bytes, now_ms):
            tiers.pop(_CROSS_REGION, None)
        # At equal cost, the nearest shard is used.
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
        excess_count = load.queued_request_count - load.free_slot_count
        # Without a free slot, a new request waits even if the queue is empty.
        waiting_count = max(excess_count + 1, 0)
        # At equal waits, prefers the shard with the larger share of free slots.
        used_fraction = 1 - load.free_slot_count / load.slot_count
        return (
            self._settings.slot_ms * waiting_count / load.slot_count
            + used_fraction
        )

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
