"""
Tests of resource vectors.
"""

from hawthornpier.messages import Resources


class TestResources:
    """
    Resources compare in every dimension.
    """

    def test_demand_above_one_dimension_does_not_fit(self) -> None:
        """
        A worker is not overloaded in a dimension that is not the first.
        """
        free = Resources(processor_millis=8000, memory_bytes=10, slot_count=1)
        demand = Resources(processor_millis=1, memory_bytes=11, slot_count=1)
        assert not demand.fits_in(free)
        assert (free - demand).memory_bytes == -1
