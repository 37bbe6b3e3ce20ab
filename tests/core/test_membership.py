"""Guards the view against an instance list that lags or is incomplete."""

from mangowell_core.distribution.io import PeerUnreachable


def get_board(fleet, name="d0n004"):
    return fleet.nodes[name].core.board.membership


def test_large_removal_is_unconfirmed_for_30_s(fleet):
    removed = ("d0n000", "d0n001")
    fleet.publish_list(removed)
    fleet.run(28)
    assert set(get_board(fleet).unconfirmed) == set(removed)
    assert set(removed) < set(get_board(fleet).view)
    fleet.run(4)
    assert not set(removed) & set(get_board(fleet).view)
    assert {"INSTANCES_DOUBTED", "INSTANCES_CONFIRMED"} <= fleet.codes()


def test_unconfirmed_removals_are_dropped_when_the_list_recovers(fleet):
    fleet.publish_list(("d0n000", "d0n001", "d0n002"))
    fleet.run(10)
    fleet.publish_list()
    fleet.run(1)
    assert not get_board(fleet).unconfirmed
    fleet.run(40)
    assert len(get_board(fleet).view) == len(fleet.instances)


def test_removals_in_small_steps_are_unconfirmed(fleet):
    """Removals must count together, because each step alone is below the limit."""
    removed = ()
    for name in ("d0n000", "d0n001", "d0n002", "d0n003"):
        removed = (*removed, name)
        fleet.publish_list(removed)
        fleet.run(2)
    assert len(get_board(fleet).unconfirmed) == 3


def test_failed_connections_confirm_a_removal(fleet):
    removed = ("d0n000", "d0n001", "d0n002")
    fleet.crash(*removed)
    fleet.publish_list(removed)
    fleet.run(10)
    assert not set(removed) & set(get_board(fleet).view)


def test_removal_of_one_instance_is_applied_at_once(fleet):
    fleet.publish_list(("d0n000",))
    fleet.run(1)
    assert "d0n000" not in get_board(fleet).view


def test_recorded_failures_are_bounded(fleet):
    node = fleet.nodes["d0n004"]
    for number in range(2000):
        peer = type(node.peer)(f"x{number}", "10.0.0.9", 1)
        node.core.handle(PeerUnreachable(peer), fleet.now)
    assert len(node.core._membership._failed_at) <= 512
