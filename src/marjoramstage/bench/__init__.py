"""Benchmarks of the decision code: replays, fault tests and cost measurements."""
