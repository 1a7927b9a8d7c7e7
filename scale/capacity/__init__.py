"""Computes the tables of the capacity page from results files, as defined in `figures.toml`.

A figure is a measured value, or the value at the design size of a line fitted to values at several sizes.
Either may be multiplied by a number of processes.
"""
