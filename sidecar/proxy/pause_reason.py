"""Why a connection is not read for now."""

from __future__ import annotations

from enum import Enum, auto


class PauseReason(Enum):
    """Why a connection is not read, apart from data that waits to be parsed.

    Attributes:
        MEMORY: The data of all connections takes too much memory.
        BACKLOG: The connection has complete requests that wait for their turn.
    """

    MEMORY = auto()
    BACKLOG = auto()
