"""
The daemon that runs on every entry host.

It receives requests of callers and operators over HTTP and owns shards of the
scheduler.
"""

from hawthornpier.daemon._node import Node
from hawthornpier.daemon._peer_service import PeerService
from hawthornpier.daemon._ports import Connections
from hawthornpier.daemon._process import EntryProcess
from hawthornpier.daemon._run import run

__all__ = ['Connections', 'EntryProcess', 'Node', 'PeerService', 'run']
