"""Guards the node state: joining, paused, isolated and stopping nodes."""

import pytest
from tests.core.fleet import Fleet, make_document

from mangowell_core.blackboard import NodeState
from mangowell_core.distribution import DistributionCore
from mangowell_core.distribution.io import Stopping
from mangowell_core.distribution.join import parse_seed
from mangowell_core.messages import Piece


def get_state(fleet, name):
    return fleet.nodes[name].core.board.configuration.state.value


def test_small_fleet_without_running_nodes_starts_within_1_s():
    """Without a running peer, the first nodes must read at once, not after 12 s."""
    fleet = Fleet(2, domains=3, per_domain=3)
    fleet.start()
    assert fleet.run(5, lambda: fleet.converged(1)) < 1


def test_new_node_adopts_the_highest_version_before_it_serves(fleet):
    """A restarted node that serves an older version than before breaks I1."""
    fleet.publish(make_document(2))
    fleet.run(1)
    fleet.set_source("stale")
    fleet.shown = dict.fromkeys(fleet.shown, 0)
    fleet.crash("d0n003")
    fleet.start("d0n003")
    fleet.run(10)
    node = fleet.nodes["d0n003"]
    assert node.core.serving()
    assert [s.document.version for s in node.snapshots] == [2]


def test_new_node_waits_for_the_text_of_the_highest_version(fleet):
    """A node that knows of version 2 must not serve while it holds only version 1."""
    fleet.publish(make_document(2))
    fleet.run(1)
    fleet.set_source("stale")
    fleet.shown = dict.fromkeys(fleet.shown, 0)
    start, send = fleet.now, fleet._send

    def send_late(sender, peer, message):
        if not isinstance(message, Piece) or fleet.now > start + 3:
            send(sender, peer, message)

    fleet._send = send_late
    fleet.crash("d0n003")
    fleet.start("d0n003")
    fleet.run(2.9)
    assert fleet.versions("d0n003") == {1}
    assert not fleet.nodes["d0n003"].core.serving()
    assert fleet.run(14, lambda: fleet.converged(2)) < 14


def test_new_node_joins_while_the_source_is_down(fleet):
    fleet.publish(make_document(2))
    fleet.run(1)
    fleet.set_source("down")
    for name in [*fleet.readers("d0"), "d1n000"]:
        fleet.crash(name)
        fleet.start(name)
    assert fleet.run(14, lambda: fleet.converged(2)) < 14


def test_fleet_without_source_and_peers_does_not_serve():
    fleet = Fleet(2, domains=1, per_domain=1)
    fleet.set_source("down")
    fleet.start()
    fleet.run(20)
    assert not fleet.nodes["d0n000"].core.serving()
    assert "JOIN_ALONE" in fleet.codes()
    fleet.set_source("up")
    assert fleet.run(14, lambda: fleet.converged(1)) < 14


def test_source_with_a_conflicting_version_does_not_block_the_join(single_node_fleet):
    """Two joining nodes must not wait for each other for ever.

    A random run did so: both had version 1 from a peer that then failed, and the
    source returned another text with that version.
    """
    node = single_node_fleet.nodes["d0n000"]
    node.core.board.configuration.state = NodeState.JOINING
    node.core.board.configuration.confirmed_by_source.clear()
    node.core._join._state_entered_at = single_node_fleet.now
    single_node_fleet.publish(make_document(1, "other"))
    assert single_node_fleet.run(14, lambda: single_node_fleet.converged(1)) < 14


def test_node_missing_from_the_list_receives_updates(fleet):
    """A node that started before the list shows it must receive new versions."""
    fleet.add_instance("d0", "d0new")
    fleet.start("d0new")
    assert fleet.run(6, lambda: fleet.converged(1)) < 6
    fleet.publish(make_document(2))
    assert fleet.run(14, lambda: fleet.converged(2)) < 5


def test_resumed_node_waits_for_a_confirmation(fleet):
    """A resumed node may have missed changes that callers already rely on."""
    fleet.pause("d0n002", 20)
    fleet.publish(make_document(2))
    fleet.run(19.9)
    fleet.delay_s = 0.3
    fleet.run(0.11)
    assert not fleet.nodes["d0n002"].core.serving()
    fleet.run(3)
    assert fleet.nodes["d0n002"].core.serving()
    assert fleet.converged(2)


def test_resumed_node_that_reaches_no_peer_serves_after_2_s(fleet):
    fleet.pause("d0n002", 5)
    fleet.run(4.9)
    fleet.drop = 1.0
    fleet.source = "silent"
    fleet.run(0.2)
    assert get_state(fleet, "d0n002") == "paused"
    fleet.run(2.2)
    assert get_state(fleet, "d0n002") == "running"


def test_stopping_reader_is_replaced(fleet):
    name = fleet.readers("d0")[0]
    fleet.handle(fleet.nodes[name], Stopping())
    assert not fleet.nodes[name].core.serving()
    assert not fleet.nodes[name].reads
    fleet.run(5)
    assert len(fleet.readers("d0")) == 2
    assert get_state(fleet, name) == "stopping"


@pytest.mark.parametrize("seed", ["host", ":1", "host:x", ""])
def test_invalid_seed_names_the_value(seed):
    with pytest.raises(ValueError, match="host:control_port"):
        parse_seed(seed)


def test_incarnation_must_be_positive():
    with pytest.raises(ValueError, match="incarnation"):
        DistributionCore.from_settings(None, None, 0)
