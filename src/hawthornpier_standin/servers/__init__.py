"""
HTTP servers of the simulated platform and workers, and their commands.
"""

from hawthornpier_standin.servers._commands import add_commands
from hawthornpier_standin.servers._platform import PlatformServer
from hawthornpier_standin.servers._pool import WorkerPool, WorkerPoolOptions
from hawthornpier_standin.servers._worker import WorkerServer

__all__ = [
    'PlatformServer',
    'WorkerPool',
    'WorkerPoolOptions',
    'WorkerServer',
    'add_commands',
]
