"""
Tests of the hybrid logical clock and of the timeline.
"""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from hawthornpier.events import (
    EventFilter,
    EventRecorder,
    EventsDecodeError,
    HybridClock,
    decode_events,
    encode_events,
    merge_timelines,
    render_html,
    render_text,
)
from hawthornpier.messages import ClockStamp, Event, EventKind


class SteppedClock:
    """
    A clock whose time the test sets, forwards or backwards.
    """

    def __init__(self, now_ms: int = 1_000) -> None:
        self.now_ms = now_ms

    def monotonic_ms(self) -> int:
        """
        Return the set time.
        """
        return self.now_ms

    def wall_ms(self) -> int:
        """
        Return the set time.
        """
        return self.now_ms

    async def sleep_ms(self, duration_ms: float) -> None:
        """
        Advance the clock without waiting.
        """
        self.now_ms += int(duration_ms)


def _key(stamp: ClockStamp) -> tuple[int, int]:
    return (stamp.wall_ms, stamp.counter)


def _recorder(
    process_id: str = 'p1', max_event_count: int = 8
) -> EventRecorder:
    return EventRecorder(
        HybridClock(process_id, SteppedClock()),
        max_event_count=max_event_count,
    )


class TestHybridClock:
    """
    Causes sort before their effects even if wall clocks jump.
    """

    @settings(derandomize=True)
    @given(
        st.lists(
            st.tuples(
                st.integers(0, 1),
                st.integers(0, 5_000),
                st.booleans(),
            ),
        ),
    )
    def test_timestamps_follow_those_of_received_messages(
        self,
        steps: list[tuple[int, int, bool]],
    ) -> None:
        """
        Guards against a timestamp below that of its cause.

        This can happen when the wall clock of a process jumps backwards.
        """
        walls = (SteppedClock(), SteppedClock())
        clocks = (HybridClock('a', walls[0]), HybridClock('b', walls[1]))
        latest = [clocks[0].tick(), clocks[1].tick()]
        for index, now_ms, is_message in steps:
            walls[index].now_ms = now_ms
            causes = [latest[index]]
            if is_message:
                causes.append(latest[1 - index])
                stamp = clocks[index].merge(latest[1 - index])
            else:
                stamp = clocks[index].tick()
            assert all(_key(stamp) > _key(cause) for cause in causes)
            latest[index] = stamp

    def test_timestamp_far_ahead_is_not_merged(self) -> None:
        """
        Guards against a wrong wall clock that affects all processes.

        If its timestamps were merged, those of every process would be wrong.
        """
        clock = HybridClock('a', SteppedClock(1_000), max_ahead_ms=500)
        near = ClockStamp(wall_ms=1_500, counter=3, process_id='b')
        far = ClockStamp(wall_ms=1_501, counter=0, process_id='b')
        assert clock.merge(far).wall_ms == 1_000
        assert clock.rejected_stamp_count == 1
        assert _key(clock.merge(near)) == (1_500, 4)


class TestRecorder:
    """
    The ring buffer is bounded, and dropped events are counted.
    """

    def test_ring_buffer_counts_dropped_events(self) -> None:
        """
        Guards against unbounded memory and uncounted loss of events.
        """
        recorder = _recorder(max_event_count=2)
        for detail in ('first', 'second', 'third'):
            recorder.record(EventKind.TASK_STARTED, detail=detail)
        kept = [event.detail for event in recorder.events()]
        assert kept == ['second', 'third']
        assert recorder.dropped_count == 1

    def test_filter_requires_every_condition(self) -> None:
        """
        Guards against a filter that shows another member's events.
        """
        recorder = _recorder()
        recorder.record(EventKind.TASK_STARTED, member='north', task_id='t1')
        recorder.record(EventKind.TASK_STARTED, member='south', task_id='t1')
        recorder.record(EventKind.TASK_ENDED, member='south', task_id='t1')
        event_filter = EventFilter(
            kinds=frozenset((EventKind.TASK_STARTED,)),
            member='south',
            task_id='t1',
        )
        selected = recorder.events(event_filter)
        assert [event.member for event in selected] == ['south']


class TestTimeline:
    """
    Timelines of several processes are merged into one.
    """

    def test_merge_orders_events_and_removes_duplicates(self) -> None:
        """
        Guards against events shown twice or in the wrong order.
        """
        first, second = _recorder('a'), _recorder('b')
        for _ in range(3):
            second.record(EventKind.PEER_JOINED)
            first.record(EventKind.PEER_JOINED)
        timelines = (first.events(), second.events(), first.events()[:2])
        merged = merge_timelines(timelines)
        keys = [
            (*_key(event.stamp), event.stamp.process_id) for event in merged
        ]
        assert len(keys) == 6
        assert keys == sorted(keys)

    def test_json_round_trip(self) -> None:
        """
        Guards against events that encoding and decoding change.
        """
        recorder = _recorder()
        recorder.record(EventKind.STORE_OUT, detail='503 "quoted"')
        events = recorder.events()
        assert decode_events(encode_events(events)) == events
        with pytest.raises(EventsDecodeError):
            decode_events(b'[{"kind": "no such kind"}]')

    def test_renderings_neutralise_member_text(self) -> None:
        """
        Guards against forged lines and scripts in text chosen by members.
        """
        hostile = '</title><script>alert(1)</script>\n"\'&'
        event = Event(
            stamp=ClockStamp(wall_ms=1_001, counter=0, process_id=hostile),
            kind=EventKind.JOB_ACCEPTED,
            member=hostile,
            detail=hostile,
        )
        page = render_html([event], title=hostile)
        assert '<script' not in page
        assert page.count('</title>') == 2
        assert '&lt;script&gt;' in page
        text = render_text([event])
        assert text.count('\n') == 1
        assert text.startswith('1970-01-01T00:00:01.001Z +0')
