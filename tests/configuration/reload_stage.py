"""What the tests of reloads share: settings that differ, and a reader that can't fail."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from balancer_harness import settings
from proxy_harness import CLASSES, LIMITS

from sidecar.config import Config
from sidecar.settings import Settings

ADDED = CLASSES[0] | {"name": "added"}


def read_from(config: Config) -> Callable[[], Config]:
    return lambda: config


def changed(**changes: Any) -> Settings:
    return settings(**{"classes": CLASSES, "limits": LIMITS, **changes})


OTHER = changed(classes=[*CLASSES, ADDED])
