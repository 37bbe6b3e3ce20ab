"""Rendezvous hashing, and dissemination trees in its order."""

from hashlib import blake2b

from mangowell_core.blackboard import MembershipBoard


def rank_instances(salt: str, names: tuple[str, ...]) -> tuple[str, ...]:
    """Return names ordered by rendezvous hashing with `salt`.

    The order depends only on the salt and the names, and adding or removing a name
    does not change the order of the others.
    """
    prefix = blake2b(salt.encode() + b"\0", digest_size=8)

    def compute_score(name: str) -> bytes:
        state = prefix.copy()
        state.update(name.encode())
        return state.digest()

    return tuple(sorted(names, key=lambda name: (compute_score(name), name)))


class DisseminationTree:
    """Dissemination tree of one reader over its failure domain.

    Parameters
    ----------
    root : str
        The reader.
    names : tuple of str
        Instances of the failure domain.
    fanout : int
        Maximum number of children of a node.
    """

    __slots__ = ("_breadth_first", "_fanout", "_positions")

    def __init__(self, root: str, names: tuple[str, ...], fanout: int):
        others = tuple(name for name in names if name != root)
        self._breadth_first = (root, *rank_instances(root, others))
        self._positions = {
            name: index for index, name in enumerate(self._breadth_first)
        }
        self._fanout = fanout

    def get_children(self, name: str) -> tuple[str, ...]:
        """Return the children of a node; none if it is not in the tree."""
        position = self._positions.get(name)
        if position is None:
            return ()
        first_child = self._fanout * position + 1
        return self._breadth_first[first_child : first_child + self._fanout]


class RankingCache:
    """Cache of rankings and trees for the current view.

    A faulty peer can name any root, so the number of cached trees is bounded.
    """

    MAX_TREES = 8

    __slots__ = ("_epoch", "_fanout", "_rankings", "_trees")

    def __init__(self, fanout: int):
        self._fanout = fanout
        self._epoch = -1
        self._trees: dict[str, DisseminationTree] = {}
        self._rankings: dict[str, tuple[str, ...]] = {}

    def _clear_if_outdated(self, board: MembershipBoard) -> None:
        if self._epoch != board.epoch:
            self._trees.clear()
            self._rankings.clear()
            self._epoch = board.epoch

    def find_ranking(self, domain: str, board: MembershipBoard) -> tuple[str, ...]:
        """Return the instances of a failure domain in rank order."""
        self._clear_if_outdated(board)
        ranking = self._rankings.get(domain)
        if ranking is None:
            names = board.instances_by_domain.get(domain, ())
            ranking = self._rankings[domain] = rank_instances(domain, names)
        return ranking

    def find_tree(
        self, root: str, domain: str, board: MembershipBoard
    ) -> DisseminationTree:
        """Return the tree with root `root` over the failure domain."""
        self._clear_if_outdated(board)
        tree = self._trees.get(root)
        if tree is None:
            if len(self._trees) >= self.MAX_TREES:
                self._trees.clear()
            names = board.instances_by_domain.get(domain, ())
            tree = self._trees[root] = DisseminationTree(root, names, self._fanout)
        return tree
