"""Measures of the decision code: replays, faults and slopes."""
