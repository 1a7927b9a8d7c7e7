"""Scale rig: experiments that measure the sidecar at fleet size, on one machine and over loopback only."""
