"""Typed messages between the parts, and their encodings."""
