"""Fixtures of the core tests."""

import pytest
from tests.core.fleet import Fleet


@pytest.fixture
def fleet():
    """Return three failure domains of five running nodes each, at version 1."""
    fleet = Fleet(7, domains=3, per_domain=5)
    fleet.start()
    assert fleet.run(5, lambda: fleet.converged(1)) < 5
    fleet.run(2)
    return fleet


@pytest.fixture
def single_node_fleet():
    """Return a fleet of one node, which has read version 1 from the source."""
    fleet = Fleet(3, domains=1, per_domain=1)
    fleet.start()
    assert fleet.run(5, lambda: fleet.converged(1)) < 5
    return fleet
