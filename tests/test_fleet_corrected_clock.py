"""
Tests of leases after a correction of a worker's clock.
"""

from test_fleet_ends import add_worker, listing_of, shard_with

from hawthornpier.fleet import WorkerTimings
from hawthornpier.fleet._listings import ListingReconciler


class TestCorrectedClock:
    """
    A clock that is corrected by replies to orders.
    """

    async def test_the_lease_is_not_forgotten(self):
        """
        Guards against runs that are started again while they go on, because
        their worker falls silent soon after a correction.
        """
        shard = shard_with()
        worker = add_worker(shard)
        ListingReconciler(shard).apply(worker, listing_of(), shard.now_ms)
        timings = WorkerTimings()
        now_ms = shard.now_ms
        worker.next_deadline(timings.lease_ms, now_ms)
        assert worker.lease_expiry_ms(timings) >= now_ms + timings.lease_ms
        clock_ms = int(worker.clock.estimate_ms(now_ms)) + 3_000
        # As `WorkerLink._handle_start_reply` does, twice.
        worker.synchronize(clock_ms, now_ms, now_ms)
        worker.synchronize(clock_ms, now_ms, now_ms)
        assert worker.lease_expiry_ms(timings) >= now_ms + timings.lease_ms
