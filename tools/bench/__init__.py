"""
Benchmark of the scheduling policy in virtual time; run by ``make bench``.
"""
