"""
Simulates the store and the workers that the fleet scheduler uses.
"""

from hawthornpier_standin.fleet._store import (
    StandinRowStore,
    StandinStoreClient,
    StoreFault,
)
from hawthornpier_standin.fleet._wire import (
    store_application,
    worker_application,
)
from hawthornpier_standin.fleet._worker import StandinFleetWorker
from hawthornpier_standin.fleet._worker_client import StandinWorkerClient
from hawthornpier_standin.fleet._worker_model import TaskModel, WorkerFault

__all__ = [
    'StandinFleetWorker',
    'StandinRowStore',
    'StandinStoreClient',
    'StandinWorkerClient',
    'StoreFault',
    'TaskModel',
    'WorkerFault',
    'store_application',
    'worker_application',
]
