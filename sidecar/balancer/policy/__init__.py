"""The policies: the decisions of the balancer, one responsibility per module.

They are deterministic, open no sockets and read no clock: time, random numbers and state come from the
`Context` in `sidecar.balancer.state`.

Where a request is sent:
    selection: the best of k candidates, with `subsetting`, `weighted_sampling` and `zone_preference`.
    health_checks, load_comparison, latency_by_load: candidates are compared by the load that they report.
    key_order: requests with the same key are sent one at a time.

How many requests are admitted:
    admission: load shedding, with `priority`, `low_traffic_shedding` and `stale_requests`.
    concurrency_limit: the adaptive limit, adjusted by `latency_ratio` and `cpu_utilization`.

Faults:
    outliers, backoff: ejection of servers, and backoff from servers at capacity.
    hedging, retries: further attempts of a request, and the retry budget that limits them.

Servers:
    slow_start, server_capacity, start_times: the request budget of each server that is warming up.
    latency, low_traffic: the usual latency, and corrections for few samples.
    connections, registry_polling: idle connections and the endpoint list of the registry.
"""
