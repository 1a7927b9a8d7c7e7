"""Hosts balancers on the wire of the operators' simulator."""
