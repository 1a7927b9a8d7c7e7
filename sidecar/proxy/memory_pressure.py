"""Keeps the data of all connections within a memory budget: decides before each read how much may be read.

A connection whose message is incomplete and that may not read on waits until others free memory.  A request
that has been incomplete for too long while connections wait is rejected.  Rejecting requests at once would
serve nobody: clients that come back at once would use up the CPU.
"""

from __future__ import annotations

import asyncio
from collections.abc import Hashable
from typing import Protocol

from sidecar.proxy.buffer_budget import BufferBudget, DataPurpose
from sidecar.proxy.connection_table import ConnectionTable
from sidecar.proxy.memory_layout import BUFFER_OVERHEAD, LEAST_SHARE_BYTES, REGISTRY_RESERVE_BYTES
from sidecar.proxy.pause_reason import PauseReason
from sidecar.proxy.shortage_log import ShortageLog
from sidecar.proxy.sockets import READ_BUFFER_BYTES
from sidecar.proxy.syntax_check import DEFAULT_MAX_MATCH_BYTES

# How long a request may be incomplete under pressure: less than the half second that an answer may be late.
_MAX_INCOMPLETE_S = 0.35
_CHECK_INTERVAL_S = 0.05
_REGISTRY_COPIES = 3  # of a response while it is decoded: as received, as a whole, and as text
_RESUME_BYTES = 4 * 1024  # free for each connection that is read on; most of the messages that wait then fit


class BufferingConnection(Hashable, Protocol):
    """A connection to a client, a server or the registry, with a message that may be incomplete."""

    @property
    def purpose(self) -> DataPurpose:
        """What its data is buffered for."""

    @property
    def buffered_bytes(self) -> int:
        """The size of its data."""

    def is_incomplete(self) -> bool:
        """Return whether a part of a message has been received, and more is expected."""

    def pause_reading(self, reason: PauseReason) -> None:
        """Stop reading."""

    def resume_reading(self, reason: PauseReason) -> None:
        """Read on, unless there is another reason not to."""


class MemoryPressure:
    """Limits what connections read, and rejects incomplete requests while others wait for memory.

    Attributes:
        max_match_bytes: How much memory it may take to match a line of a message, in bytes.
    """

    def __init__(
        self, budget: BufferBudget, table: ConnectionTable, max_match_bytes: int = DEFAULT_MAX_MATCH_BYTES
    ) -> None:
        """Create the guard of a budget.

        Args:
            budget: The memory that the data of all connections may take.
            table: The connections of clients.
            max_match_bytes: How much memory it may take to match a line of a message, in bytes.
        """
        self.max_match_bytes = max_match_bytes
        self._budget = budget
        self._table = table
        # The connections that are not read for lack of memory, the longest waiting first.
        self._waiting: dict[DataPurpose, dict[BufferingConnection, None]] = {each: {} for each in DataPurpose}
        self._is_check_scheduled = False
        self._log = ShortageLog(budget)

    def readable_bytes(self, connection: BufferingConnection) -> int:
        """Return how many bytes a connection may read now."""
        if self._budget.has_free(READ_BUFFER_BYTES):
            return READ_BUFFER_BYTES
        free_bytes = self._budget.free_bytes(connection.purpose)
        return free_bytes + max(LEAST_SHARE_BYTES - connection.buffered_bytes, 0)

    def has_room(self, byte_count: int) -> bool:
        """Return whether this number of bytes may be buffered for a request that is about to be forwarded."""
        return self._budget.free_bytes(DataPurpose.RESPONSE) >= byte_count

    @property
    def max_registry_response_bytes(self) -> int:
        """The largest response of the registry that fits while it is received and decoded."""
        pool_memory = int(self._budget.pool_bytes * BUFFER_OVERHEAD)
        return (pool_memory + REGISTRY_RESERVE_BYTES) // _REGISTRY_COPIES

    def exists(self) -> bool:
        """Return whether connections wait for memory."""
        return any(self._waiting.values())

    def buffer_changed(self, connection: BufferingConnection) -> None:
        """Record how much a connection buffers, and stop reading it if it may not read any more."""
        self._budget.record(connection, connection.buffered_bytes)
        waiting = self._waiting[connection.purpose]
        if connection.is_incomplete() and not self.readable_bytes(connection):
            connection.pause_reading(PauseReason.MEMORY)
            waiting.setdefault(connection)
            self._schedule_check()
            return
        if connection in waiting:
            del waiting[connection]
            connection.resume_reading(PauseReason.MEMORY)
        self._resume_waiting()

    def release(self, connection: BufferingConnection) -> None:
        """Forget a connection that has been closed, or whose message is complete."""
        self._budget.record(connection, 0)
        self._waiting[connection.purpose].pop(connection, None)
        self._resume_waiting()

    def set_pool(self, pool_bytes: int) -> None:
        """Change the size of the pool."""
        self._budget.set_pool(pool_bytes)
        self._resume_waiting()

    def _resume_waiting(self) -> None:
        """Read on where there is memory; a connection that uses it up is paused again."""
        if not self._is_check_scheduled:
            return  # no connection waits
        for purpose, waiting in self._waiting.items():
            resumable = self._budget.free_bytes(purpose) // _RESUME_BYTES if waiting else 0
            for connection in list(waiting)[:resumable]:
                del waiting[connection]
                connection.resume_reading(PauseReason.MEMORY)

    def _schedule_check(self) -> None:
        if not self._is_check_scheduled:
            self._is_check_scheduled = True
            asyncio.get_running_loop().call_later(_CHECK_INTERVAL_S, self._check)
            self._log.begin()

    def _check(self) -> None:
        self._is_check_scheduled = False
        self._reject_longest_incomplete()
        if self.exists():
            self._schedule_check()
        else:
            self._log.end()

    def _reject_longest_incomplete(self) -> None:
        latest = asyncio.get_running_loop().time() - _MAX_INCOMPLETE_S
        for connection in self._table.incomplete_since(latest):
            if not self.exists():
                return
            if self._budget.pooled_bytes_of(connection):
                connection.reject_incomplete()
                self._log.rejected_requests += 1
                self._budget.record(connection, connection.buffered_bytes)
                self._waiting[connection.purpose].pop(connection, None)
                self._resume_waiting()
