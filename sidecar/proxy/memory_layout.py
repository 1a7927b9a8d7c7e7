"""Divides the memory limit of the process: the program, its connections, the endpoint list, and data.

Each connection has a least share of memory for data that it may always use.  What all connections use beyond
their shares comes from one pool.  Where the shares of all connections that the descriptors allow do not fit,
fewer connections are kept open.
"""

from __future__ import annotations

import os
from dataclasses import dataclass
from pathlib import Path

from sidecar.proxy.request_ids import MAX_REMEMBERED_IDS, REMEMBERED_ID_BYTES

KIB = 1024
MIB = 1024 * KIB
DEFAULT_PROGRAM_BYTES = 20 * MIB  # resident before there are any connections, where it can't be read
LEAST_SHARE_BYTES = KIB  # of data in each direction, for each client connection; most messages fit
# How much memory a byte of buffered data takes at most: buffers grow in advance, shrink only by half, and
# leave gaps in the heap.
BUFFER_OVERHEAD = 2.0

_CLIENT_CONNECTION_BYTES = 3584
_SERVER_CONNECTION_BYTES = 3584
_REQUEST_BYTES = 5 * KIB  # of the balancer's and the proxy's records of a request in flight
# A client connection, its request in flight, the connection to the server, and the shares of both.
CONNECTION_BYTES = (
    _CLIENT_CONNECTION_BYTES
    + _SERVER_CONNECTION_BYTES
    + _REQUEST_BYTES
    + int(2 * LEAST_SHARE_BYTES * BUFFER_OVERHEAD)
)
SERVER_BYTES = 1792  # of an entry of the endpoint list, with what is known of the server
# What one step of the event loop needs for a moment: copies of one message, the objects of one parsed head,
# and the closed connections that have not been collected yet.
WORKING_BYTES = 2 * MIB
REGISTRY_RESERVE_BYTES = MIB  # beyond the pool, so that peers can't keep an endpoint list out
_MATCH_FRACTION = 8  # of the memory for connections and data, which the match of one line may take
_MIN_MATCH_BYTES = 256 * KIB
_MAX_MATCH_BYTES = 12 * MIB
_MIN_POOL_BYTES = MIB
_MIN_CONNECTIONS = 16
_STATM_RESIDENT_FIELD = 1


@dataclass(frozen=True, slots=True)
class MemoryLayout:
    """How the memory is divided.

    Attributes:
        max_connections: The largest number of client connections, and of connections to servers.
        pool_bytes: The data that all connections may buffer beyond their shares, in bytes.
        max_match_bytes: How much memory it may take to match a line of a message, in bytes.
    """

    max_connections: int
    pool_bytes: int
    max_match_bytes: int

    @classmethod
    def divide(
        cls, memory_mb: float, program_bytes: int, max_connections: int, server_count: int
    ) -> MemoryLayout:
        """Divide the memory.

        Args:
            memory_mb: The limit on the memory of the process, in MiB.
            program_bytes: What the process needs without connections and without endpoint list.
            max_connections: The number of client connections that the descriptors allow.
            server_count: The number of servers on the endpoint list.
        """
        rest = int(memory_mb * MIB) - program_bytes - WORKING_BYTES - server_count * SERVER_BYTES
        rest -= MAX_REMEMBERED_IDS * REMEMBERED_ID_BYTES
        match_bytes = min(max(rest // _MATCH_FRACTION, _MIN_MATCH_BYTES), _MAX_MATCH_BYTES)
        rest -= match_bytes + REGISTRY_RESERVE_BYTES
        fitting = max((rest - _MIN_POOL_BYTES) // CONNECTION_BYTES, _MIN_CONNECTIONS)
        connections = min(max_connections, fitting)
        pool_memory = max(rest - connections * CONNECTION_BYTES, _MIN_POOL_BYTES)
        return cls(connections, int(pool_memory / BUFFER_OVERHEAD), match_bytes)


def resident_bytes() -> int:
    """Return the resident memory of this process, files included; 0 if the system does not tell it."""
    try:
        fields = Path("/proc/self/statm").read_text(encoding="ascii").split()
        return int(fields[_STATM_RESIDENT_FIELD]) * os.sysconf("SC_PAGE_SIZE")
    except (OSError, ValueError, IndexError):
        return 0
