"""
Tests of resource vectors.
"""

from hawthornpier.messages import Resources


class TestResources:
    """
    Demand and capacity are compared in every dimension.
    """

    def test_demand_above_one_dimension_does_not_fit(self) -> None:
        """
        Guards against a check that compares only the first dimension.
        """
        free = Resources(processor_millis=8000, memory_bytes=10, slot_count=1)
        demand = Resources(processor_millis=1, memory_bytes=11, slot_count=1)
        assert not demand.fits_in(free)
        assert (free - demand).memory_bytes == -1
