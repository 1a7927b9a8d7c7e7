"""The log of the process: lines on standard error, at a limited rate."""

from __future__ import annotations

import logging
import sys

_MAX_LINES_PER_SECOND = 50


class RateLimitFilter(logging.Filter):
    """Drops log lines beyond a number in each second.

    Guards against junk from outside that would fill the log.
    """

    def __init__(self, lines_per_second: int) -> None:
        """Make a filter.

        Args:
            lines_per_second: How many lines at most pass in each second of the wall clock.
        """
        super().__init__()
        self._lines_per_second = lines_per_second
        self._current_second = 0
        self._lines_in_second = 0

    def filter(self, record: logging.LogRecord) -> bool:
        """Return whether a line passes."""
        second = int(record.created)
        if second != self._current_second:
            self._current_second, self._lines_in_second = second, 0
        self._lines_in_second += 1
        return self._lines_in_second <= self._lines_per_second


def configure_logging() -> None:
    """Log to standard error from now on, in lines with time and module."""
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(logging.Formatter("%(asctime)s %(name)s %(message)s"))
    handler.addFilter(RateLimitFilter(_MAX_LINES_PER_SECOND))
    logging.basicConfig(level=logging.INFO, handlers=[handler])
