"""Simulated network partitions between failure domains on loopback addresses.

Failure domain n has the addresses 127.0.<n>.<i>; the platform has 127.0.0.<i>.
A node's `AddressFilter` derives the domain from the address, so that a domain can
be cut off without knowledge of its ports.
"""

from mangowell_node.reach import AddressFilter

PLATFORM_DOMAIN = 0


def address_of(domain: int, index: int) -> str:
    """Return the loopback address of member `index` of a domain.

    Parameters
    ----------
    domain : int
        Number of the failure domain, or 0 for the platform; 0 to 255.
    index : int
        Number of the member within the domain; 1 to 254.

    Raises
    ------
    ValueError
        If `domain` or `index` is out of range.
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
    """State of the simulated network between failure domains and the platform.

    Domains of the same group can reach each other; the platform is in group 0.
    """

    __slots__ = ("_groups",)

    def __init__(self):
        self._groups: dict[int, int] = {}

    def cut(self, *domains: int) -> None:
        """Cut `domains` off from the platform and all other domains.

        Domains that are cut off in one call can still reach each other.
        """
        group = max(self._groups.values(), default=0) + 1
        for domain in domains:
            self._groups[domain] = group

    def join(self, *domains: int) -> None:
        """Reconnect `domains`; without arguments, reconnect all domains."""
        for domain in domains or tuple(self._groups):
            self._groups.pop(domain, None)

    def are_connected(self, one: int, other: int) -> bool:
        """Return whether two domains can reach each other."""
        return self._groups.get(one, 0) == self._groups.get(other, 0)


class DomainReach(AddressFilter):
    """Limits the hosts that a node can reach to those that a `Partition` connects.

    Parameters
    ----------
    partition : Partition
        Partition shared by all nodes of a fleet.
    domain : int
        Number of the local node's failure domain.
    """

    __slots__ = ("_domain", "_partition")

    def __init__(self, partition: Partition, domain: int):
        self._partition = partition
        self._domain = domain

    def is_allowed(self, host: str, port: int) -> bool:
        """Return whether the local node can reach `host`."""
        return self._partition.are_connected(self._domain, domain_of(host))
