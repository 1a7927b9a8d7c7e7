"""Experiments on configuration: sidecars whose file is replaced while they run."""
