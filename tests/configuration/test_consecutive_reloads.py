"""Reloads in quick succession, and configuration files that are unreadable for a short time."""

from __future__ import annotations

import asyncio
import errno
import os
from collections.abc import Callable
from dataclasses import replace

import pytest
from balancer_harness import SECOND_US
from proxy_harness import never_respond, respond_ok, running_proxy, wait_until
from reload_support import reader_of
from virtual_time import RegistryStandIn, advance, assert_notified_within, now_s, run_in_virtual_time

from sidecar import reload
from sidecar.config import Config
from sidecar.reload import Applied, Rejected, Reloader, ReloadSignalHandler
from sidecar.settings import ConfigurationError

APPLY_LIMIT_S = 4.0  # from SIGHUP until changes at discovery's new address are applied
RULES = {"max_poll_interval_us": 60 * SECOND_US}
MODES = ("on_request", "pushed")
READ_ERRORS = [errno.ENFILE, errno.EMFILE, errno.EIO, errno.EINTR, errno.ENOENT]


class FlakyFile:
    """A configuration file whose first reads fail; later reads return its current content."""

    def __init__(self, content: Config, error_number: int, failures: int) -> None:
        self.content = content
        self.error_number = error_number
        self.failures = failures
        self.reads = 0

    def read(self) -> Config:
        self.reads += 1
        if self.failures:
            self.failures -= 1
            raise OSError(self.error_number, os.strerror(self.error_number))
        return self.content


@pytest.mark.parametrize("failures", [1, 4])
@pytest.mark.parametrize("error_number", READ_ERRORS)
def test_a_drain_is_applied_in_time_although_the_first_reads_of_the_file_fail(
    error_number: int, failures: int
) -> None:
    async def scenario() -> None:
        old, new = RegistryStandIn(), RegistryStandIn()
        await new.start()
        async with running_proxy(respond_ok, respond_ok, registry=old, rules=RULES) as proxy:
            file = FlakyFile(replace(proxy.config, discovery=new.address), error_number, failures)
            handler = ReloadSignalHandler(Reloader(proxy.config, proxy.sidecar.reconfigure), file.read)
            await new.change(proxy.servers[0].entry(status="leaving"))
            signalled_at = now_s()
            handler.handle_signal()
            await assert_notified_within(proxy, APPLY_LIMIT_S, signalled_at)
        new.stop()

    run_in_virtual_time(scenario())


def test_retries_of_an_unreadable_file_end_and_keep_the_configuration() -> None:
    async def scenario() -> None:
        async with running_proxy(respond_ok) as proxy:
            reloader = Reloader(proxy.config, proxy.sidecar.reconfigure)
            file = FlakyFile(proxy.config, errno.EIO, failures=1_000)
            ReloadSignalHandler(reloader, file.read).handle_signal()
            await advance(10.0)
            assert file.reads == 1 + len(reload._RETRY_DELAYS_S)
            assert reloader.active is proxy.config

    run_in_virtual_time(scenario())


def test_a_signal_cancels_the_retries_of_an_earlier_one() -> None:
    async def scenario() -> None:
        async with running_proxy(respond_ok) as proxy:
            reloader = Reloader(proxy.config, proxy.sidecar.reconfigure)
            file = FlakyFile(proxy.config, errno.EIO, failures=1)
            handler = ReloadSignalHandler(reloader, file.read)
            handler.handle_signal()
            file.content = replace(proxy.config, version=5)
            handler.handle_signal()
            await advance(5.0)
            assert file.reads == 2
            assert reloader.active.version == 5

    run_in_virtual_time(scenario())


def read_bad_file() -> Config:
    raise ConfigurationError("not JSON")


STEPS_BETWEEN = ("nothing", "a bad file", "the same file", "a drain")


@pytest.mark.parametrize("mode", MODES)
@pytest.mark.parametrize("step_between", STEPS_BETWEEN)
@pytest.mark.parametrize("interval_s", [0.0, 0.01, 1.0])
@pytest.mark.parametrize("fault", [None, "silent", "partitioned", "503", "reset", "refused"])
def test_the_last_of_consecutive_reloads_takes_effect_and_its_changes_are_applied_in_time(
    fault: str | None,
    interval_s: float,
    step_between: str,
    mode: str,
    make_registry: Callable[[], RegistryStandIn],
) -> None:
    async def scenario() -> None:
        first, middle, last = make_registry(), make_registry(), make_registry()
        for each in (middle, last):
            await each.start()
        if fault is not None:
            middle.fail(fault)
        async with running_proxy(
            never_respond, respond_ok, registry=first, rules=RULES, discovery=mode
        ) as proxy:
            await wait_until(lambda: first.targets)
            pending = asyncio.create_task(proxy.send_request(kind="pay", body=b"x", budget="500"))
            await wait_until(proxy.server_requests)
            reloader = Reloader(proxy.config, proxy.sidecar.reconfigure)
            configs = [
                replace(proxy.config, discovery=each.address) for each in (middle, first, middle, last)
            ]
            for number, config in enumerate(configs, start=1):
                await advance(interval_s)
                signalled_at = now_s()
                result = reloader.reload(reader_of(replace(config, version=number)))
                assert isinstance(result, Applied)
                if step_between == "a bad file":
                    assert isinstance(reloader.reload(read_bad_file), Rejected)
                elif step_between == "the same file":
                    reloader.reload(lambda: reloader.active)
                elif step_between == "a drain" and number == 2:
                    proxy.stop.set()
            await last.change(proxy.servers[1].entry(weight=2.0))
            await last.change(proxy.servers[0].entry(status="leaving"))
            await assert_notified_within(proxy, APPLY_LIMIT_S, signalled_at)
            assert last.targets[0] == "/registry/instances"
            assert proxy.sidecar._endpoint_list.client._address == last.address
            await wait_until(lambda: len(last.targets) > 1)  # the watch continues at the last address
            pending.cancel()
        for each in (middle, last):
            each.stop()

    run_in_virtual_time(scenario())
