"""Rendezvous hashing and the trees built on it."""

from hashlib import blake2b

from mangowell_core.blackboard import MembershipBoard


def rank_instances(salt: str, names: tuple[str, ...]) -> tuple[str, ...]:
    """Order names by rendezvous hashing with `salt`.

    All nodes with the same names get the same order, and a name that comes or
    goes does not change the order of the others.
    """
    prefix = blake2b(salt.encode() + b"\0", digest_size=8)

    def score(name: str) -> bytes:
        state = prefix.copy()
        state.update(name.encode())
        return state.digest()

    return tuple(sorted(names, key=lambda name: (score(name), name)))


class Tree:
    """Dissemination tree of one reader over its failure domain.

    Parameters
    ----------
    root : str
    names : tuple of str
        Instances of the failure domain.
    fanout : int
        Children of one node.
    """

    __slots__ = ("_fanout", "_order", "_positions")

    def __init__(self, root: str, names: tuple[str, ...], fanout: int):
        others = tuple(name for name in names if name != root)
        self._order = (root, *rank_instances(root, others))
        self._positions = {name: index for index, name in enumerate(self._order)}
        self._fanout = fanout

    def find_children(self, name: str) -> tuple[str, ...]:
        """Return the children of a node; none if it is not in the tree."""
        position = self._positions.get(name)
        if position is None:
            return ()
        first = self._fanout * position + 1
        return self._order[first : first + self._fanout]


class RankingCache:
    """Rankings and trees for the current view.

    A faulty peer can name any root, so the number of trees kept is bounded.
    """

    LIMIT = 8

    __slots__ = ("_epoch", "_fanout", "_rankings", "_trees")

    def __init__(self, fanout: int):
        self._fanout = fanout
        self._epoch = -1
        self._trees: dict[str, Tree] = {}
        self._rankings: dict[str, tuple[str, ...]] = {}

    def _update(self, board: MembershipBoard) -> None:
        if self._epoch != board.epoch:
            self._trees.clear()
            self._rankings.clear()
            self._epoch = board.epoch

    def find_ranking(self, domain: str, board: MembershipBoard) -> tuple[str, ...]:
        """Return the instances of a failure domain by rank."""
        self._update(board)
        ranking = self._rankings.get(domain)
        if ranking is None:
            names = board.domains.get(domain, ())
            ranking = self._rankings[domain] = rank_instances(domain, names)
        return ranking

    def find_tree(self, root: str, domain: str, board: MembershipBoard) -> Tree:
        """Return the tree of `root` over the failure domain."""
        self._update(board)
        tree = self._trees.get(root)
        if tree is None:
            if len(self._trees) >= self.LIMIT:
                self._trees.clear()
            names = board.domains.get(domain, ())
            tree = self._trees[root] = Tree(root, names, self._fanout)
        return tree
