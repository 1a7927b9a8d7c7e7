"""The request ids that no further request may have, so that nothing that must not run twice does."""

from __future__ import annotations

import asyncio
from collections import OrderedDict

MAX_REMEMBERED_IDS = 8192  # beyond those that have to be remembered
REMEMBERED_ID_BYTES = 160  # memory for each of them


class RequestIds:
    """Ids of requests in progress, and of the latest ones that may have been executed.

    Of the latter only hashes of 64 bits are kept, so that long ids take no more memory than short ones.  If
    two ids ever had the same hash, the later one would be rejected.
    """

    def __init__(self) -> None:
        """Create an empty collection."""
        self._in_progress: set[str] = set()
        # The event loop time until which each id has to be remembered, by its hash, oldest first.
        self._executed: OrderedDict[int, float] = OrderedDict()

    def __contains__(self, request_id: object) -> bool:
        return request_id in self._in_progress or hash(request_id) in self._executed

    def __len__(self) -> int:
        return len(self._in_progress) + len(self._executed)

    def add(self, request_id: str) -> None:
        """Add the id of a request that is in progress from now on."""
        self._in_progress.add(request_id)

    def release(self, request_id: str) -> None:
        """Allow the id of a request that has ended, and that may run again, to be reused."""
        self._in_progress.discard(request_id)

    def release_executed(self, request_id: str, client_timeout_s: float) -> None:
        """Remember the id of a request that has ended and may have been executed.

        Args:
            request_id: The id.
            client_timeout_s: Seconds until its client has given up.  The id is remembered for as long at
                least, and then until there are many later ones.
        """
        self._in_progress.discard(request_id)
        loop = asyncio.get_running_loop()
        self._executed[hash(request_id)] = loop.time() + client_timeout_s
        loop.call_later(client_timeout_s, self._forget_oldest)

    def _forget_oldest(self) -> None:
        now = asyncio.get_running_loop().time()
        while len(self._executed) > MAX_REMEMBERED_IDS and next(iter(self._executed.values())) <= now:
            self._executed.popitem(last=False)
