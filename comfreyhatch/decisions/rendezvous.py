"""Rendezvous hashing: an order of names on which all daemons agree without coordination."""

from collections.abc import Iterable

from xxhash import xxh64_intdigest


def rendezvous_order(key: str, names: Iterable[str]) -> list[str]:
    """Return names sorted by their hash with a key.

    Adding or removing a name does not change the order of the others.
    """
    return sorted(names, key=lambda name: (xxh64_intdigest(f"{key}\0{name}".encode()), name))


def tree_children(order: list[str], name: str, fan_out: int) -> list[str]:
    """Return the children of a name in the complete tree that an order fills level by level.

    Args:
        order: Names, the root first.
        name: Parent; without children if it is not in the order.
        fan_out: Most children of each name.
    """
    if name not in order:
        return []
    first = order.index(name) * fan_out + 1
    return order[first : first + fan_out]
