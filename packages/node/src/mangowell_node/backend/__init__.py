"""Connections to the local backend server."""

from mangowell_node.backend.connection import BackendConnection
from mangowell_node.backend.dialect import BackendDialect, NativeDialect, RefusalIds
from mangowell_node.backend.health import HealthPoller
from mangowell_node.backend.pool import BackendPool

__all__ = [
    "BackendConnection",
    "BackendDialect",
    "BackendPool",
    "HealthPoller",
    "NativeDialect",
    "RefusalIds",
]
