"""Run the command line from the sources of this checkout."""

import os
import sys

# `pathlib` is slow to import, and a SIGHUP ends the process until `cli` has begun.
sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "../src"))

from marjoramstage.cli import main

sys.exit(main())
