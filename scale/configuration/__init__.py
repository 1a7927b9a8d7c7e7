"""Configuration experiments: sidecars whose configuration file is replaced while they run."""
