"""Each request gets a response in time, despite exceptions, forgotten requests and a lack of servers."""

from __future__ import annotations

import ast
import asyncio
import contextlib
from pathlib import Path
from typing import Any, get_args

import pytest
from proxy_harness import (
    request,
    respond_ok,
    run_scenario,
    running_proxy,
    send_request,
)

import sidecar
from sidecar.balancer.actions import Action, RejectRequest
from sidecar.balancer.events import Event, RequestArrived


def test_request_without_servers_is_rejected_at_once_and_readiness_is_unaffected() -> None:
    async def scenario() -> None:
        async with running_proxy() as proxy:
            loop = asyncio.get_running_loop()
            began = loop.time()
            assert (await proxy.send_request(budget="30"))[0] == 503
            assert loop.time() - began < 15.0
            assert (await send_request(proxy.sidecar.frontend.address, request(path="/health/ready")))[
                0
            ] == 200

    run_scenario(scenario())


def test_rejection_has_a_retry_after_header() -> None:
    async def scenario() -> None:
        async with running_proxy(respond_ok) as proxy:
            # Simulates a defect: the method of this balancer only is replaced.
            proxy.sidecar._balancer.handle = lambda now, event: (  # type: ignore[method-assign]
                [RejectRequest(event.request, 250_000)] if isinstance(event, RequestArrived) else []
            )
            status, headers, _ = await proxy.send_request()
            assert status == 503
            assert float(headers["retry-after"]) == 0.25

    run_scenario(scenario())


# Guards against a defect that would end the process or leave a request without a response.
def test_exception_in_the_balancer_fails_only_its_request(monkeypatch: pytest.MonkeyPatch) -> None:
    async def scenario() -> None:
        async with running_proxy(respond_ok) as proxy:
            real_handle = proxy.sidecar._balancer.handle

            def faulty(now: int, event: Event) -> list[Action]:
                if isinstance(event, RequestArrived) and event.service_class == "pay":
                    raise ZeroDivisionError
                return real_handle(now, event)

            monkeypatch.setattr(proxy.sidecar._balancer, "handle", faulty)
            assert (await proxy.send_request(kind="pay", body=b"x"))[0] == 500
            assert (await proxy.send_request())[0] == 200
            assert not proxy.sidecar._active

    run_scenario(scenario())


def test_exception_in_carrying_out_an_action_fails_only_its_request(monkeypatch: pytest.MonkeyPatch) -> None:
    async def scenario() -> None:
        async with running_proxy(respond_ok) as proxy:
            monkeypatch.setattr(proxy.sidecar._pool, "send", None)
            assert (await proxy.send_request(kind="pay", body=b"x"))[0] == 500
            monkeypatch.undo()
            assert (await proxy.send_request())[0] == 200
            assert not proxy.sidecar._active

    run_scenario(scenario())


def test_request_that_the_balancer_forgets_fails_at_its_deadline() -> None:
    async def scenario() -> None:
        async with running_proxy(respond_ok) as proxy:
            # Simulates a defect: the method of this balancer only is replaced.
            proxy.sidecar._balancer.handle = lambda now, event: []  # type: ignore[method-assign]
            assert (await proxy.send_request(budget="0.2"))[0] == 500

    run_scenario(scenario())


def test_exception_in_the_request_handler_fails_only_its_request(monkeypatch: pytest.MonkeyPatch) -> None:
    async def scenario() -> None:
        async with running_proxy(respond_ok) as proxy:
            monkeypatch.setattr(proxy.sidecar.frontend.handler, "handle_request", None)
            assert (await proxy.send_request())[0] == 500
            monkeypatch.undo()
            assert (await proxy.send_request())[0] == 200

    run_scenario(scenario())


def names_used_by_the_balancer() -> set[str]:
    """Return every name that the balancer, its policies and their state use."""
    package = Path(sidecar.__file__).parent / "balancer"
    sources = [package / "balancer.py", *package.glob("policy/*.py"), *package.glob("state/*.py")]
    nodes = [node for path in sources for node in ast.walk(ast.parse(path.read_text(encoding="utf-8")))]
    names = {node.id for node in nodes if isinstance(node, ast.Name)}
    return names | {node.attr for node in nodes if isinstance(node, ast.Attribute)}


def test_every_action_of_the_balancer_is_carried_out() -> None:
    async def scenario() -> None:
        async with running_proxy() as proxy:
            emitted = {kind for kind in get_args(Action) if kind.__name__ in names_used_by_the_balancer()}
            assert len(emitted) > 5
            for kind in emitted:
                action: Any = kind.__new__(kind)  # without its fields, which are read only after the dispatch
                with contextlib.suppress(AttributeError):
                    proxy.sidecar.carry_out(action)  # raises another error if it is unsupported

    run_scenario(scenario())
