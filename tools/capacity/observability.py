"""
CPU time of incrementing a metric, recording an event and a scrape.
"""

import os
import pathlib
import time
from collections.abc import Iterator

import eliot
from capacity.measurement import Measurement, cpu_microseconds

from hawthornpier.events import EventRecorder, HybridClock
from hawthornpier.messages import EventKind
from hawthornpier.metrics import InstrumentName, Metrics

_CALL_COUNT = 2_000
_SCRAPE_COUNT = 20
_SERVICE_COUNT = 10


class _SystemClock:
    def monotonic_ms(self) -> int:
        """
        Return the monotonic time in ms.
        """
        return time.monotonic_ns() // 1_000_000

    def wall_ms(self) -> int:
        """
        Return the wall time in ms.
        """
        return time.time_ns() // 1_000_000

    async def sleep_ms(self, duration_ms: float) -> None:
        """
        Raise NotImplementedError, since no measured code sleeps.
        """
        raise NotImplementedError


def measure() -> Iterator[Measurement]:
    """
    Yield the CPU time of counting, scraping and recording an event.
    """
    metrics = Metrics('entry-moose-jaw-1', is_prometheus_enabled=True)
    yield Measurement(
        name='metrics.count',
        amount=cpu_microseconds(
            lambda: metrics.count(
                InstrumentName.REQUESTS,
                outcome='answer',
                service='pass-planner',
            ),
            _CALL_COUNT,
        ),
        unit='us',
    )
    for index in range(_SERVICE_COUNT):
        metrics.observe(
            InstrumentName.REQUEST_DURATION,
            0.1,
            outcome='answer',
            service=f'service-{index}',
        )
    yield Measurement(
        name=f'metrics.scrape ({_SERVICE_COUNT} services)',
        amount=cpu_microseconds(metrics.render_prometheus, _SCRAPE_COUNT),
        unit='us',
    )
    yield Measurement(
        name='events.record with its log line',
        amount=_record_microseconds(),
        unit='us',
    )


def _record_microseconds() -> float:
    recorder = EventRecorder(HybridClock('entry-moose-jaw-1', _SystemClock()))
    with pathlib.Path(os.devnull).open('w') as log:
        destination = eliot.FileDestination(file=log)
        eliot.add_destinations(destination)
        try:
            return cpu_microseconds(
                lambda: recorder.record(
                    EventKind.TASK_STARTED,
                    shard='moose-jaw/0',
                    worker_id='worker-moose-jaw-00017',
                    task_id='moose-jaw/0-4f9a3c000001.17',
                ),
                _CALL_COUNT,
            )
        finally:
            eliot.remove_destination(destination)
