"""
The random arrival times and properties of the requests of callers.
"""

import random
from collections.abc import Iterator
from dataclasses import dataclass

_MS_PER_S = 1_000


@dataclass(frozen=True, slots=True, kw_only=True)
class Surge:
    """
    A period in which the request rate of a service is multiplied.
    """

    start_ms: float
    duration_ms: float
    factor: float

    def is_active_at(self, at_ms: float) -> bool:
        """
        Return whether the surge is active at *at_ms*.
        """
        return 0 <= at_ms - self.start_ms < self.duration_ms


@dataclass(frozen=True, slots=True, kw_only=True)
class ServiceLoad:
    """
    The load on one service.

    Args:
        service: Name of the service.
        rate_per_s: Mean number of requests per second outside surges.
        surges: Periods with a higher rate; where some overlap, the highest
            factor applies.
        order_share: Fraction of the requests that are orders: requests that
            must not run twice and carry an idempotency key.
        repeat_share: Fraction of the orders that are sent a second time, as a
            rule to another entry process, while the first send may still be
            running.
        deadline_ms: Time from sending a request to its deadline.
        padding_bytes: Size of the padding in the body of each request.
    """

    service: str
    rate_per_s: float
    surges: tuple[Surge, ...] = ()
    order_share: float = 0
    repeat_share: float = 0
    deadline_ms: int = 1_000
    padding_bytes: int = 64

    def factor(self, at_ms: float) -> float:
        """
        Return the factor by which the rate is multiplied at *at_ms*.
        """
        factors = [
            surge.factor for surge in self.surges if surge.is_active_at(at_ms)
        ]
        return max(factors, default=1)


@dataclass(frozen=True, slots=True, kw_only=True)
class Arrival:
    """
    One request that a caller is to send.

    *at_ms* counts from the start of the load.  *repeat_after_ms* is the time
    until the request is sent again, or 0 if it is sent only once.
    """

    at_ms: float
    operation: str
    load: ServiceLoad
    is_order: bool
    is_in_surge: bool
    repeat_after_ms: float


def arrivals(
    load: ServiceLoad,
    *,
    source: str,
    duration_ms: float,
    seed: int,
) -> Iterator[Arrival]:
    """
    Generate the requests to one service as a Poisson process.

    Args:
        load: The load on the service.
        source: Name of the callers and prefix of the operation ids.
        duration_ms: Duration of the load.
        seed: Seed of the random arrivals, combined with *source* and the
            name of the service.
    """
    rng = random.Random(f'{seed}/{source}/{load.service}')
    # Thinning: candidates arrive at the peak rate, and each is kept with the
    # probability of the current rate divided by the peak rate.
    peak_factor = max([1, *(surge.factor for surge in load.surges)])
    mean_gap_ms = _MS_PER_S / (load.rate_per_s * peak_factor)
    at_ms = rng.expovariate(1) * mean_gap_ms
    number = 0
    while at_ms < duration_ms:
        factor = load.factor(at_ms)
        if rng.random() * peak_factor < factor:
            number += 1
            is_order = rng.random() < load.order_share
            is_repeated = is_order and rng.random() < load.repeat_share
            yield Arrival(
                at_ms=at_ms,
                operation=f'{source}/{load.service}/{number}',
                load=load,
                is_order=is_order,
                is_in_surge=factor > 1,
                repeat_after_ms=(
                    rng.uniform(1, load.deadline_ms) if is_repeated else 0
                ),
            )
        at_ms += rng.expovariate(1) * mean_gap_ms
