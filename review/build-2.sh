#!/bin/sh
# Checks that this machine's Python can run the stand-ins of cases 4 to 8, which use the
# standard library only and need no build. The nodes are built by deploy/system.toml.
set -eu
cd "$(dirname "$0")/.."
python3 - <<'CHECK'
import ast
import pathlib
import sys

if sys.version_info < (3, 11):
    sys.exit("Python 3.11 is needed")
for path in [pathlib.Path("review/rig2.py"), *pathlib.Path("review").glob("*/case.py")]:
    ast.parse(path.read_text())
CHECK
