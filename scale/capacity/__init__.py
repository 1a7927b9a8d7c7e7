"""The capacity page's tables, worked out of results files as `figures.toml` beside them says.

A figure is a measured value, or a line through the values measured at several sizes, taken at the design
size; either may then be multiplied by a number of processes.
"""
