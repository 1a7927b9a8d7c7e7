"""Connects balancers to the operators' simulator by its wire protocol."""
