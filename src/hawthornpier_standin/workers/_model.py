"""
How a stand-in worker behaves, and the faults that can be switched on it.
"""

from collections.abc import Mapping
from dataclasses import dataclass, field


@dataclass(frozen=True, slots=True, kw_only=True)
class ServiceTime:
    """
    A log-normal distribution of the time that a request takes on its own.
    """

    median_ms: float = 20
    sigma: float = 0.5


@dataclass(frozen=True, slots=True, kw_only=True)
class WorkerModel:
    """
    The behaviour of workers; all workers of a platform share one model.

    Args:
        seed: Determines the interference of each pair of workloads and the
            real usage of each workload.
        step_ms: Longest time between two checks of a run's lease and speed.
        load_penalty: Slowdown that a fully loaded worker adds.
        noisy_share: Share of the pairs that interfere strongly.
        noisy_coefficient: Slowdown from a noisy workload that occupies the
            whole worker.
        quiet_coefficient: The same for all other pairs.
        throttled_speed: Speed of a throttled run, as a share of its own.
        checkpoint_ms: Time that taking a checkpoint lasts.
        fail_after_ms: Time after which a run that cannot succeed fails.
        failing_workloads: Batch workloads that fail on every worker.
        service_time: Distribution for services that *services* leaves out.
        services: Distributions by service.
        reply_retention_ms: Time for which a finished request's reply can be
            asked for.
        report_lag_ms: Age of the state that a report shows.
        sample_window_ms: Span of the latency samples in one report.
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
    What is wrong with one worker at the moment.

    Args:
        fails_all: Every run and request fails.
        is_leaving: New runs and requests are refused.
        is_silent: Calls take effect and get no reply while this holds.
        is_dead: All work and state is lost. A dead worker stays dead: a
            replacement has an id of its own, because it knows no epoch and
            no earlier request.
        is_paused: Nothing progresses and calls wait until the worker resumes.
        speed_factor: Speed of all work, as a share of the usual one.
        delivery_delay_ms: Time before a call takes effect.
        reply_delay_ms: Time after a call took effect before its reply.
        stale_reply_count: Number of coming requests that get the reply of
            an earlier request in place of their own.
        truncated_reply_count: Number of coming requests whose reply has
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
