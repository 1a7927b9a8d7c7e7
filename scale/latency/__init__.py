"""Experiments of the kind `latency`: what one real sidecar adds to a call, and where that comes from."""
