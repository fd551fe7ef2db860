"""
Tests of relays that are suspended while calls are on their way.
"""

import asyncio

from fake_store import virtual_tests
from test_fleet_relays import Session
from virtual_time import JumpingClock

from hawthornpier.fleet._relay_messages import Failure


class _SuspendedSession(Session):
    """
    A relay session on a host whose clock the test can advance.
    """

    def __init__(self):
        super().__init__(clock=JumpingClock())
        self.clock = self.session._clock

    async def has_sent_nothing(self, *, count=1):
        """
        Return whether *count* calls are answered as not sent, and no other.
        """
        await asyncio.sleep(0.1)
        unsent = [
            answer.number
            for answer in self.answers()
            if isinstance(answer.result, Failure) and not answer.result.is_sent
        ]
        is_answered = len(unsent) == len(self.answers()) == count
        return is_answered and not self.worker.started


@virtual_tests(_SuspendedSession)
class TestSuspendedRelay:
    """
    Calls that waited in a suspended relay are not sent.
    """

    async def test_first_batch_of_a_connection(self, subject):
        """
        Guards against orders whose delay is unknown as they are the first.
        """
        subject.clock.jump_ms = 4_000
        subject.deliver(sent_ms=0)
        assert await subject.has_sent_nothing()

    async def test_batches_that_waited_together(self, subject):
        """
        Guards against the same for the batches that follow.
        """
        subject.clock.jump_ms = 4_000
        for number in range(1, 4):
            subject.deliver(sent_ms=number * 500, number=number)
        assert await subject.has_sent_nothing(count=3)

    async def test_batch_that_is_read_after_other_callbacks(self, subject):
        """
        Guards against a check that only the first callback passes.
        """
        subject.clock.jump_ms = 4_000
        # The session sends its next sign of life first.
        await asyncio.sleep(0.05)
        subject.deliver(sent_ms=0)
        assert await subject.has_sent_nothing()

    async def test_suspension_after_a_batch_was_read(self, subject):
        """
        Guards against an order that is sent after its owner gave it up.
        """
        subject.deliver(sent_ms=0)
        subject.clock.jump_ms = 4_000
        assert await subject.has_sent_nothing()

    async def test_calls_after_the_suspension(self, subject):
        """
        Guards against a relay that sends nothing any more.
        """
        subject.clock.jump_ms = 4_000
        await asyncio.sleep(1)
        subject.deliver(sent_ms=5_000)
        await asyncio.sleep(0.1)
        assert len(subject.worker.started) == 1
