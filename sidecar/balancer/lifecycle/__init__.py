"""The life of a request, from its arrival to the end of its last attempt.

    request_factory, request_table: creation of request records, and the requests in progress.
    placement: the server of the next attempt.
    attempt_rules: the rules that every attempt must obey.
    attempt_feedback: what the policies learn from the end of an attempt.
    retrying: retries and hedged requests.
    timer_dispatch: deadlines, overdue attempts and all other timers.

These modules do not send attempts or final responses themselves: they use `callbacks` of
`sidecar.balancer.balancer.Balancer`, which enforces the rules.
"""
