"""
Parameters and faults of simulated workers.
"""

from collections.abc import Mapping
from dataclasses import dataclass, field


@dataclass(frozen=True, slots=True, kw_only=True)
class ServiceTime:
    """
    Log-normal distribution of the time of a request on an idle worker.
    """

    median_ms: float = 20
    sigma: float = 0.5


@dataclass(frozen=True, slots=True, kw_only=True)
class WorkerModel:
    """
    Parameters that all simulated workers of a platform share.

    Args:
        seed: Seed of the interference of each pair of workloads and of the
            actual usage of each workload.
        step_ms: Longest time in ms between two checks of a run's lease and
            speed.
        load_penalty: Slowdown added when all processors are in use.
        noisy_share: Share of the pairs that interfere strongly.
        noisy_coefficient: Slowdown of a strongly interfering pair if the
            one that interferes uses all of the worker's processors.
        quiet_coefficient: Upper limit of this slowdown for the other pairs.
        throttled_speed: Speed of a throttled run, as a share of its full speed.
        checkpoint_ms: Time in ms to take a checkpoint.
        fail_after_ms: Time in ms after which a run or request that is bound to
            fail does so.
        failing_workloads: Batch workloads that fail on every worker.
        service_time: Distribution for services that *services* does not
            contain.
        services: Distributions of the time of requests, by service.
        reply_retention_ms: Time in ms for which the worker keeps the reply of
            an ended request.
        report_lag_ms: Age in ms of the state that a usage report shows.
        sample_window_ms: Period in ms that the latency samples of one report
            cover.
    """

    seed: int = 0
    step_ms: float = 250
    load_penalty: float = 0.3
    noisy_share: float = 0.25
    noisy_coefficient: float = 2.0
    quiet_coefficient: float = 0.1
    throttled_speed: float = 0.2
    checkpoint_ms: float = 20
    fail_after_ms: float = 30
    failing_workloads: frozenset[str] = frozenset()
    service_time: ServiceTime = ServiceTime()
    services: Mapping[str, ServiceTime] = field(default_factory=dict)
    reply_retention_ms: int = 600_000
    report_lag_ms: int = 1_000
    sample_window_ms: int = 2_000


@dataclass(frozen=True, slots=True, kw_only=True)
class WorkerFaults:
    """
    The faults of one worker that are in force.

    Args:
        fails_all: Every new run and request fails.
        is_leaving: New runs and requests are rejected. A departure cannot be
            withdrawn.
        is_silent: Calls take effect, but their replies are withheld until
            this fault ends.
        is_dead: All runs, requests and outcomes are lost. A dead worker cannot
            be revived: its replacement has another id, because it knows
            neither the epochs nor the earlier requests.
        is_paused: No run or request progresses, and calls wait until the
            worker resumes.
        speed_factor: Speed of all runs and requests, as a share of the usual
            one.
        delivery_delay_ms: Delay before a call takes effect.
        reply_delay_ms: Delay between the effect of a call and its reply.
        stale_reply_count: Number of coming requests that get the reply of the
            request before instead of their own.
        truncated_reply_count: Number of coming requests whose reply contains
            only the first half of its body.
        duplicates_replies: The HTTP server sends every response twice.
    """

    fails_all: bool = False
    is_leaving: bool = False
    is_silent: bool = False
    is_dead: bool = False
    is_paused: bool = False
    speed_factor: float = 1.0
    delivery_delay_ms: float = 0
    reply_delay_ms: float = 0
    stale_reply_count: int = 0
    truncated_reply_count: int = 0
    duplicates_replies: bool = False
