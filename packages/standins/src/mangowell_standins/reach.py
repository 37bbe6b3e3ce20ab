"""Reachability between failure domains on loopback.

Failure domain number n has the addresses 127.0.<n>.<i>; the platform has
127.0.0.<i>. A node's `Reach` derives the domain from the address, so cutting
a domain needs no knowledge of ports.
"""

from mangowell_node.reach import Reach

PLATFORM = 0


def address_of(domain: int, index: int) -> str:
    """Return the loopback address of member `index` of a domain.

    Raises
    ------
    ValueError
        If `domain` or `index` does not fit into an address.
    """
    if not 0 <= domain <= 255:
        raise ValueError(f"domain must be 0 to 255, got {domain}")
    if not 1 <= index <= 254:
        raise ValueError(f"index must be 1 to 254, got {index}")
    return f"127.0.{domain}.{index}"


def domain_of(host: str) -> int:
    """Return the number of the failure domain of a loopback address."""
    return int(host.split(".")[2])


class Partition:
    """Which failure domains can reach each other and the platform.

    Domains of one group reach each other; the platform is in group 0.
    """

    __slots__ = ("_groups",)

    def __init__(self):
        self._groups: dict[int, int] = {}

    def cut(self, *domains: int) -> None:
        """Cut `domains` off from the platform and all others.

        Domains that are cut in one call still reach each other.
        """
        group = max(self._groups.values(), default=0) + 1
        for domain in domains:
            self._groups[domain] = group

    def join(self, *domains: int) -> None:
        """Undo `cut`; without arguments, for all domains."""
        for domain in domains or tuple(self._groups):
            self._groups.pop(domain, None)

    def connects(self, one: int, other: int) -> bool:
        """Return whether two domains reach each other."""
        return self._groups.get(one, 0) == self._groups.get(other, 0)


class DomainReach(Reach):
    """Reach of one node under a `Partition`.

    Parameters
    ----------
    partition : Partition
        Shared by all nodes of a fleet.
    domain : int
        The node's own.
    """

    __slots__ = ("_domain", "_partition")

    def __init__(self, partition: Partition, domain: int):
        self._partition = partition
        self._domain = domain

    def allows(self, host: str, port: int) -> bool:
        """Return whether the node reaches `host`."""
        return self._partition.connects(self._domain, domain_of(host))
