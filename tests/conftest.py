"""Fixtures that several test files share."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import pytest
from known_red import mark_known_red
from virtual_time import RegistryStandIn

from sidecar.proxy import registry_call, server_connection
from sidecar.proxy.addresses import Address
from sidecar.proxy.server_connection import ServerConnection


def pytest_collection_modifyitems(items: list[pytest.Item]) -> None:
    """Mark the tests that KNOWN-RED.txt lists."""
    mark_known_red(items)


@pytest.fixture
def make_registry(monkeypatch: pytest.MonkeyPatch) -> Callable[[], RegistryStandIn]:
    """Return a factory of registry stand-ins; connections to a partitioned one are never established."""
    registries: list[RegistryStandIn] = []
    connect = server_connection.connect

    async def dial(address: Address, max_body_bytes: int) -> ServerConnection:
        if any(each.address == address and each.fault == "partitioned" for each in registries):
            await asyncio.Event().wait()
        return await connect(address, max_body_bytes)

    def make() -> RegistryStandIn:
        registries.append(RegistryStandIn())
        return registries[-1]

    monkeypatch.setattr(registry_call, "connect", dial)
    return make
