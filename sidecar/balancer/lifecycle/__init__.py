"""The life of a request, from its arrival to the end of its last attempt.

    request_factory, request_table: the records of requests, and which of them are in progress.
    placement: the server of the next attempt.
    attempt_rules: the rules that every attempt has to keep.
    attempt_feedback: what the policies learn from the end of an attempt.
    retrying: retries and hedged requests.
    timer_dispatch: deadlines, overdue attempts and all other timers.

Nothing here sends an attempt or the balancer's own final response directly: both leave through the `gates` of
`sidecar.balancer.balancer.Balancer`.
"""
