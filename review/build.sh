#!/usr/bin/env bash
# Builds the stand-ins that the scripts start: they are Python files, which use the
# libraries that the build of the deploy file places under target/deps.
set -euo pipefail
cd "$(dirname "$0")/.."
test -d target/deps
PYTHONPATH="$PWD:$PWD/target/deps" python3 -m compileall -q standins review
