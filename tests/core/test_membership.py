"""Guards the view against a list that lags or is half empty."""

from mangowell_core.distribution.io import PeerUnreachable


def board_of(fleet, name="d0n004"):
    return fleet.nodes[name].core.board.membership


def test_half_empty_list_is_doubted_for_30_s(fleet):
    lost = ("d0n000", "d0n001")
    fleet.publish_list(lost)
    fleet.run(28)
    assert set(board_of(fleet).unconfirmed) == set(lost)
    assert set(lost) < set(board_of(fleet).view)
    fleet.run(4)
    assert not set(lost) & set(board_of(fleet).view)
    assert {"INSTANCES_DOUBTED", "INSTANCES_CONFIRMED"} <= fleet.codes()


def test_doubt_ends_when_the_list_recovers(fleet):
    fleet.publish_list(("d0n000", "d0n001", "d0n002"))
    fleet.run(10)
    fleet.publish_list()
    fleet.run(1)
    assert not board_of(fleet).unconfirmed
    fleet.run(40)
    assert len(board_of(fleet).view) == len(fleet.instances)


def test_list_that_shrinks_in_small_steps_is_doubted(fleet):
    """Each step alone would stay below the limit."""
    lost = ()
    for name in ("d0n000", "d0n001", "d0n002", "d0n003"):
        lost = (*lost, name)
        fleet.publish_list(lost)
        fleet.run(2)
    assert len(board_of(fleet).unconfirmed) == 3


def test_own_evidence_confirms_a_loss(fleet):
    lost = ("d0n000", "d0n001", "d0n002")
    fleet.crash(*lost)
    fleet.publish_list(lost)
    fleet.run(10)
    assert not set(lost) & set(board_of(fleet).view)


def test_single_replacement_is_not_doubted(fleet):
    fleet.publish_list(("d0n000",))
    fleet.run(1)
    assert "d0n000" not in board_of(fleet).view


def test_failures_are_bounded(fleet):
    node = fleet.nodes["d0n004"]
    for number in range(2000):
        peer = type(node.peer)(f"x{number}", "10.0.0.9", 1)
        node.core.handle(PeerUnreachable(peer), fleet.now)
    assert len(node.core._membership._failed_at) <= 512
