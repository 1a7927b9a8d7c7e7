"""Keeps the data of all connections within a memory budget.

While the budget is exceeded, connections are read in small pieces, and a connection whose message is longer
than that is not read on.  A request that has been incomplete for too long is rejected then, and its memory is
free for others.  Rejecting requests at once would serve nobody: clients that come back at once would use up
the CPU.
"""

from __future__ import annotations

import asyncio
from collections.abc import Hashable
from typing import Protocol

from sidecar.proxy.buffer_budget import PRESSURE_READ_BYTES, BufferBudget
from sidecar.proxy.connection_table import ConnectionTable
from sidecar.proxy.pause_reason import PauseReason

# How long a request may be incomplete under pressure: less than the half second that an answer may be late.
_MAX_INCOMPLETE_S = 0.35
_CHECK_INTERVAL_S = 0.05


class BufferingConnection(Hashable, Protocol):
    """A connection to a client or a server, with a message that may be incomplete."""

    @property
    def buffered_bytes(self) -> int:
        """The memory that its data takes."""

    def is_incomplete(self) -> bool:
        """Return whether a part of a message has been received, and more is expected."""

    def pause_reading(self, reason: PauseReason) -> None:
        """Stop reading."""

    def resume_reading(self, reason: PauseReason) -> None:
        """Read on, unless there is another reason not to."""


class MemoryPressure:
    """Pauses incomplete messages, and rejects incomplete requests, while the budget is exceeded."""

    def __init__(self, budget: BufferBudget, table: ConnectionTable) -> None:
        """Create the guard of a budget.

        Args:
            budget: The memory that the data of all connections may take.
            table: The connections of clients.
        """
        self._budget = budget
        self._table = table
        self._paused: dict[BufferingConnection, None] = {}  # longest first
        self._is_check_scheduled = False

    def exists(self) -> bool:
        """Return whether the budget is exceeded."""
        return self._budget.is_exceeded()

    def buffer_changed(self, connection: BufferingConnection) -> None:
        """Record how much a connection buffers, and stop reading it if that is too much."""
        self._budget.record(connection, connection.buffered_bytes)
        if not self._budget.is_exceeded():
            return
        if connection.is_incomplete() and self._budget.bytes_of(connection) >= PRESSURE_READ_BYTES:
            connection.pause_reading(PauseReason.MEMORY)
            self._paused.setdefault(connection)
        self._schedule_check()

    def release(self, connection: BufferingConnection) -> None:
        """Forget a connection that has been closed, or whose message is complete."""
        self._budget.record(connection, 0)
        self._paused.pop(connection, None)

    def _schedule_check(self) -> None:
        if not self._is_check_scheduled:
            self._is_check_scheduled = True
            asyncio.get_running_loop().call_later(_CHECK_INTERVAL_S, self._check)

    def _check(self) -> None:
        self._is_check_scheduled = False
        self._reject_longest_incomplete()
        if self._budget.is_exceeded():
            self._schedule_check()
        else:
            self._resume_paused()

    def _reject_longest_incomplete(self) -> None:
        latest = asyncio.get_running_loop().time() - _MAX_INCOMPLETE_S
        for connection in self._table.incomplete_since(latest):
            if not self._budget.is_exceeded():
                return
            if self._budget.bytes_of(connection) >= PRESSURE_READ_BYTES:
                self._paused.pop(connection, None)
                connection.reject_incomplete()
                self._budget.record(connection, connection.buffered_bytes)

    def _resume_paused(self) -> None:
        """Read on; a connection that exceeds the budget again is paused again."""
        paused, self._paused = self._paused, {}
        for connection in paused:
            connection.resume_reading(PauseReason.MEMORY)
