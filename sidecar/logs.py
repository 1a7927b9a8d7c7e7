"""Configures the log of the process: lines on standard error, at a limited rate."""

from __future__ import annotations

import logging
import sys

_MAX_LINES_PER_SECOND = 50


class RateLimitFilter(logging.Filter):
    """Drops log lines beyond a maximum number per second.

    It keeps a flood of malformed input from filling the log.
    """

    def __init__(self, lines_per_second: int) -> None:
        """Create a filter.

        Args:
            lines_per_second: Maximum number of lines that pass in each second of the wall clock.
        """
        super().__init__()
        self._lines_per_second = lines_per_second
        self._current_second = 0
        self._lines_in_second = 0

    def filter(self, record: logging.LogRecord) -> bool:
        """Return whether a line is written to the log."""
        second = int(record.created)
        if second != self._current_second:
            self._current_second, self._lines_in_second = second, 0
        self._lines_in_second += 1
        return self._lines_in_second <= self._lines_per_second


def configure_logging() -> None:
    """Configure logging to standard error, in lines with the time and the name of the logger."""
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(logging.Formatter("%(asctime)s %(name)s %(message)s"))
    handler.addFilter(RateLimitFilter(_MAX_LINES_PER_SECOND))
    logging.basicConfig(level=logging.INFO, handlers=[handler])
