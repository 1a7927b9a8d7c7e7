"""Simulates call graphs in virtual time: a load balancing policy at each hop, and servers with queues."""
