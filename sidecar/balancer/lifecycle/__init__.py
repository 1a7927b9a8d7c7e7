"""The life of a request: creation, placement, retries, what its attempts teach, and its timers.

Nothing here sends an attempt or a final response itself: both leave through the gates of
`sidecar.balancer.balancer.Balancer`.
"""
