"""Decisions without sockets: events in, effects out, time as an argument."""
