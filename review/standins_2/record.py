"""The record of a case: one line for each thing that was sent, answered, run or observed."""

from __future__ import annotations

import time
from pathlib import Path


class Record:
    """Writes lines with the seconds since the start to a file."""

    def __init__(self, path: Path) -> None:
        """Empty the file."""
        self._file = path.open("w", encoding="utf-8", buffering=1)
        self._started_at = time.monotonic()

    def write(self, text: str) -> None:
        """Append a line."""
        self._file.write(f"{time.monotonic() - self._started_at:8.3f} {text}\n")

    def close(self) -> None:
        """Close the file."""
        self._file.close()
