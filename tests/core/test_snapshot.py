"""Guards I2: each snapshot has the services that its routes name."""

from tests.core.fleet import make_document


def get_running_version(fleet):
    return next(iter(fleet.nodes.values())).snapshots[-1].document.version


def test_new_service_waits_for_its_first_instance(single_node_fleet):
    """A route must not fail because the list arrives later than the document."""
    single_node_fleet.publish(make_document(2, service="new"))
    single_node_fleet.run(3)
    assert get_running_version(single_node_fleet) == 1
    assert "VERSION_HELD" in single_node_fleet.codes()
    single_node_fleet.add_instance("d0", "d0x", "new")
    single_node_fleet.publish_list()
    single_node_fleet.run(0.5)
    snapshot = next(iter(single_node_fleet.nodes.values())).snapshots[-1]
    assert snapshot.document.version == 2
    assert [i.name for i in snapshot.instances["new"]] == ["d0x"]


def test_new_service_without_instances_is_applied_after_5_s(single_node_fleet):
    single_node_fleet.publish(make_document(2, service="new"))
    single_node_fleet.run(4.9)
    assert get_running_version(single_node_fleet) == 1
    single_node_fleet.run(0.2)
    assert get_running_version(single_node_fleet) == 2
    assert single_node_fleet.converged(2)


def test_burst_of_changes_does_not_extend_the_wait(single_node_fleet):
    """Each change of a burst must not restart the 5 s wait."""
    for version in range(2, 10):
        single_node_fleet.publish(make_document(version, service="new"))
        single_node_fleet.run(1)
    assert get_running_version(single_node_fleet) >= 6


def test_list_is_applied_while_a_document_waits(single_node_fleet):
    single_node_fleet.publish(make_document(2, service="new"))
    single_node_fleet.run(0.1)
    single_node_fleet.add_instance("d0", "d0y")
    single_node_fleet.publish_list()
    single_node_fleet.run(1)
    assert get_running_version(single_node_fleet) == 1
    assert single_node_fleet.converged(1)
