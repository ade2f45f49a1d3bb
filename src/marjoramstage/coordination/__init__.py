"""Decisions without sockets: events in, effects out, time as an argument."""

import logging

# The library logs each callback at INFO; transitions are logged by our parts.
logging.getLogger("transitions").setLevel(logging.WARNING)
