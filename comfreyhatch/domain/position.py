"""Position in the history of the store."""

from msgspec import Struct


class Position(Struct, frozen=True, order=True):
    """A revision and the generation of the store to which it belongs.

    Positions are ordered by generation first: the store begins a new generation when it comes back
    from an older copy, and then gives out revisions again.

    Attributes:
        generation: Generation of the store; 0 if the store does not name it.
        revision: Revision within the generation; 0 is before the first one.
    """

    generation: int = 0
    revision: int = 0
