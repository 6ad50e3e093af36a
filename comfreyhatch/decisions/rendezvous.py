"""Rendezvous hashing: an order of names that all daemons compute alike."""

from collections.abc import Iterable

from xxhash import xxh64_intdigest


def rendezvous_order(key: str, names: Iterable[str]) -> list[str]:
    """Return names in their order for a key; a change of the set keeps the rest's order."""
    return sorted(names, key=lambda name: (xxh64_intdigest(f"{key}\0{name}".encode()), name))


def tree_children(order: list[str], name: str, fan_out: int) -> list[str]:
    """Return the children of a name in the tree whose levels follow an order.

    Args:
        order: Names, the root first.
        name: Whose children are wanted; one that is not in the order has none.
        fan_out: Children of each name.
    """
    if name not in order:
        return []
    first = order.index(name) * fan_out + 1
    return order[first : first + fan_out]
