"""
Measurements of the unit costs from which docs/CAPACITY.md extrapolates.
"""
