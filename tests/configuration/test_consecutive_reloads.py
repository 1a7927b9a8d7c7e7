"""Configurations in quick succession, and files that can't be read for a moment."""

from __future__ import annotations

import asyncio
import errno
import os
from collections.abc import Callable
from dataclasses import replace

import pytest
from helpers import S
from loopback import hung, served, until, world
from reload_stage import read_from
from virtual_time import Service, now_s, pass_s, play_in_virtual_time, told_within

from sidecar import reload
from sidecar.config import Config
from sidecar.reload import Applied, Rejected, Reloader, ReloadSignalHandler
from sidecar.settings import ConfigurationError

RELOADED_S = 4.0  # after SIGHUP, changes at the new address of discovery count as notified
RULES = {"max_poll_interval_us": 60 * S}
MODES = ("on_request", "pushed")
FAULTS = [errno.ENFILE, errno.EMFILE, errno.EIO, errno.EINTR, errno.ENOENT]


class FlakyFile:
    """Stands in for the file: can't be read some times, then has the content that was put last."""

    def __init__(self, content: Config, code: int, failures: int) -> None:
        self.content = content
        self.code = code
        self.failures = failures
        self.reads = 0

    def read(self) -> Config:
        self.reads += 1
        if self.failures:
            self.failures -= 1
            raise OSError(self.code, os.strerror(self.code))
        return self.content


@pytest.mark.parametrize("failures", [1, 4])
@pytest.mark.parametrize("code", FAULTS)
def test_a_drain_is_applied_in_time_though_the_file_is_unreadable_at_first(code: int, failures: int) -> None:
    async def scene() -> None:
        old, new = Service(), Service()
        await new.start()
        async with world(served, served, service=old, rules=RULES) as w:
            file = FlakyFile(replace(w.config, discovery=new.address), code, failures)
            signal = ReloadSignalHandler(Reloader(w.config, w.sidecar.reconfigure), file.read)
            await new.change(w.servers[0].entry(status="leaving"))
            began = now_s()
            signal.handle_signal()
            await told_within(w, RELOADED_S, began)
        new.stop()

    play_in_virtual_time(scene())


def test_retries_of_an_unreadable_file_end_and_leave_the_configuration() -> None:
    async def scene() -> None:
        async with world(served) as w:
            reloader = Reloader(w.config, w.sidecar.reconfigure)
            file = FlakyFile(w.config, errno.EIO, failures=1_000)
            ReloadSignalHandler(reloader, file.read).handle_signal()
            await pass_s(10.0)
            assert file.reads == 1 + len(reload._RETRY_DELAYS_S)
            assert reloader.active is w.config

    play_in_virtual_time(scene())


def test_a_signal_cancels_the_retries_of_an_earlier_one() -> None:
    async def scene() -> None:
        async with world(served) as w:
            reloader = Reloader(w.config, w.sidecar.reconfigure)
            file = FlakyFile(w.config, errno.EIO, failures=1)
            signal = ReloadSignalHandler(reloader, file.read)
            signal.handle_signal()
            file.content = replace(w.config, version=5)
            signal.handle_signal()
            await pass_s(5.0)
            assert file.reads == 2
            assert reloader.active.version == 5

    play_in_virtual_time(scene())


def read_bad_file() -> Config:
    raise ConfigurationError("not JSON")


BETWEEN = ("nothing", "a bad file", "the same file", "a drain")


@pytest.mark.parametrize("mode", MODES)
@pytest.mark.parametrize("between", BETWEEN)
@pytest.mark.parametrize("apart_s", [0.0, 0.01, 1.0])
@pytest.mark.parametrize("fault", [None, "silent", "cut off", "503", "reset", "refused"])
def test_of_consecutive_reloads_the_last_is_in_force_and_its_changes_are_applied_in_time(
    fault: str | None, apart_s: float, between: str, mode: str, service: Callable[[], Service]
) -> None:
    async def scene() -> None:
        first, middle, last = service(), service(), service()
        for each in (middle, last):
            await each.start()
        if fault is not None:
            middle.fail(fault)
        async with world(hung, served, service=first, rules=RULES, discovery=mode) as w:
            await until(lambda: first.targets)
            pending = asyncio.create_task(w.ask(kind="pay", body=b"x", budget="500"))
            await until(w.sent)
            reloader = Reloader(w.config, w.sidecar.reconfigure)
            configs = [replace(w.config, discovery=each.address) for each in (middle, first, middle, last)]
            for number, config in enumerate(configs, start=1):
                await pass_s(apart_s)
                began = now_s()
                result = reloader.reload(read_from(replace(config, version=number)))
                assert isinstance(result, Applied)
                if between == "a bad file":
                    assert isinstance(reloader.reload(read_bad_file), Rejected)
                elif between == "the same file":
                    reloader.reload(lambda: reloader.active)
                elif between == "a drain" and number == 2:
                    w.stop.set()
            await last.change(w.servers[1].entry(weight=2.0))
            await last.change(w.servers[0].entry(status="leaving"))
            await told_within(w, RELOADED_S, began)
            assert last.targets[0] == "/registry/instances"
            assert w.sidecar._endpoint_list.client._address == last.address
            await until(lambda: len(last.targets) > 1)  # the watch goes on there
            pending.cancel()
        for each in (middle, last):
            each.stop()

    play_in_virtual_time(scene())
