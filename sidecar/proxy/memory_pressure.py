"""Keeps the data of all client connections within a memory budget.

While the budget is exceeded, connections are read in small pieces, and a connection whose request is longer
than that is not read on.  A request that has been incomplete for too long is rejected then, and its memory is
free for others.  Rejecting requests at once would serve nobody: clients that come back at once would use up
the CPU.
"""

from __future__ import annotations

import asyncio

from sidecar.proxy.buffer_budget import PRESSURE_READ_BYTES, BufferBudget
from sidecar.proxy.client_connection import ClientConnection
from sidecar.proxy.client_transport import PauseReason
from sidecar.proxy.connection_table import ConnectionTable

# How long a request may be incomplete under pressure: less than the half second that an answer may be late.
_MAX_INCOMPLETE_S = 0.35
_CHECK_INTERVAL_S = 0.05


class MemoryPressure:
    """Pauses and rejects incomplete requests while the budget is exceeded."""

    def __init__(self, budget: BufferBudget, table: ConnectionTable) -> None:
        """Create the guard of the connections in a table."""
        self._budget = budget
        self._table = table
        self._paused: dict[ClientConnection, None] = {}  # longest first
        self._is_check_scheduled = False

    def exists(self) -> bool:
        """Return whether the budget is exceeded."""
        return self._budget.is_exceeded()

    def buffer_changed(self, connection: ClientConnection) -> None:
        """Record how much a connection buffers, and stop reading it if that is too much."""
        self._budget.record(connection, connection.buffered_bytes)
        if not self._budget.is_exceeded():
            return
        if connection.is_incomplete() and self._budget.bytes_of(connection) >= PRESSURE_READ_BYTES:
            connection.pause_reading(PauseReason.MEMORY)
            self._paused.setdefault(connection)
        self._schedule_check()

    def connection_closed(self, connection: ClientConnection) -> None:
        """Forget a connection that has been closed."""
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
