"""Fixtures that several test files share."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import pytest
from virtual_time import Service

from sidecar.proxy import discovery_client, server_connection
from sidecar.proxy.addresses import Address
from sidecar.proxy.server_connection import Connection


@pytest.fixture
def service(monkeypatch: pytest.MonkeyPatch) -> Callable[[], Service]:
    """Makes services; a dial begun while one is cut off never comes up."""
    made: list[Service] = []
    connect = server_connection.connect

    async def dial(address: Address, body_most: int) -> Connection:
        if any(each.address == address and each.fault == "cut off" for each in made):
            await asyncio.Event().wait()
        return await connect(address, body_most)

    def make() -> Service:
        made.append(Service())
        return made[-1]

    monkeypatch.setattr(discovery_client, "connect", dial)
    return make
