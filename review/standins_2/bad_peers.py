"""Peers that send no proper request: each sends much at once, waits for the close, and comes back.

Run as `python -m standins_2.bad_peers HOST:PORT PEERS BYTES SECONDS`, in a process of its own, so that the
clients beside it are not slowed down.  It ends by itself and prints what the peers met.
"""

from __future__ import annotations

import asyncio
import contextlib
import os
import socket
import sys
import time
from pathlib import Path

_OWED_WITHIN_S = 6.0  # what a peer with 60 MB to send is owed
_REVIEW = Path(__file__).resolve().parent.parent


class BadPeers:
    """A number of peers that act at once.

    Attributes:
        waits_s: How long each connection of a peer lasted, in seconds.
    """

    def __init__(self, address: str, byte_count: int, duration_s: float) -> None:
        """Prepare peers that each send a number of bytes to an address, for some seconds."""
        host, _, port = address.rpartition(":")
        self.waits_s: list[float] = []
        self._address = (host, int(port))
        self._data = memoryview(b"x" * byte_count)
        self._until = time.monotonic() + duration_s

    async def run(self, peers: int) -> None:
        """Let this number of peers act until the time is over."""
        await asyncio.gather(*(self._peer() for _ in range(peers)))

    async def _peer(self) -> None:
        while time.monotonic() < self._until:
            started_at = time.monotonic()
            with socket.socket() as sock:
                sock.setblocking(False)
                with contextlib.suppress(OSError, TimeoutError):
                    await asyncio.wait_for(self._send_and_wait(sock), _OWED_WITHIN_S)
            self.waits_s.append(time.monotonic() - started_at)
            await asyncio.sleep(0)

    async def _send_and_wait(self, sock: socket.socket) -> None:
        loop = asyncio.get_running_loop()
        await loop.sock_connect(sock, self._address)
        await loop.sock_sendall(sock, self._data)
        while await loop.sock_recv(sock, 65_536):
            pass


async def start_bad_peers(
    address: str, peers: int, byte_count: int, duration_s: float
) -> asyncio.subprocess.Process:
    """Start peers in a process of their own; it ends by itself after the duration."""
    values = (address, str(peers), str(byte_count), str(duration_s))
    return await asyncio.create_subprocess_exec(
        sys.executable, "-m", "standins_2.bad_peers", *values, cwd=_REVIEW,
        stdin=asyncio.subprocess.DEVNULL, stdout=asyncio.subprocess.PIPE,
        env=os.environ | {"PYTHONDONTWRITEBYTECODE": "1"},
    )  # fmt: skip


def main(arguments: list[str]) -> None:
    """Run the peers that the command line describes."""
    address, peers, byte_count, duration_s = arguments
    bad_peers = BadPeers(address, int(byte_count), float(duration_s))
    asyncio.run(bad_peers.run(int(peers)))
    longest_s = max(bad_peers.waits_s, default=0.0)
    print(f"{len(bad_peers.waits_s)} connections of bad peers, the longest {longest_s:.1f} s")


if __name__ == "__main__":
    main(sys.argv[1:])
