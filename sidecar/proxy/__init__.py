"""The network side of the sidecar: it turns received bytes into events and actions into sent bytes.

`driver` connects its parts:

- Client connections: `frontend` accepts them with `listener`, `connection_table` limits their number and time
  with `connection_state` and `overload`, and `client_connection` serves one of them (`connection_owner` is
  what it needs of the frontend).  `request_reader`, `request_lookahead` and `arrival_time` read its requests;
  `request_routing`, `client_request` and `request_errors` check them.
- Requests: `request_lifecycle` answers them, `attempts` forwards them to servers, and `active_requests`
  tracks those in progress.
- Servers: `connection_pool` runs each `exchange` (an attempt, or a check of `health_checks`) on a
  `server_connection`.  `connection_dialer` and `dialing` open connections, `idle_connections` and
  `idle_lifetimes` decide on their reuse, and `pooled_servers` holds the idle ones.  `request_transmission`
  writes requests, `response_reader` parses responses, and `load_reports` parses the load reports in them.
- The registry: `endpoint_list` applies what `discovery_client` receives and `registry_messages` parses.
- The process: `shutdown` drains it, and `loop_lag` monitors its event loop.
- Shared by all: `addresses`, `clock`, `event_loop`, `http_messages` and `sockets`; `incremental_parser`,
  `paced_reading` and `parsing_queue` bound the time for which one peer's bytes occupy the event loop.
"""
