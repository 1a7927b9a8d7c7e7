"""Latency experiments: the latency that one real sidecar adds to calls, and its sources."""
