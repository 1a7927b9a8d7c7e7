"""Control plane experiments: sidecars that watch a registry over real sockets."""
