"""The record of a run: what was sent, answered and run, with times since the start of the run."""

from __future__ import annotations

import time
from pathlib import Path


class Record:
    """Collects lines in memory, and writes them at the end, so that writing does not slow the run."""

    def __init__(self) -> None:
        self._started_at = time.monotonic()
        self._lines: list[str] = []

    def add(self, text: str) -> None:
        """Add a line with the present time."""
        self._lines.append(f"{time.monotonic() - self._started_at:9.4f} {text}")

    def write(self, path: Path) -> None:
        """Write all lines to a file."""
        path.write_text("\n".join(self._lines) + "\n", encoding="utf-8")
