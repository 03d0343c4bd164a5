#!/usr/bin/env bash
# Builds what the scripts start, after the `build` of the deploy file. The
# stand-ins are Python programs, so that compiling them shows that they load.
set -eu
cd "$(dirname "$0")/.."
python3 -m compileall -q review
PYTHONPATH=. python3 -c "import review.support.deployment"
