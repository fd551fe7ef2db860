"""
Benchmarks and development tools.
"""
