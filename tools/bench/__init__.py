"""
Measures the scheduler in virtual time; run by ``make bench``.
"""
