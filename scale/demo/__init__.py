"""A first look: one real sidecar over stand-ins, with a server drained and another killed under load."""
