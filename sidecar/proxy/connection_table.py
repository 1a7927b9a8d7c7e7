"""The table of client connections by state: it enforces their time limits and their number."""

from __future__ import annotations

import asyncio
import math
import socket
from itertools import islice

from sidecar.proxy.client_connection import ClientConnection
from sidecar.proxy.connection_state import STATE_TIME_LIMITS_S, ConnectionState
from sidecar.proxy.overload import OverloadDetector

_SWEEP_INTERVAL_S = 0.1
# The first request of a younger connection may be in transit, and the last response may not have been read.
_NEW_CONNECTION_AGE_S = 0.1
_MIN_EVICTION_AGE_S = 0.02  # of a connection that has not sent anything, where others wait to be accepted
_MAX_IDLE_FRACTION = 3  # one of so many connections may be idle
_MAX_EVICTION_CANDIDATES = 4  # connections of one state that are examined, or rejected, for one eviction


class ConnectionTable:
    """Tracks the connections in each state, at most `capacity` of them.

    Attributes:
        capacity: The largest number of connections, including those still being set up; may be changed at any
            time, and open connections stay open.
    """

    def __init__(self, capacity: int) -> None:
        self.capacity = capacity
        # The connections in each state, with the event loop time at which they entered it, oldest first.
        self._by_state: dict[ConnectionState, dict[ClientConnection, float]] = {
            state: {} for state in ConnectionState
        }
        self._pending: set[socket.socket] = set()  # accepted sockets that have no transport yet
        self._overload = OverloadDetector(capacity)
        self._silent: set[ClientConnection] = set()  # have not sent a byte although they had time to
        self._sweep_due = 0.0

    @property
    def connections(self) -> list[ClientConnection]:
        """The connections in all states."""
        return [connection for connections in self._by_state.values() for connection in connections]

    def count(self) -> int:
        """Return the number of connections, including those still being set up."""
        return sum(map(len, self._by_state.values())) + len(self._pending)

    def is_full(self) -> bool:
        """Return whether the capacity is used up."""
        return self.count() >= self.capacity

    # -- Entries --------------------------------------------------------------------------------------

    def reserve(self, sock: socket.socket) -> None:
        """Reserve capacity for an accepted socket that has no connection yet."""
        self._pending.add(sock)

    def release(self, sock: socket.socket) -> bool:
        """Release the capacity reserved for an accepted socket; return whether it was still reserved."""
        was_pending = sock in self._pending
        self._pending.discard(sock)
        return was_pending

    def add(self, connection: ClientConnection) -> None:
        """Start tracking a connection in its current state."""
        self._by_state[connection.state][connection] = asyncio.get_running_loop().time()

    def remove(self, connection: ClientConnection) -> None:
        """Stop tracking a connection, if it is tracked."""
        self._by_state[connection.state].pop(connection, None)
        self._silent.discard(connection)

    def change_state(self, connection: ClientConnection, state: ConnectionState) -> None:
        """Change the state of a connection and start its time limit; no effect if it is in that state."""
        if connection.state is state or connection not in self._by_state[connection.state]:
            return
        self.remove(connection)
        connection.state = state
        self.add(connection)
        if state is ConnectionState.IDLE:
            self._limit_idle()

    def _limit_idle(self) -> None:
        """Close the oldest idle connection if there are many; clients may never use theirs again."""
        max_idle = max(self.capacity // _MAX_IDLE_FRACTION, 1)
        if len(self._by_state[ConnectionState.IDLE]) <= max_idle:
            return
        oldest = self._find_without_unread_data(ConnectionState.IDLE)
        if oldest is not None and oldest.is_idle():
            self.remove(oldest)
            oldest.close()

    # -- Time limits ----------------------------------------------------------------------------------

    def schedule_sweep(self) -> None:
        """Schedule the next sweep, which enforces the time limits and schedules the one after it."""
        self._sweep_due = asyncio.get_running_loop().time() + _SWEEP_INTERVAL_S
        asyncio.get_running_loop().call_at(self._sweep_due, self._sweep)

    def _sweep(self) -> None:
        for state, limit_s in STATE_TIME_LIMITS_S.items():
            self._enforce_time_limit(state, limit_s)
        for connection in list(self._by_state[ConnectionState.IN_FLIGHT]):
            connection.check_unread()
        self._overload.record_lag(asyncio.get_running_loop().time() - self._sweep_due)
        self._silent = self._find_silent() if self._overload.is_limiting() else set()
        self.schedule_sweep()

    def _enforce_time_limit(self, state: ConnectionState, limit_s: float) -> None:
        loop = asyncio.get_running_loop()
        for connection, since in list(self._by_state[state].items()):
            if since + limit_s > loop.time():
                return  # the following connections entered the state later
            connection.on_state_timeout()

    # -- Memory ---------------------------------------------------------------------------------------

    def incomplete_since(self, latest: float) -> list[ClientConnection]:
        """Return the connections whose request has been incomplete since a time, longest first.

        Args:
            latest: Event loop time by which the request had begun, or its connection was new.
        """
        reading = self._by_state[ConnectionState.READING].items()
        return [connection for connection, since in reading if since <= latest]

    # -- Capacity -------------------------------------------------------------------------------------

    def is_overloaded(self) -> bool:
        """Return whether the CPU cannot keep up with the connections that carry requests.

        Under overload, requests on new connections are rejected without a decision by the balancer, at a
        fraction of its cost, so that requests in flight are answered in time; otherwise all responses would
        be late.  Closing the new connections without a response is no alternative, as it would lose more than
        a few requests.  A drawback is that a short pause of the machine while many connections are open also
        causes some rejections.
        """
        inactive = len(self._by_state[ConnectionState.IDLE]) + len(self._by_state[ConnectionState.DELIVERING])
        return self._overload.is_overloaded(self.count() - inactive - len(self._silent))

    def evict_one(self) -> bool:
        """Abort a connection without a request in flight to free capacity; return whether there was one.

        Connections whose last response has been written are evicted first, then those that have not sent a
        complete request, the oldest first.  Incomplete requests that are not read on are rejected; their
        connections are evicted by later calls, if their clients do not close them before.  Idle connections
        are evicted only when no others are left that will be evicted soon.
        """
        chosen = self._choose_delivered() or self._choose_reading()
        if chosen is None and not self._reject_paused() and not self._is_eviction_due_soon():
            chosen = self._find_without_unread_data(ConnectionState.IDLE)
        if chosen is None:
            return False
        self.remove(chosen)
        chosen.abort()
        return True

    def _entered_before(self, age_s: float) -> float:
        """Return the event loop time that was so many seconds ago."""
        return asyncio.get_running_loop().time() - age_s

    def _choose_reading(self) -> ClientConnection | None:
        """Return a connection without a complete request, if any; a new one's request may be in transit."""
        return self._find_without_unread_data(
            ConnectionState.READING, self._entered_before(_MIN_EVICTION_AGE_S)
        )

    def _is_eviction_due_soon(self) -> bool:
        """Return whether a connection is too new to be evicted, or its last response was just written."""
        delivering = self._by_state[ConnectionState.DELIVERING]
        has_written = any(each.is_written() for each in islice(delivering, _MAX_EVICTION_CANDIDATES))
        return has_written or bool(self._by_state[ConnectionState.READING] or self._pending)

    def _choose_delivered(self) -> ClientConnection | None:
        """Return a connection whose last response has been written and probably read, if any.

        A client that goes on sending after its last response would keep its connection otherwise.
        """
        delivering = self._by_state[ConnectionState.DELIVERING]
        new_since = self._entered_before(_NEW_CONNECTION_AGE_S)
        for connection, since in islice(delivering.items(), _MAX_EVICTION_CANDIDATES):
            if connection.can_close_safely() or (since < new_since and connection.is_written()):
                return connection
        return None

    def _reject_paused(self) -> bool:
        """Reject the longest incomplete requests that are not read on; return whether there were any."""
        new_since = self._entered_before(_NEW_CONNECTION_AGE_S)
        reading = islice(self._by_state[ConnectionState.READING].items(), _MAX_EVICTION_CANDIDATES)
        chosen = [each for each, since in reading if since < new_since and each.is_reading_paused()]
        for connection in chosen:
            connection.on_state_timeout()
        return bool(chosen)

    def _find_without_unread_data(
        self, state: ConnectionState, entered_before: float = math.inf
    ) -> ClientConnection | None:
        """Return the connection that has been in a state for longest, or None if none qualifies.

        Only the few longest are examined, and only those that entered the state before the given event loop
        time qualify, without unread data and without a request that waits to be parsed.
        """
        for connection, since in islice(self._by_state[state].items(), _MAX_EVICTION_CANDIDATES):
            has_data = connection.is_reading_paused() or connection.has_unread_data()
            if since < entered_before and not has_data:
                return connection
        return None

    def _find_silent(self) -> set[ClientConnection]:
        """Return the connections that have not sent a byte although they had time to.

        The event loop reads sockets before it runs timers, so these have no unread data either.
        """
        new_since = self._entered_before(_NEW_CONNECTION_AGE_S)
        reading = self._by_state[ConnectionState.READING].items()
        return {
            connection
            for connection, since in reading
            if since < new_since and not connection.has_partial_request()
        }
