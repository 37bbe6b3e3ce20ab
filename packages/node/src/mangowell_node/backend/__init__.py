"""Connections to the node's own backend server."""

from mangowell_node.backend.connection import BackendConnection
from mangowell_node.backend.dialect import OwnDialect, WorkerDialect
from mangowell_node.backend.health import HealthPoller
from mangowell_node.backend.pool import BackendPool

__all__ = [
    "BackendConnection",
    "BackendPool",
    "HealthPoller",
    "OwnDialect",
    "WorkerDialect",
]
