"""The capacity page's tables, computed from results files as `figures.toml` beside them defines.

A figure is a measured value, or a line through the values measured at several sizes, evaluated at the design
size; either may then be multiplied by a number of processes.
"""
