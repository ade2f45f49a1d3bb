#!/bin/bash
# The stand-ins of the cases are Python files that use the libraries of the deploy
# file's build; compiling them shows that they can be loaded.
set -euo pipefail
cd "$(dirname "$0")/.."
[ -e target/deps/ready ] || { echo "build the deploy file first" >&2; exit 1; }
PYTHONPATH=target/deps:review python3 -c 'import common.standins'
