"""
Measures the slopes from which docs/CAPACITY.md extrapolates.
"""
