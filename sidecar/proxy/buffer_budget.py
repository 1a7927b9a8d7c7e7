"""Bounds the data that all connections buffer: how much a connection may read is known before it reads."""

from __future__ import annotations

from collections.abc import Hashable
from enum import Enum, auto

from sidecar.proxy.memory_layout import LEAST_SHARE_BYTES, REGISTRY_RESERVE_BYTES

# Incomplete requests leave the rest of the pool to the responses that requests in flight wait for.
_REQUEST_POOL_FRACTION = 0.75


class DataPurpose(Enum):
    """What data is buffered for, which decides how full the pool may be when it is read.

    Attributes:
        REQUEST: A client's request.
        RESPONSE: A server's response.
        REGISTRY: An endpoint list.
    """

    REQUEST = auto()
    RESPONSE = auto()
    REGISTRY = auto()


class BufferBudget:
    """Counts the bytes that each connection buffers beyond its least share, against a common pool.

    Attributes:
        pool_bytes: The size of the pool.
        used_bytes: How much of it is used.
    """

    def __init__(self, pool_bytes: int) -> None:
        self.used_bytes = 0
        self.set_pool(pool_bytes)
        self._by_holder: dict[Hashable, int] = {}  # bytes beyond the least share

    def set_pool(self, pool_bytes: int) -> None:
        """Change the size of the pool."""
        self.pool_bytes = pool_bytes
        self._least_limit = self.limit(DataPurpose.REQUEST)

    def has_free(self, byte_count: int) -> bool:
        """Return whether this number of bytes may be taken from the pool for any purpose."""
        return self.used_bytes + byte_count <= self._least_limit

    def record(self, holder: Hashable, byte_count: int) -> None:
        """Set how many bytes a connection buffers."""
        beyond_share = byte_count - LEAST_SHARE_BYTES
        if beyond_share > 0:
            self.used_bytes += beyond_share - self._by_holder.get(holder, 0)
            self._by_holder[holder] = beyond_share
        elif holder in self._by_holder:
            self.used_bytes -= self._by_holder.pop(holder)

    def pooled_bytes_of(self, holder: Hashable) -> int:
        """Return how much of the pool a connection uses."""
        return self._by_holder.get(holder, 0)

    def free_bytes(self, purpose: DataPurpose) -> int:
        """Return how much more data of this purpose may be taken from the pool."""
        return max(self.limit(purpose) - self.used_bytes, 0)

    def limit(self, purpose: DataPurpose) -> int:
        """Return how full the pool may be with data of this purpose."""
        if purpose is DataPurpose.REQUEST:
            return int(self.pool_bytes * _REQUEST_POOL_FRACTION)
        if purpose is DataPurpose.RESPONSE:
            return self.pool_bytes
        return self.pool_bytes + REGISTRY_RESERVE_BYTES
