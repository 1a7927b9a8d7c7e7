"""Errors that the rig reports to its user in one line."""

from __future__ import annotations


class ScaleError(Exception):
    """Something the user can mend; the command prints it in one line and exits with 2."""


class ExperimentError(ScaleError):
    """An experiment file that cannot be used; the text names the key at fault."""


class ResultsError(ScaleError):
    """A results file that cannot be read; the text names the file and line."""
