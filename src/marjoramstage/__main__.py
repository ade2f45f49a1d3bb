"""Run the command line as ``python -m marjoramstage``."""

import sys

from marjoramstage.cli import main

sys.exit(main())
