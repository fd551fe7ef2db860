"""
The base class of all errors that hawthornpier raises.

Each layer defines its own errors as subclasses of `HawthornpierError` and
converts the errors of the layer below with ``raise ... from``.
"""

__all__ = ['HawthornpierError']


class HawthornpierError(Exception):
    """
    Base class of the errors that the package raises deliberately.
    """
