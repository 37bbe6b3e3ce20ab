"""Revisions of the store, in an order that survives its restores.

A store that is restored from a copy continues at the revision of the copy and gives
out later revisions again. It counts its restores in an era, which never decreases.
A revision is therefore kept as one integer with the era in its high bits, like the
term in front of an index of a replicated log.
"""

from mangowell_core.mesh.model import Departure, Endpoint

# Bits of the store's own revision number. JSON carries integers of 53 bits exactly.
NUMBER_BITS = 53
MAX_NUMBER = (1 << NUMBER_BITS) - 1
# Era and number together take 63 bits, as much as a notice carries.
MAX_ERA = (1 << 63 - NUMBER_BITS) - 1


def make_revision(era: int, number: int) -> int:
    """Return the revision for a number that the store gave out in an era.

    Raises
    ------
    ValueError
        If the era or the number is out of range.
    """
    if not (0 <= era <= MAX_ERA and 0 <= number <= MAX_NUMBER):
        raise ValueError(f"revision {number} of era {era} is out of range")
    return era << NUMBER_BITS | number


def get_era(revision: int) -> int:
    """Return the era of a revision."""
    return revision >> NUMBER_BITS


def get_number(revision: int) -> int:
    """Return the number of a revision in the store."""
    return revision & MAX_NUMBER


def is_later_write(new: Endpoint, known: Endpoint, restored_through: int) -> bool:
    """Return whether an entry was written later than a known one, or is the same.

    An entry that is read soon after a restore may come from the copy, and then its
    revision does not tell. Such entries are compared by the worker's own order:
    start, write and, as a worker does not stop draining, the state.

    Parameters
    ----------
    new, known : Endpoint
        Two entries under one id.
    restored_through : int
        Highest revision at which an entry may come from the copy of a restored
        store; 0 for none.
    """
    if get_era(new.revision) == get_era(known.revision):
        return new.revision >= known.revision
    if new.revision < known.revision:
        return False
    if new.revision > restored_through:
        return True
    return _get_write_order(new) >= _get_write_order(known)


def is_copy_of_departed(
    new: Endpoint, departed: Departure, restored_through: int
) -> bool:
    """Return whether an entry is an earlier one of a worker that was removed.

    Parameters
    ----------
    new : Endpoint
        Entry that is read.
    departed : Departure
        Its last known write and its removal.
    restored_through : int
        As in `is_later_write`.
    """
    if get_era(new.revision) == get_era(departed.revision):
        return False
    if new.revision > restored_through:
        return False
    if _get_write_order(new) <= _get_write_order(departed):
        return True
    # The copy may have been taken between a last write that was never read here and
    # the removal. A worker that has started since the removal has another start time.
    return (
        new.born_ms == departed.born_ms
        and get_era(departed.removed_at) == get_era(departed.revision)
        and get_number(departed.revision) < get_number(new.revision)
        and get_number(new.revision) <= get_number(departed.removed_at)
    )


def _get_write_order(endpoint: Endpoint | Departure) -> tuple[int, int, bool]:
    return endpoint.born_ms, endpoint.seq, endpoint.draining
