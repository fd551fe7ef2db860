"""
The states of a run.
"""

import enum


class RunPhase(enum.StrEnum):
    """
    The state of a run as far as the owner knows.

    The run's resources stay allocated on its worker in every phase.
    """

    STARTING = 'starting'
    RUNNING = 'running'
    STOPPING = 'stopping'
    # The start was not acknowledged: the run may be executing, or may still
    # start.
    UNCERTAIN = 'uncertain'
