"""Decisions of a node on a platform that lists its routes and workers.

The platform publishes a list of the workers, and routes that each have a
priority, an objective and a maximum number of attempts. This package performs no
I/O; callers pass in the time as monotonic seconds.
"""

from mangowell_core.mesh.admission import Admission, AdmissionDecision
from mangowell_core.mesh.changes import Publication
from mangowell_core.mesh.crashes import CompletedRequests, CrashCounter
from mangowell_core.mesh.directory import Directory
from mangowell_core.mesh.model import (
    CallerLimits,
    Endpoint,
    MeshDocument,
    MeshRoute,
    MeshService,
    MeshState,
)
from mangowell_core.mesh.placement import Placement
from mangowell_core.mesh.readers import ReaderElection, ReaderReport
from mangowell_core.mesh.retry_budget import RetryBudget
from mangowell_core.mesh.routes import RouteTable
from mangowell_core.mesh.settings import MeshSettings, parse_mesh_settings
from mangowell_core.mesh.stopping import StoppingPeers, StopSchedule
from mangowell_core.mesh.worker_states import WorkerState, WorkerStates

__all__ = [
    "Admission",
    "AdmissionDecision",
    "CallerLimits",
    "CompletedRequests",
    "CrashCounter",
    "Directory",
    "Endpoint",
    "MeshDocument",
    "MeshRoute",
    "MeshService",
    "MeshSettings",
    "MeshState",
    "Placement",
    "Publication",
    "ReaderElection",
    "ReaderReport",
    "RetryBudget",
    "RouteTable",
    "StopSchedule",
    "StoppingPeers",
    "WorkerState",
    "WorkerStates",
    "parse_mesh_settings",
]
