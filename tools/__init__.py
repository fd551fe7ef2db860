"""
Benches and development tools.
"""
