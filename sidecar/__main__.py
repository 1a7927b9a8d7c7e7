"""Starts one sidecar: serves by its configuration, and shuts down gracefully on SIGTERM.

Run as `python -m sidecar`, with RELAY_CONFIG naming the configuration.  A bad one ends the start with one
line on standard error and exit code 2.  SIGHUP reloads the configuration; a bad one changes nothing.
"""

from __future__ import annotations

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
from sidecar.reload import Reloader, ReloadSignalHandler

# An asyncio transport refers to itself, so what a closed connection leaves is freed by full collections
# alone.  They are cheap here, and by the defaults come once in a minute and 2 MB or so.
GC_THRESHOLDS = (700, 5, 2)
_EXIT_CANNOT_SERVE = 1
_EXIT_BAD_CONFIGURATION = 2


async def serve(config: Config) -> None:
    """Serve until SIGTERM or SIGINT; SIGHUP reloads the configuration.

    Args:
        config: The configuration of the start.

    Raises:
        OSError: The address to listen at can't be bound.
    """
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stop.set)
    sidecar = Sidecar(config)
    handler = ReloadSignalHandler(Reloader(config, sidecar.reconfigure), _reread_config)
    loop.add_signal_handler(signal.SIGHUP, handler.handle_signal)
    await sidecar.run(stop)


def _reread_config() -> Config:
    return read_config(os.environ, with_known_endpoints=False)


def main() -> int:
    """Run the sidecar; return the exit code of the process."""
    configure_logging()
    signal.signal(signal.SIGHUP, signal.SIG_IGN)  # until there is a configuration to replace
    try:
        config = read_config(os.environ)
    except READ_ERRORS as error:
        print(f"bad configuration: {error}".replace("\n", " "), file=sys.stderr)
        return _EXIT_BAD_CONFIGURATION
    gc.freeze()  # what is loaded by now stays; collections look at requests alone
    gc.set_threshold(*GC_THRESHOLDS)
    try:
        with asyncio.Runner(loop_factory=EventLoop) as runner:
            runner.run(serve(config))
    except OSError as error:
        print(f"can't serve: {error}", file=sys.stderr)
        return _EXIT_CANNOT_SERVE
    return 0


if __name__ == "__main__":
    sys.exit(main())
