"""Random load of peers that use up memory: draws it from a seed, and checks a real sidecar's memory limit."""
