"""The platform's object store, and an in-memory implementation."""

from typing import Protocol

from comfreyhatch.ports.table import WriteOutcome


class ObjectStore(Protocol):
    """Store of immutable objects by key."""

    async def put_if_absent(self, key: str, value: bytes) -> WriteOutcome:
        """Store an object unless the key is present.

        Returns:
            REFUSED if the key is present; UNKNOWN if the answer was lost, so that the object may
            be stored.

        Raises:
            PlatformError: If the object was certainly not stored.
        """
        ...

    async def get(self, key: str) -> bytes | None:
        """Return an object, or None if absent.

        Raises:
            PlatformError: If the store does not answer.
        """
        ...

    async def list_keys(self, prefix: str, after: str = "", limit: int = 1000) -> list[str]:
        """Return up to `limit` keys with the prefix that sort after `after`, in order.

        Raises:
            PlatformError: If the store does not answer.
        """
        ...


class MemoryObjectStore:
    """In-memory object store."""

    def __init__(self) -> None:
        self.value_by_key: dict[str, bytes] = {}

    async def put_if_absent(self, key: str, value: bytes) -> WriteOutcome:
        """Store an object unless the key is present."""
        if key in self.value_by_key:
            return WriteOutcome.REFUSED
        self.value_by_key[key] = value
        return WriteOutcome.DONE

    async def get(self, key: str) -> bytes | None:
        """Return an object, or None if absent."""
        return self.value_by_key.get(key)

    async def list_keys(self, prefix: str, after: str = "", limit: int = 1000) -> list[str]:
        """Return up to `limit` keys with the prefix that sort after `after`, in order."""
        return sorted(k for k in self.value_by_key if k.startswith(prefix) and k > after)[:limit]
