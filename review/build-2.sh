#!/bin/sh
# Checks that this machine's Python can run the stand-ins of cases 4 to 8. They are Python
# and need no build: review/rig2.py uses the standard library only, and the project's own
# model worker the libraries that the build of deploy/system.toml has installed.
set -eu
cd "$(dirname "$0")/.."
PYTHONDONTWRITEBYTECODE=1 PYTHONPATH=target/deps:. python3 - <<'CHECK'
import sys

if sys.version_info < (3, 11):
    sys.exit("Python 3.11 is needed")
import review.rig2
import standins.modelworker
CHECK
