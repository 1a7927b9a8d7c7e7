"""The network side of the sidecar: it turns received bytes into events and actions into sent bytes."""
