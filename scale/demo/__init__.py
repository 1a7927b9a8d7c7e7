"""Demonstration of one real sidecar with stand-ins: under load, a server is drained and another killed."""
