"""The registry versions that a sidecar applied, with their times."""

from __future__ import annotations

from array import array
from bisect import bisect_left


class AppliedLog:
    """The versions that one sidecar applied, with the times; compact, as there are thousands of sidecars."""

    def __init__(self) -> None:
        self._versions = array("q")
        self._times_s = array("d")

    def add(self, version: int, at_s: float) -> None:
        """Record that a version was applied at a time in seconds on the monotonic clock."""
        self._versions.append(version)
        self._times_s.append(at_s)

    def latest_version(self) -> int:
        """Return the version applied last; 0 before the first."""
        return self._versions[-1] if self._versions else 0

    def delay_until_applied(self, version: int, committed_at_s: float) -> float | None:
        """Return how long a change took to be applied.

        Versions are assumed to grow: no experiment sets the registry back.

        Args:
            version: The version of the change.
            committed_at_s: When it was committed, in seconds on the monotonic clock.

        Returns:
            The seconds until that version or a newer one was applied; None if none was yet.
        """
        index = max(bisect_left(self._versions, version), bisect_left(self._times_s, committed_at_s))
        return self._times_s[index] - committed_at_s if index < len(self._times_s) else None
