"""Stand-ins of the second review: servers, discovery, clients and the sidecar's process, on loopback."""
