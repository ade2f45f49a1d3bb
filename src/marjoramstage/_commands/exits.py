"""Exit codes of all commands."""

OK = 0
FAILED = 1
USAGE = 2
CONFLICT = 3
UNKNOWN = 4
REFUSED = 5
