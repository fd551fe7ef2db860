"""
The command line interface ``hawthornpier``.
"""

from hawthornpier.cli._errors import CommandError, ExitCode
from hawthornpier.cli._main import main

__all__ = ['CommandError', 'ExitCode', 'main']
