import pytest
from tests.core.fleet import Fleet


@pytest.fixture
def fleet():
    """Three domains with five running nodes each, at version 1."""
    fleet = Fleet(7, domains=3, per_domain=5)
    fleet.start()
    assert fleet.run(5, lambda: fleet.converged(1)) < 5
    fleet.run(2)
    return fleet


@pytest.fixture
def single():
    """One node that has read version 1 itself, and nobody else."""
    fleet = Fleet(3, domains=1, per_domain=1)
    fleet.start()
    assert fleet.run(5, lambda: fleet.converged(1)) < 5
    return fleet
