"""Errors of the rig; each class formats its own message."""

from __future__ import annotations

from collections.abc import Collection
from pathlib import Path
from typing import Self

from pydantic import ValidationError

_BYTES_PER_GB = 1e9


class ScaleError(Exception):
    """Base of the errors that the user can fix: the command line prints one line and exits with code 2."""


# -- Experiment files ---------------------------------------------------------------------------------


class ExperimentError(ScaleError):
    """An experiment file or figures file that cannot be used."""

    def __init__(self, subject: str, reason: str) -> None:
        """Format the message.

        Args:
            subject: The key, file or folder at fault.
            reason: What is wrong with it.
        """
        super().__init__(f"{subject}: {reason}")


class UnreadableExperimentError(ExperimentError):
    """An experiment file that cannot be opened or read."""

    def __init__(self, path: Path, cause: OSError) -> None:
        """Name the file and the operating system's reason."""
        super().__init__(str(path), cause.strerror or type(cause).__name__)


class TomlSyntaxError(ExperimentError):
    """An experiment file that is not TOML."""

    def __init__(self, path: Path, cause: ValueError) -> None:
        """Name the file and the parser's error."""
        super().__init__(str(path), f"not TOML: {cause}")


class InvalidKeyError(ExperimentError):
    """A key that is missing, unknown or has a value out of its range."""

    @classmethod
    def from_validation(cls, error: ValidationError, root: str = "experiment") -> Self:
        """Report the first of pydantic's errors.

        Args:
            error: The failed validation.
            root: The name to report if the error concerns the whole model rather than one key.
        """
        first = error.errors()[0]
        key = ".".join(map(str, first["loc"])) or root
        return cls(key, first["msg"])


class UnknownKindError(ExperimentError):
    """An experiment file with an unknown `kind`."""

    def __init__(self, known: Collection[str]) -> None:
        """List the known kinds."""
        super().__init__("kind", f"must be one of {', '.join(sorted(known))}")


class NoExperimentsError(ExperimentError):
    """A folder without experiment files."""

    def __init__(self, folder: Path) -> None:
        """Name the folder."""
        super().__init__(str(folder), "contains no experiment files")


class UnmatchedTableError(ExperimentError):
    """Tables that have a marker on the page but no figures, or figures but no marker."""

    def __init__(self, names: Collection[str]) -> None:
        """Name the tables."""
        super().__init__("table", f"{', '.join(sorted(names))}: only on the page or only in the figures file")


# -- Checks of several keys: raised in pydantic validators, so subclasses of ValueError --------------


class FaultOrderError(ValueError):
    """A fault that ends no later than it begins."""

    def __init__(self) -> None:
        super().__init__("end_s must be greater than begin_s")


class DurationTooShortError(ValueError):
    """A run that ends before anything can be measured."""

    def __init__(self) -> None:
        super().__init__("duration_s must be greater than warm_up_s and the deadline together")


class FaultTooEarlyError(ValueError):
    """A fault that begins before there is a baseline to compare with."""

    def __init__(self) -> None:
        super().__init__("fault.begin_s must be later than warm_up_s by more than the deadline")


class FaultTooLateError(ValueError):
    """A fault that ends too late for its recovery to be measured."""

    def __init__(self) -> None:
        super().__init__("fault.end_s must be earlier than duration_s by more than the deadline")


class MemoryLimitError(ValueError):
    """An experiment whose endpoint lists would not fit into the machine's memory."""

    def __init__(self, needed_bytes: int) -> None:
        """Report the memory that the endpoint lists need, in bytes."""
        super().__init__(f"{needed_bytes / _BYTES_PER_GB:.1f} GB of endpoint lists exceed half of the memory")


class UntracedCollectorError(ValueError):
    """A garbage collector setting for an untraced sidecar; only the traced sidecar can apply it."""

    def __init__(self) -> None:
        super().__init__('a collector other than "program" requires traced = true')


# -- Results ------------------------------------------------------------------------------------------


class ResultsError(ScaleError):
    """A results file that cannot be used."""


class UnreadableResultsError(ResultsError):
    """A results file that cannot be opened or decoded."""

    def __init__(self, path: Path, cause: Exception) -> None:
        """Name the file and the cause."""
        super().__init__(f"{path}: cannot be read: {cause}")


class InvalidMeasurementError(ResultsError):
    """A line of a results file that is not a measurement."""

    def __init__(self, path: Path, line_number: int) -> None:
        """Name the file and the line, counted from 1."""
        super().__init__(f"{path}:{line_number}: not a measurement")


class TooFewSizesError(ValueError):
    """Points for a line fit that were all measured at the same size."""

    def __init__(self) -> None:
        super().__init__("at least two different sizes are needed to fit a line")


# -- Processes ----------------------------------------------------------------------------------------


class SidecarError(ScaleError):
    """A sidecar process that failed to start or to stop cleanly."""


class SidecarStartError(SidecarError):
    """A sidecar that exited or timed out before it was ready."""

    def __init__(self, log_lines: list[str]) -> None:
        """Quote the last line of its log."""
        last_line = log_lines[-1] if log_lines else "its log is empty"
        super().__init__(f"the sidecar did not start: {last_line}")


class SidecarStopTimeoutError(SidecarError):
    """A sidecar that did not exit in time after SIGTERM."""

    def __init__(self, timeout_s: float) -> None:
        """Report the timeout, in seconds."""
        super().__init__(f"the sidecar did not exit within {timeout_s:.0f} s of SIGTERM")


class SidecarExitError(SidecarError):
    """A sidecar that exited with a code other than 0."""

    def __init__(self, exit_code: int) -> None:
        """Report the exit code."""
        super().__init__(f"the sidecar exited with code {exit_code}")


class EndpointListTimeoutError(ScaleError):
    """Sidecars that did not all receive the registry's endpoint list in time."""

    def __init__(self, key: str, timeout_s: float) -> None:
        """Format the message.

        Args:
            key: The experiment's key that sets the number of sidecars.
            timeout_s: How long the rig waited for them, in seconds.
        """
        super().__init__(f"{key}: not all sidecars received the endpoint list within {timeout_s:.0f} s")


class RequestsInFlightTimeoutError(ScaleError):
    """Requests that did not reach the server in time."""

    def __init__(self, timeout_s: float) -> None:
        """Report the timeout, in seconds."""
        super().__init__(f"sidecars: not all requests reached the server within {timeout_s:.0f} s")


class ProcessEndedError(ConnectionError):
    """A process of the rig that ended before it responded."""

    def __init__(self, pid: int) -> None:
        """Name the process by its id."""
        super().__init__(f"process {pid} closed its command connection")
