"""
Simulates the platform's workers in memory.
"""

from hawthornpier_standin.workers._contention import Contention
from hawthornpier_standin.workers._journal import Recorder, ignore_record
from hawthornpier_standin.workers._model import (
    ServiceTime,
    WorkerFaults,
    WorkerModel,
)
from hawthornpier_standin.workers._worker import MemoryWorker

__all__ = [
    'Contention',
    'MemoryWorker',
    'Recorder',
    'ServiceTime',
    'WorkerFaults',
    'WorkerModel',
    'ignore_record',
]
