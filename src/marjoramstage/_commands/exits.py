"""Exit codes of every command."""

OK = 0
FAILED = 1
USAGE = 2
CONFLICT = 3
UNKNOWN = 4
REFUSED = 5
