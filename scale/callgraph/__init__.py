"""Call graphs in virtual time: a policy decides at each hop, and servers are queues."""
