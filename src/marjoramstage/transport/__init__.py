"""Sockets: callers, operators, peers, targets and the platform."""
