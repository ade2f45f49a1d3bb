"""Frozen data and its pure transitions."""
