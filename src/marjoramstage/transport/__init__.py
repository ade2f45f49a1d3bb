"""Network I/O: callers, operators, peers, targets and the platform."""
