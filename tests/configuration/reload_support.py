"""Shared by the tests of reloads: settings, and a reader of the configuration that always succeeds."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from balancer_harness import settings
from proxy_harness import CLASSES, LIMITS

from sidecar.config import Config
from sidecar.settings import Settings

ADDED_CLASS = CLASSES[0] | {"name": "added"}


def reader_of(config: Config) -> Callable[[], Config]:
    """Return a function that stands in for the one that reads the configuration file."""
    return lambda: config


def make_settings(**changes: Any) -> Settings:
    """Return the settings of the proxy harness with some keys changed."""
    return settings(**{"classes": CLASSES, "limits": LIMITS, **changes})


OTHER_SETTINGS = make_settings(classes=[*CLASSES, ADDED_CLASS])
