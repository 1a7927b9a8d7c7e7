"""Experiments on control: sidecars that follow a registry over real sockets."""
