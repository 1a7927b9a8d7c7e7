"""Experiments of the kind `latency`: the latency that one real sidecar adds to calls, and its sources."""
