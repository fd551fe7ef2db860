"""
A scheduler for latency-critical and batch work on the same workers.
"""

__all__ = ['__version__']

__version__ = '0.1.0'
