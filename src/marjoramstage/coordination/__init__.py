"""Decision logic without I/O: events in, effects out, time as an argument."""

import logging

# The library logs every callback at INFO; this package logs transitions itself.
logging.getLogger("transitions").setLevel(logging.WARNING)
