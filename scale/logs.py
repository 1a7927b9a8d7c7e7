"""Configures structured logs: one JSON object per line on standard error."""

from __future__ import annotations

import logging
import sys

import structlog


def configure_logs(verbose: bool) -> None:
    """Log messages of level "info" and above, or "debug" and above if verbose."""
    level = logging.DEBUG if verbose else logging.INFO
    structlog.configure(
        processors=[
            structlog.contextvars.merge_contextvars,
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.JSONRenderer(),
        ],
        wrapper_class=structlog.make_filtering_bound_logger(level),
        logger_factory=structlog.PrintLoggerFactory(file=sys.stderr),
    )
