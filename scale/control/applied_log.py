"""Records which registry versions a sidecar applied, and when."""

from __future__ import annotations

from array import array
from bisect import bisect_left


class AppliedLog:
    """The versions that one sidecar applied, and when.

    Stored in arrays to save memory, as there are thousands of sidecars.
    """

    def __init__(self) -> None:
        self._versions = array("q")
        self._times_s = array("d")

    def add(self, version: int, at_s: float) -> None:
        """Record that a version was applied at a time in seconds on the monotonic clock."""
        self._versions.append(version)
        self._times_s.append(at_s)

    def latest_version(self) -> int:
        """Return the version that was applied last; 0 if there is none yet."""
        return self._versions[-1] if self._versions else 0

    def delay_until_applied(self, version: int, committed_at_s: float) -> float | None:
        """Return how long a change took to be applied.

        This assumes that versions never decrease: no experiment resets the registry to an earlier version.

        Args:
            version: The version of the change.
            committed_at_s: When it was committed, in seconds on the monotonic clock.

        Returns:
            The seconds from the commit until that version or a newer one was applied; None if that has not
            happened yet.
        """
        index = max(bisect_left(self._versions, version), bisect_left(self._times_s, committed_at_s))
        return self._times_s[index] - committed_at_s if index < len(self._times_s) else None
