"""Run the command line from the sources of this checkout."""

import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "src"))

from marjoramstage.cli import main

sys.exit(main())
