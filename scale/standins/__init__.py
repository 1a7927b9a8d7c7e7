"""Stand-ins that this project writes itself for the systems a sidecar talks to."""
