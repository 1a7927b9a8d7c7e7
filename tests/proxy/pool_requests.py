"""Requests that tests send through a connection pool."""

from __future__ import annotations

import asyncio

from proxy_harness import TIMEOUT_S

from sidecar.balancer.events import Outcome
from sidecar.proxy.connection_pool import ConnectionPool
from sidecar.proxy.exchange import EncodedRequest
from sidecar.proxy.http_messages import Response, encode_message


def encode_post(body: bytes = b"") -> bytes:
    """Encode a POST with a body."""
    return encode_message(b"POST / HTTP/1.1", [(b"Host", b"x"), (b"Content-Length", b"%d" % len(body))], body)


def post_request(body: bytes = b"") -> EncodedRequest:
    """Make a POST with a body, ready to be sent."""
    return EncodedRequest(encode_post(body))


async def outcome_of(pool: ConnectionPool, timeout_s: float = TIMEOUT_S, body: bytes = b"") -> Outcome:
    """Send a POST to server s through a pool; return the outcome of the attempt."""
    loop = asyncio.get_running_loop()
    first_outcome: asyncio.Future[Outcome] = loop.create_future()

    def on_outcome(outcome: Outcome, _: Response | None) -> None:
        first_outcome.set_result(outcome)  # raises an error at a second outcome

    pool.send("s", post_request(body), loop.time() + timeout_s, on_outcome)
    return await asyncio.wait_for(first_outcome, TIMEOUT_S)
