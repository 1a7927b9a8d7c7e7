"""Stand-ins for the systems that a sidecar talks to: the registry and the servers."""
