"""Stand-ins of the review: a client, servers, discovery, and the start of a real sidecar.

They follow the operators' pages, use the standard library only, and listen on loopback addresses.
"""
