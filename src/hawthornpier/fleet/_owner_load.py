"""
How far the owner of a shard is behind its work.
"""

import collections
import itertools
from dataclasses import dataclass

from hawthornpier.fleet._load_report import LoadReport

# Records are kept for this long.
_WINDOW_MS = 3_000.0
# A timer that fires later than this part of the owner's lease is late.
_LATE_PART = 1 / 24
# The owner is overloaded if as many timers were late within the window, the
# first and the last at least so far apart.  The requests that a single pause
# has delayed make the timers late that follow at once.
_LATE_COUNT = 4
_LATE_SPAN_MS = 1_000.0
# So it is if as many passes in a row took longer than this part of the lease,
# with the gaps between their slices.
_LONG_PASS_PART = 0.5
_LONG_PASS_COUNT = 3


@dataclass(frozen=True, slots=True)
class _Span:
    """
    A time that ended at a moment on the monotonic clock.
    """

    end_ms: float
    length_ms: float


class OwnerLoad:
    """
    Judges the load of an owner by late timers and by long passes.

    An owner whose timers are late renews its claim and the leases of workers
    late, and finds replies in its sockets that have come in time.  It answers
    a host that is too small for the shard, which no single pause is.

    Args:
        lease_ms: How long the owner's claim of the shard lasts.
    """

    def __init__(self, lease_ms: float) -> None:
        self._late_ms = lease_ms * _LATE_PART
        self._long_pass_ms = lease_ms * _LONG_PASS_PART
        self._now_ms: float = 0
        self._due_ms: float | None = None
        self._lags: collections.deque[_Span] = collections.deque()
        self._slices: collections.deque[_Span] = collections.deque()
        self._pass_lengths_ms: collections.deque[float] = collections.deque(
            maxlen=_LONG_PASS_COUNT
        )
        self._pass_end_ms: float | None = None
        self._starts_in_flight = 0
        self._report = LoadReport()

    @property
    def is_overloaded(self) -> bool:
        """
        Return whether the owner has been behind its work for some time.
        """
        is_full = len(self._pass_lengths_ms) == _LONG_PASS_COUNT
        if is_full and min(self._pass_lengths_ms) > self._long_pass_ms:
            return True
        late = [lag for lag in self._lags if lag.length_ms > self._late_ms]
        if len(late) < _LATE_COUNT:
            return False
        return late[-1].end_ms - late[0].end_ms >= _LATE_SPAN_MS

    def expect_timer(self, due_ms: float) -> None:
        """
        Record when the next timer is due, on the monotonic clock.
        """
        self._due_ms = due_ms

    def record_lag(self, now_ms: float, lag_ms: float) -> None:
        """
        Record by how much the timer that has fired now was late.
        """
        self._now_ms = now_ms
        self._due_ms = None
        span = _Span(now_ms, max(lag_ms, 0))
        _append(self._lags, span)
        self._report.add_lag(span.length_ms)

    def record_slice(self, now_ms: float, slice_ms: float) -> None:
        """
        Record how long a slice of a scheduling pass has kept the process.
        """
        _append(self._slices, _Span(now_ms, slice_ms))
        self._report.add_slice(slice_ms)

    def record_pass(self, now_ms: float, pass_ms: float) -> None:
        """
        Record how long a pass took, with the gaps between its slices.
        """
        self._pass_lengths_ms.append(pass_ms)
        self._report.add_pass(pass_ms)
        if self._pass_end_ms is not None:
            self._report.add_gap(now_ms - pass_ms - self._pass_end_ms)
        self._pass_end_ms = now_ms

    def record_starts_in_flight(self, count: int) -> None:
        """
        Record how many starts have no reply yet.
        """
        self._starts_in_flight = count
        self._report.add_starts_in_flight(count)

    def record_late_reply(self) -> None:
        """
        Record a start whose reply the owner's own delay has made late.
        """
        self._report.late_replies += 1

    def take_report(self) -> LoadReport:
        """
        Return the load since the last report, and begin anew.
        """
        report = self._report
        self._report = LoadReport()
        self._report.add_starts_in_flight(self._starts_in_flight)
        return report

    def share_busy(self) -> float:
        """
        Return the part of the last seconds in which other work had to wait.

        That is the time of scheduling passes, or the time by which timers were
        late if that is more.
        """
        since_ms = self._now_ms - _WINDOW_MS
        busy_ms = max(
            _time_since(self._slices, since_ms),
            _time_since(self._lags, since_ms),
        )
        return min(busy_ms / _WINDOW_MS, 1)

    def late_ms(self, since_ms: float, now_ms: float) -> float:
        """
        Return for how long since a moment the owner did not get to its work.

        A timer that is due and has not fired yet counts, because what waits
        with it may be read before it.
        """
        overdue_ms: float = 0
        if self._due_ms is not None:
            overdue_ms = max(now_ms - max(self._due_ms, since_ms), 0)
        return _time_since(self._lags, since_ms) + overdue_ms

    def was_late(self, since_ms: float, now_ms: float) -> bool:
        """
        Return whether a reply may be late by the owner's own delay.

        Args:
            since_ms: When the request was sent.
            now_ms: The current time.
        """
        return self.late_ms(since_ms, now_ms) > self._late_ms


def _append(spans: collections.deque[_Span], span: _Span) -> None:
    spans.append(span)
    while spans[0].end_ms < span.end_ms - _WINDOW_MS:
        spans.popleft()


def _time_since(spans: collections.deque[_Span], since_ms: float) -> float:
    """
    Return the time of spans that is later than a moment.
    """
    recent = itertools.takewhile(
        lambda span: span.end_ms > since_ms, reversed(spans)
    )
    return sum(min(span.length_ms, span.end_ms - since_ms) for span in recent)
