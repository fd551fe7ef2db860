"""
How far the owner of a shard is behind its work.
"""

import collections
import itertools
from dataclasses import dataclass

from hawthornpier.fleet._load_report import LoadReport

# Records are kept for this long, and of moments at most so many.
_WINDOW_MS = 3_000.0
_MAX_BEHIND_COUNT = 256
# A timer that fires later than this part of the owner's lease is late.
_LATE_PART = 1 / 24
# The owner is overloaded if it was behind its work as often within the window,
# at first and at last at least so far apart.  The requests that a single pause
# has delayed are late at about the same time.
_BEHIND_COUNT = 4
_BEHIND_SPAN_MS = 1_000.0


@dataclass(frozen=True, slots=True)
class _Span:
    """
    A time that ended at a moment on the monotonic clock.
    """

    end_ms: float
    length_ms: float


class OwnerLoad:
    """
    Judges the load of an owner by late timers and by passes that are cut short.

    An owner whose timers are late renews its claim and the leases of workers
    late, and finds replies in its sockets that have come in time.  It answers
    a host that is too small for the shard, which no single pause is.

    Args:
        lease_ms: How long the owner's claim of the shard lasts.
    """

    def __init__(self, lease_ms: float) -> None:
        self._late_ms = lease_ms * _LATE_PART
        self._now_ms: float = 0
        self._due_ms: float | None = None
        self._lags: collections.deque[_Span] = collections.deque()
        self._slices: collections.deque[_Span] = collections.deque()
        # When it was behind its work.
        self._behind_ms: collections.deque[float] = collections.deque(
            maxlen=_MAX_BEHIND_COUNT
        )
        self._pass_end_ms: float | None = None
        self._starts_in_flight = 0
        self._report = LoadReport()

    @property
    def is_overloaded(self) -> bool:
        """
        Return whether the owner has been behind its work for some time.
        """
        since_ms = self._now_ms - _WINDOW_MS
        behind = [each for each in self._behind_ms if each > since_ms]
        if len(behind) < _BEHIND_COUNT:
            return False
        return behind[-1] - behind[0] >= _BEHIND_SPAN_MS

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
        if lag_ms > self._late_ms:
            self._behind_ms.append(now_ms)

    def record_slice(self, now_ms: float, slice_ms: float) -> None:
        """
        Record how long a slice of a scheduling pass has kept the process.
        """
        _append(self._slices, _Span(now_ms, slice_ms))
        self._report.add_slice(slice_ms)

    def record_pass(
        self, now_ms: float, pass_ms: float, *, is_cut: bool
    ) -> None:
        """
        Record a scheduling pass.

        Args:
            now_ms: When it ended, on the monotonic clock.
            pass_ms: How long it took, with the gaps between its slices.
            is_cut: Whether it left steps that the owner had no time for.
        """
        self._now_ms = now_ms
        if is_cut:
            self._behind_ms.append(now_ms)
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

        The owner must have been behind its work for most of the time.  Short
        delays of all requests add up, but do not make one of them late.

        Args:
            since_ms: When the request was sent.
            now_ms: The current time.
        """
        late_ms = self.late_ms(since_ms, now_ms)
        return late_ms > max(self._late_ms, (now_ms - since_ms) / 2)


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
