"""Runs one sidecar until SIGTERM or SIGINT, which shut it down gracefully.

Run as `python -m sidecar`, with the path of the configuration file in RELAY_CONFIG.  If the configuration is
invalid, the process writes one line to standard error and exits with code 2.  SIGHUP reloads the
configuration; an invalid one is rejected and changes nothing.
"""

from __future__ import annotations

import sidecar.without_tls  # noqa: F401  # before asyncio

# isort: split
import asyncio
import gc
import os
import signal
import sys

from sidecar.config import Config
from sidecar.configuration import READ_ERRORS, read_config
from sidecar.logs import configure_logging
from sidecar.proxy.driver import Sidecar
from sidecar.proxy.event_loop import EventLoop
from sidecar.proxy.memory_layout import DEFAULT_PROGRAM_BYTES, resident_bytes
from sidecar.reload import Reloader, ReloadSignalHandler

# An asyncio transport is part of a reference cycle, so the memory of a closed connection is freed only by a
# full collection.  Full collections are cheap here; with the default thresholds they would run only about
# once per minute, after 2 MB of garbage has accumulated.
GC_THRESHOLDS = (700, 5, 2)
_EXIT_CANNOT_SERVE = 1
_EXIT_BAD_CONFIGURATION = 2


async def serve(config: Config, program_bytes: int) -> None:
    """Serve until SIGTERM or SIGINT; SIGHUP reloads the configuration.

    Args:
        config: The initial configuration.
        program_bytes: The memory that the process needs without connections and without endpoint list.

    Raises:
        OSError: The listen address can't be bound.
    """
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stop.set)
    sidecar = Sidecar(config, program_bytes)
    handler = ReloadSignalHandler(Reloader(config, sidecar.reconfigure), _reread_config)
    loop.add_signal_handler(signal.SIGHUP, handler.handle_signal)
    await sidecar.run(stop)


def _reread_config() -> Config:
    return read_config(os.environ, with_cached_endpoints=False)


def main() -> int:
    """Run the sidecar; return the exit code of the process."""
    configure_logging()
    program_bytes = (
        resident_bytes() or DEFAULT_PROGRAM_BYTES
    )  # before a long configuration leaves gaps behind
    signal.signal(signal.SIGHUP, signal.SIG_IGN)  # ignored until there is a configuration to reload
    try:
        config = read_config(os.environ)
    except READ_ERRORS as error:
        print(f"bad configuration: {error}".replace("\n", " "), file=sys.stderr)
        return _EXIT_BAD_CONFIGURATION
    gc.freeze()  # objects loaded so far are permanent; later collections examine only those of requests
    gc.set_threshold(*GC_THRESHOLDS)
    try:
        with asyncio.Runner(loop_factory=EventLoop) as runner:
            runner.run(serve(config, program_bytes))
    except OSError as error:
        print(f"can't serve: {error}", file=sys.stderr)
        return _EXIT_CANNOT_SERVE
    return 0


if __name__ == "__main__":
    sys.exit(main())
