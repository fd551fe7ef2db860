"""
The root of all errors that hawthornpier raises.

Each layer has a module of its own errors derived from `HawthornpierError`
and converts the errors of the layer below with ``raise ... from``.
"""

__all__ = ['HawthornpierError']


class HawthornpierError(Exception):
    """
    Base class of every error that the package raises on purpose.
    """
