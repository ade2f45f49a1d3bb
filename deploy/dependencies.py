"""Print the libraries that pyproject.toml declares, one a line, for pip."""

import tomllib
from pathlib import Path

text = Path(__file__).resolve().parent.parent.joinpath("pyproject.toml").read_text()
print("\n".join(tomllib.loads(text)["project"]["dependencies"]))
