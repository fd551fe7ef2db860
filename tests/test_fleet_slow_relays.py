"""
Tests of relays through which orders take longer than through the others.
"""

from fake_store import virtual_tests
from fleet_world import World
from virtual_time import VirtualClock

from hawthornpier.fleet._relay_delays import RelayDelays
from hawthornpier.steps import JobPhase, StepPlan

CHECK_INTERVAL_MS = 500
AVOIDANCE_MS = 15_000
RELAYS = ('a', 'b', 'c', 'd')
# So small that the owner of a few workers needs relays.
SMALL_CORES = 0.02


class Measurement:
    """
    Relays that are measured at each check.
    """

    def __init__(self):
        self.clock = VirtualClock()
        self.delays = RelayDelays(self.clock)

    async def check(self, duration_ms, **delays_ms):
        """
        Return the relays to avoid after a time with these delays of orders.
        """
        found = set()
        for _ in range(duration_ms // CHECK_INTERVAL_MS):
            for relay in RELAYS:
                for _ in range(2):
                    self.delays.record(relay, delays_ms.get(relay, 8))
            await self.clock.sleep_ms(CHECK_INTERVAL_MS)
            found = set(self.delays.slow_relays())
        return found

    def finish(self):
        """
        Do nothing, as nothing runs.
        """


@virtual_tests(Measurement)
class TestRelayDelays:
    """
    A relay is avoided while it is much slower than the others.
    """

    async def test_a_slow_relay_is_avoided(self, subject):
        """
        Guards against orders and leases that wait for a slow host.
        """
        assert await subject.check(4_000, b=300) == {'b'}

    async def test_several_slow_relays_are_avoided(self, subject):
        """
        Guards against slow relays that hide each other.
        """
        assert await subject.check(4_000, b=300, c=900) == {'b', 'c'}

    async def test_a_short_delay_moves_nothing(self, subject):
        """
        Guards against new connections to workers after each hiccup.
        """
        assert not await subject.check(1_500, b=300)
        assert not await subject.check(4_000)

    async def test_relays_in_another_region(self, subject):
        """
        Guards against relays that are avoided because they are far away.
        """
        assert not await subject.check(10_000, b=40)

    async def test_a_slow_owner(self, subject):
        """
        Guards against relays that are blamed for the delays of the owner.
        """
        slow = dict.fromkeys(RELAYS, 400)
        assert not await subject.check(10_000, **slow)

    async def test_one_slow_worker(self, subject):
        """
        Guards against a relay that is blamed for one of its workers.
        """
        for _ in range(20):
            for _ in range(3):
                subject.delays.record('b', 8)
            subject.delays.record('b', 700)
            assert not await subject.check(500)

    async def test_it_is_used_again(self, subject):
        """
        Guards against a relay that is lost after one slow phase.
        """
        assert await subject.check(4_000, b=300)
        assert not await subject.check(AVOIDANCE_MS)

    async def test_late_replies_count_once(self, subject):
        """
        Guards against a relay that is avoided for longer because of calls that
        were made before.
        """
        assert await subject.check(8_000, b=300)
        assert not await subject.check(AVOIDANCE_MS)

    async def test_a_relay_that_remains_slow_is_avoided_for_longer(
        self, subject
    ):
        """
        Guards against workers that move back and forth.
        """
        assert await subject.check(AVOIDANCE_MS + 8_000, b=300) == {'b'}
        assert await subject.check(AVOIDANCE_MS + 4_000) == {'b'}


@virtual_tests(World)
class TestSlowRelay:
    """
    The workers of a slow relay are reached through another one.
    """

    options = {'cores': SMALL_CORES, 'node_count': 5, 'worker_count': 6}

    async def test_its_workers_move(self, world):
        """
        Guards against orders that stay with a slow relay, or that are lost or
        carried out twice as they leave it.
        """
        await world.run_for(3_000)
        relay = max(
            world.nodes.values(), key=lambda node: node.relayed_batch_count
        )
        relay.relay_delay_s = 0.3
        plans = await self._submit(world, 40)
        before_count = relay.relayed_batch_count
        plans += await self._submit(world, 40)
        for plan in plans:
            await world.wait_phase(plan.job_id, JobPhase.COMPLETED)
        assert world.has_logged('relay_slow')
        # The ends of contacts may be sent yet.
        assert relay.relayed_batch_count - before_count <= 2
        assert world.checker.started_count == 4 * len(plans)
        assert not world.has_logged('worker_lost')

    async def _submit(self, world, count):
        plans = []
        for _ in range(count):
            plan = world.plan(StepPlan(task_count=4, processor_millis=1_000))
            await world.any_node().entry.submit(plan)
            plans.append(plan)
            await world.run_for(150)
        return plans
